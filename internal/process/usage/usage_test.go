package usage_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/lease"
	"vanillapond/internal/process/table"
	"vanillapond/internal/process/usage"
	"vanillapond/pkg/ident"
)

const (
	length = 5 * time.Second
	late   = 10 * time.Second
)

// holder holds the lease while fence is above 0.
type holder struct{ fence ident.Fence }

func (h *holder) Check(clock.Reading, time.Duration) (lease.Grant, error) {
	if h.fence == 0 {
		return lease.Grant{}, lease.ErrNotHeld
	}
	return lease.Grant{Fence: h.fence}, nil
}

func (h *holder) Condition(lease.Grant) (table.Check, error) { return table.Check{Key: "lease/x"}, nil }
func (h *holder) Term() time.Duration                        { return time.Second }
func (h *holder) Now() clock.Reading                         { return 0 }

// sent is one report.
type sent struct {
	fence  ident.Fence
	window usage.Window
	count  int64
}

// platform keeps reports, and loses the answers to the first ones.
type platform struct {
	reports []sent
	lose    int
}

func (p *platform) Send(_ context.Context, fence ident.Fence, window usage.Window, counts map[ident.Customer]int64, _ time.Duration) error {
	p.reports = append(p.reports, sent{fence, window, counts["c"]})
	if len(p.reports) <= p.lose {
		return table.ErrOutcomeUnknown
	}
	return nil
}

// rig is a reporter on a fake clock.
type rig struct {
	*usage.Reporter
	now     time.Time
	holder  *holder
	to      *platform
	tallies []usage.InstanceCounts
}

func newRig(rows table.Table, to *platform, now time.Time, fence ident.Fence) *rig {
	r := &rig{now: now, holder: &holder{fence: fence}, to: to}
	r.Reporter = usage.NewReporter(usage.ReporterConfig{
		Table: rows, Lease: r.holder, Sender: to, HeartbeatInterval: func() time.Duration { return time.Second }, WindowLength: length, MaxReportDelay: late,
		ReadCounts: func(context.Context) ([]usage.InstanceCounts, error) { return r.tallies, nil },
		Now:        func() time.Time { return r.now }, Log: func(string, ...any) {},
	})
	return r
}

// window is the one that the cases are about.
const window usage.Window = 1000

// tally counts n requests in the window, told up to a time.
func tally(n int64, until time.Time) usage.InstanceCounts {
	return usage.InstanceCounts{Counts: usage.Counts{window: {"c": n}}, Until: until}
}

// TestReportsOnce reports a window once all entries have told it, and once more only as an exact repeat.
func TestReportsOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	end := window.End(length)
	rows := table.NewMemory()
	to := &platform{lose: 1}
	first := newRig(rows, to, end.Add(1500*time.Millisecond), 7)
	run := func(r *rig, times int) {
		for range times {
			_ = r.Step(t.Context())
		}
	}
	told := func() []sent {
		var of []sent
		for _, report := range to.reports {
			if report.window == window {
				of = append(of, report)
			}
		}
		return of
	}
	first.tallies = []usage.InstanceCounts{tally(3, end.Add(time.Second)), tally(1, end.Add(-time.Second))}
	run(first, 10)
	is.Equal(len(told()), 0) // One entry has not told all of it.

	first.tallies[1] = tally(4, end.Add(time.Millisecond))
	run(first, 10)
	is.Equal(told()[0], sent{7, window, 7})

	// A successor that sees other counts repeats what was frozen.
	second := newRig(rows, to, end.Add(3*time.Second), 8)
	second.tallies = []usage.InstanceCounts{tally(99, end.Add(time.Second))}
	run(second, 10)
	for _, report := range told() {
		is.Equal(report.count, int64(7))
	}
	is.Equal(told()[len(told())-1].fence, ident.Fence(8))

	before := len(to.reports)
	run(first, 0)
	second.holder.fence = 0
	run(second, 3)
	is.Equal(len(to.reports), before) // Nothing is sent without the lease.
}

// TestSuccessorResumes holds that a new holder begins with what its predecessor has not surely reported, and makes up for all that
// is open at one look.
func TestSuccessorResumes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	end := window.End(length)
	rows := table.NewMemory()
	to := &platform{}
	first := newRig(rows, to, end.Add(1500*time.Millisecond), 7)
	is.NoErr(first.Report(t.Context()))
	is.Equal(len(to.reports), 3) // What is due, and what an unknown predecessor may have left open.

	second := newRig(rows, to, end.Add(length+1500*time.Millisecond), 8)
	is.NoErr(second.Report(t.Context()))
	is.Equal(to.reports[3:], []sent{{8, window, 0}, {8, window + 1, 0}})

	// A predecessor whose time was far ahead does not keep windows from being reported.
	ahead := newRig(rows, to, end.Add(10*length), 9)
	is.NoErr(ahead.Report(t.Context()))
	before := len(to.reports)
	third := newRig(rows, to, end.Add(2*length+1500*time.Millisecond), 10)
	is.NoErr(third.Report(t.Context()))
	is.Equal(to.reports[len(to.reports)-1], sent{10, window + 2, 0})
	is.Equal(len(to.reports)-before, 3)
}

// TestWaitsAtMostHalfTheReportDelay closes a window although an entry that counted in it stays silent.
func TestWaitsAtMostHalfTheReportDelay(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	end := window.End(length)
	to := &platform{}
	r := newRig(table.NewMemory(), to, end.Add(4900*time.Millisecond), 1)
	r.tallies = []usage.InstanceCounts{tally(3, end.Add(time.Second)), tally(1, end.Add(-time.Second))}
	closed := func() bool {
		for range 10 {
			_ = r.Step(t.Context())
		}
		for _, report := range to.reports {
			if report.window == window {
				return true
			}
		}
		return false
	}
	is.True(!closed())
	r.now = end.Add(5100 * time.Millisecond)
	is.True(closed())
}

// TestCounter counts by window of true time and forgets old windows.
func TestCounter(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := time.Unix(1_784_000_000, 0)
	counter := usage.NewCounter(length, func() time.Time { return now })
	counter.RequestStarted("c")
	counter.RequestStarted("c")
	old := usage.WindowAt(now, length)
	now = now.Add(length)
	counter.RequestStarted("d")
	counts := counter.Counts()
	is.Equal(counts[old]["c"], int64(2))
	is.Equal(counts[old+1]["d"], int64(1))
	merged := counts.Merge(usage.Counts{old: {"c": 1, "e": 5}})
	is.Equal(merged[old]["c"], int64(2))
	is.Equal(merged[old]["e"], int64(5))
	now = now.Add(20 * length)
	is.Equal(len(counter.Counts()), 0)
}
