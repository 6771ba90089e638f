package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"vanillapond/internal/request/admission"
)

// TestDecide refuses only what would be late, with a time to come back.
func TestDecide(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		ahead, waited, objective time.Duration
		admit                    bool
	}{
		{0, 0, time.Second, true},
		{700 * time.Millisecond, 0, time.Second, true},
		{800 * time.Millisecond, 0, time.Second, false},
		{700 * time.Millisecond, 100 * time.Millisecond, time.Second, false},
		{time.Minute, 0, 0, true},
	} {
		is := is.New(t)
		verdict := admission.Decide(admission.Request{QueueDelay: c.ahead, Waited: c.waited, Objective: c.objective, Random: 0.5})
		is.Equal(verdict.Admit, c.admit)
		is.Equal(verdict.RetryAfter > 0, !c.admit)
	}
}

// TestQueueDelayMonotonic holds that a request with less ahead of it is never refused where one with more is admitted, and that
// nothing is refused while nothing is ahead.
func TestQueueDelayMonotonic(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		duration := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 10_000).Draw(t, name)) * time.Millisecond
		}
		request := admission.Request{QueueDelay: duration("ahead"), Objective: duration("objective"), Random: rapid.Float64Range(0, 1).Draw(t, "random")}
		verdict := admission.Decide(request)
		less := request
		less.QueueDelay = time.Duration(rapid.Float64Range(0, 1).Draw(t, "less") * float64(request.QueueDelay))
		if verdict.Admit && !admission.Decide(less).Admit {
			t.Fatal("refused with less ahead")
		}
		if request.QueueDelay == 0 && !verdict.Admit {
			t.Fatal("refused while nothing is ahead")
		}
		if !verdict.Admit && verdict.RetryAfter < 100*time.Millisecond {
			t.Fatalf("come back after %s", verdict.RetryAfter)
		}
	})
}

// TestAdmitsLateOverLowerPriority holds that a request that would be a little late is taken while less urgent work can be given up, and refused when
// there is none or it would be of no use.
func TestAdmitsLateOverLowerPriority(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		ahead          time.Duration
		givesWay       bool
		admit, crowded bool
	}{
		{700 * time.Millisecond, true, true, false},
		{800 * time.Millisecond, true, true, true},
		{800 * time.Millisecond, false, false, true},
		{1600 * time.Millisecond, true, false, true},
	} {
		is := is.New(t)
		verdict := admission.Decide(admission.Request{QueueDelay: c.ahead, Objective: time.Second, LowerPriorityActive: c.givesWay})
		is.Equal(verdict.Admit, c.admit)
		is.Equal(verdict.LikelyLate, c.crowded)
	}
}
