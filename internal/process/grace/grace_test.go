package grace_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/grace"
)

// TestAccepts checks which requests may begin to run while a process stops.
func TestAccepts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const second = time.Second
	start := time.Now()
	at := start.Add
	p := grace.New()
	is.True(!p.HasBegun())
	is.True(p.Accepts(at(0), at(time.Hour), time.Hour))
	p.Begin(at(3*second), at(7*second))
	is.True(p.HasBegun())
	for _, c := range []struct {
		name                string
		now, deadline, work time.Duration
		accepts             bool
	}{
		{"time needed is not known", second, 60 * second, 0, true},
		{"ends in time", second, 60 * second, 5 * second, true},
		{"does not end in time", second, 60 * second, 7 * second, false},
		{"given up in time", second, 7 * second, 10 * second, true},
		{"at the end of accepting", 3 * second, 60 * second, second, true},
		{"late", 3*second + 1, 60 * second, second, false},
		{"late and given up in time", 5 * second, 7 * second, 0, true},
		{"at the end", 7 * second, 7 * second, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(p.Accepts(at(c.now), at(c.deadline), c.work), c.accepts)
		})
	}
	is.NoErr(p.Ended().Err())
	var never *grace.Period
	is.True(never.Accepts(at(0), at(time.Hour), time.Hour))
	is.NoErr(never.Ended().Err())
}

// TestEnded checks that the context ends when all requests must have their answers.
func TestEnded(t *testing.T) {
	t.Parallel()
	p := grace.New()
	p.Begin(time.Now(), time.Now().Add(20*time.Millisecond))
	select {
	case <-p.Ended().Done():
	case <-time.After(10 * time.Second):
		t.Error("did not end")
	}
}
