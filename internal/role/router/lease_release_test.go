package router_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// quietTime is shorter than the time between two looks for windows that are due.
const quietTime = 100 * time.Millisecond

// TestStopBesideReportInFlight guards against reports of two holders in the wrong order: a router that stops leaves the lease to the end of its term if
// a report may still arrive, and releases it otherwise.
func TestStopBesideReportInFlight(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name, event string
		lost        bool
	}{{"response lost", "event=usage_report_failed", true}, {"response received", "event=usage_reported", false}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := startRouters(t, 1)
			h.duties.LoseResponses(func(int) bool { return c.lost })
			count := func() int { return strings.Count(h.logs[0].String(), c.event) }
			// After a report, those of earlier windows may follow at once.
			eventually(t, "no report follows", func() bool {
				before := count()
				time.Sleep(quietTime)
				return before > 0 && before == count()
			})
			before := count()
			eventually(t, c.event, func() bool { return count() > before })
			h.routers[0].Stop(context.Background())
			is.Equal(strings.Contains(h.logs[0].String(), "event=lease_not_released"), c.lost)
		})
	}
}
