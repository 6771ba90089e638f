package link

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/clock"
)

func TestLoadReportSchedule(t *testing.T) {
	t.Parallel()
	sent := Load{Sequence: 1, Running: 2, Capacity: 4}
	later := Load{Sequence: 9, Running: 2, Capacity: 4}
	changed := Load{Sequence: 9, Running: 3, Capacity: 4}
	draining := Load{Sequence: 9, Running: 2, Capacity: 4, Draining: true}
	cases := []struct {
		name   string
		load   Load
		silent time.Duration
		due    bool
	}{
		{"the same soon", later, quietSpacing - 1, false},
		{"the same late", later, quietSpacing, true},
		{"changed soon", changed, changedSpacing - 1, false},
		{"changed late", changed, changedSpacing, true},
		{"draining at once", draining, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var known told
			start := clock.Reading(time.Hour)
			known.note(sent, start)
			is.New(t).Equal(known.due(c.load, start.Add(c.silent)), c.due)
		})
	}
}
