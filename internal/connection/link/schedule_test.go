package link

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/clock"
)

// TestLoadReportSchedule checks that links get no more load reports than needed: a changed load waits for its interval, an
// unchanged one for a longer interval, and only draining is reported at once.
func TestLoadReportSchedule(t *testing.T) {
	t.Parallel()
	sent := Load{Sequence: 1, Running: 2, Capacity: 4}
	later := Load{Sequence: 9, Running: 2, Capacity: 4}
	changed := Load{Sequence: 9, Running: 3, Capacity: 4}
	draining := Load{Sequence: 9, Running: 2, Capacity: 4, Draining: true}
	cases := []struct {
		name        string
		load        Load
		sinceReport time.Duration
		due         bool
	}{
		{"unchanged before the interval", later, unchangedReportInterval - 1, false},
		{"unchanged after the interval", later, unchangedReportInterval, true},
		{"changed before the interval", changed, changedReportInterval - 1, false},
		{"changed after the interval", changed, changedReportInterval, true},
		{"draining immediately", draining, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var schedule reportSchedule
			start := clock.Reading(time.Hour)
			schedule.record(sent, start)
			is.New(t).Equal(schedule.due(c.load, start.Add(c.sinceReport)), c.due)
		})
	}
}
