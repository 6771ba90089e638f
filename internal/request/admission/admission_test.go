package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"vanillapond/internal/request/admission"
)

// TestDecide checks that only requests that would be late are refused, with a time to retry after.
func TestDecide(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		queueDelay, waited, objective time.Duration
		admit                         bool
	}{
		{0, 0, time.Second, true},
		{700 * time.Millisecond, 0, time.Second, true},
		{800 * time.Millisecond, 0, time.Second, false},
		{700 * time.Millisecond, 100 * time.Millisecond, time.Second, false},
		{time.Minute, 0, 0, true},
	} {
		is := is.New(t)
		decision := admission.Decide(admission.Request{QueueDelay: c.queueDelay, Waited: c.waited, Objective: c.objective, Random: 0.5})
		is.Equal(decision.Admit, c.admit)
		is.Equal(decision.RetryAfter > 0, !c.admit)
	}
}

// TestQueueDelayMonotonic checks that a shorter queue delay never turns an admission into a refusal, and that no request is
// refused without a queue delay.
func TestQueueDelayMonotonic(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		duration := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 10_000).Draw(t, name)) * time.Millisecond
		}
		request := admission.Request{
			QueueDelay: duration("ahead"), Objective: duration("objective"), Random: rapid.Float64Range(0, 1).Draw(t, "random"),
		}
		decision := admission.Decide(request)
		less := request
		less.QueueDelay = time.Duration(rapid.Float64Range(0, 1).Draw(t, "less") * float64(request.QueueDelay))
		if decision.Admit && !admission.Decide(less).Admit {
			t.Fatal("refused with a shorter queue delay than that of an admitted request")
		}
		if request.QueueDelay == 0 && !decision.Admit {
			t.Fatal("refused without a queue delay")
		}
		if !decision.Admit && decision.RetryAfter < 100*time.Millisecond {
			t.Fatalf("time to retry after is %s, want at least 100ms", decision.RetryAfter)
		}
	})
}

// TestAdmitsLateOverLowerPriority checks that a request that would be a little late is admitted while requests of lower
// priority are in flight, and refused when there are none or it would be too late.
func TestAdmitsLateOverLowerPriority(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		queueDelay          time.Duration
		lowerPriorityActive bool
		admit, likelyLate   bool
	}{
		{700 * time.Millisecond, true, true, false},
		{800 * time.Millisecond, true, true, true},
		{800 * time.Millisecond, false, false, true},
		{1600 * time.Millisecond, true, false, true},
	} {
		is := is.New(t)
		decision := admission.Decide(admission.Request{
			QueueDelay: c.queueDelay, Objective: time.Second, LowerPriorityActive: c.lowerPriorityActive,
		})
		is.Equal(decision.Admit, c.admit)
		is.Equal(decision.LikelyLate, c.likelyLate)
	}
}

// TestLoadAwareLimits guards against prompts that pile up at the engines of load-aware services, and against the release of a waiting request as soon as
// an arriving one would be admitted, which all instances see at the same time.
func TestLoadAwareLimits(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		queueDelay        time.Duration
		loadAware, queued bool
		admit             bool
	}{
		{queueDelay: 700 * time.Millisecond, admit: true},
		{queueDelay: 700 * time.Millisecond, loadAware: true},
		{queueDelay: 350 * time.Millisecond, loadAware: true, admit: true},
		{queueDelay: 350 * time.Millisecond, loadAware: true, queued: true},
		{queueDelay: 200 * time.Millisecond, loadAware: true, queued: true, admit: true},
	} {
		is := is.New(t)
		decision := admission.Decide(admission.Request{
			QueueDelay: c.queueDelay, Objective: time.Second, LoadAware: c.loadAware, Queued: c.queued,
		})
		is.Equal(decision.Admit, c.admit)
		is.Equal(decision.Excess > 0, !c.admit)
	}
}
