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
	windowLength   = 5 * time.Second
	maxReportDelay = 10 * time.Second
)

// fakeLease is a stub lease that is held while fence is above 0.
type fakeLease struct {
	fence ident.Fence
	now   clock.Reading
}

func (l *fakeLease) Check(clock.Reading, time.Duration) (lease.Grant, error) {
	if l.fence == 0 {
		return lease.Grant{}, lease.ErrNotHeld
	}
	return lease.Grant{Fence: l.fence}, nil
}

func (l *fakeLease) Condition(lease.Grant) (table.Check, error) {
	return table.Check{Key: "lease/x"}, nil
}
func (l *fakeLease) Term() time.Duration { return time.Second }
func (l *fakeLease) Now() clock.Reading  { return l.now }

// sentReport is one report as the platform received it.
type sentReport struct {
	fence  ident.Fence
	window usage.Window
	count  int64
}

// fakePlatform stores the reports it receives, and returns an unknown outcome for the first lostResponses of them.
type fakePlatform struct {
	reports       []sentReport
	lostResponses int
	// beforeSend is called before a report is confirmed; nil is not called.
	beforeSend func()
}

func (p *fakePlatform) Send(_ context.Context, report usage.Report) error {
	if p.beforeSend != nil {
		p.beforeSend()
	}
	if err := report.Confirm(); err != nil {
		return table.ErrRefused
	}
	p.reports = append(p.reports, sentReport{report.Fence, report.Window, report.Counts["c"]})
	if len(p.reports) <= p.lostResponses {
		return table.ErrOutcomeUnknown
	}
	return nil
}

// harness runs a reporter on a fake clock.
type harness struct {
	*usage.Reporter
	now       time.Time
	lease     *fakeLease
	platform  *fakePlatform
	instances []usage.InstanceCounts
	// eraSince is when the reporter first saw the table's era.
	eraSince time.Time
}

func newHarness(store table.Table, platform *fakePlatform, now time.Time, fence ident.Fence) *harness {
	h := &harness{now: now, lease: &fakeLease{fence: fence}, platform: platform}
	h.Reporter = usage.NewReporter(usage.ReporterConfig{
		Table: store, Lease: h.lease, Sender: platform, HeartbeatInterval: func() time.Duration { return time.Second },
		WindowLength: windowLength, MaxReportDelay: maxReportDelay,
		ReadCounts: func(context.Context) ([]usage.InstanceCounts, error) { return h.instances, nil },
		Now:        func() time.Time { return h.now }, Log: func(string, ...any) {},
		EraSince: func() time.Time { return h.eraSince },
	})
	return h
}

// window is the window that the tests are about.
const window usage.Window = 1000

// instanceCounts returns the counts of an instance with n requests in the window, written up to a time.
func instanceCounts(n int64, until time.Time) usage.InstanceCounts {
	return usage.InstanceCounts{Counts: usage.Counts{window: {"c": n}}, Until: until}
}

// TestReportsOnce checks that a window is reported only when all instances have written its counts, and that it is sent again
// only with the same counts.
func TestReportsOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	end := window.End(windowLength)
	store := table.NewMemory()
	platform := &fakePlatform{lostResponses: 1}
	first := newHarness(store, platform, end.Add(1500*time.Millisecond), 7)
	run := func(h *harness, times int) {
		for range times {
			_ = h.Step(t.Context())
		}
	}
	windowReports := func() []sentReport {
		var matching []sentReport
		for _, report := range platform.reports {
			if report.window == window {
				matching = append(matching, report)
			}
		}
		return matching
	}
	first.instances = []usage.InstanceCounts{instanceCounts(3, end.Add(time.Second)), instanceCounts(1, end.Add(-time.Second))}
	run(first, 10)
	is.Equal(len(windowReports()), 0) // One instance has not written all its counts of the window.

	first.instances[1] = instanceCounts(4, end.Add(time.Millisecond))
	run(first, 10)
	is.Equal(windowReports()[0], sentReport{7, window, 7})

	// A successor that reads other counts sends the frozen ones.
	second := newHarness(store, platform, end.Add(3*time.Second), 8)
	second.instances = []usage.InstanceCounts{instanceCounts(99, end.Add(time.Second))}
	run(second, 10)
	for _, report := range windowReports() {
		is.Equal(report.count, int64(7))
	}
	is.Equal(windowReports()[len(windowReports())-1].fence, ident.Fence(8))

	before := len(platform.reports)
	run(first, 0)
	second.lease.fence = 0
	run(second, 3)
	is.Equal(len(platform.reports), before) // Nothing is sent without the lease.
}

// TestSuccessorResumes checks that a new lease holder starts with the first window that its predecessor is not known to have
// reported, and reports all windows that are due in one call.
func TestSuccessorResumes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	end := window.End(windowLength)
	store := table.NewMemory()
	platform := &fakePlatform{}
	first := newHarness(store, platform, end.Add(1500*time.Millisecond), 7)
	is.NoErr(first.Report(t.Context()))
	is.Equal(len(platform.reports), 3) // The window that is due, and those that an unknown predecessor may have left unreported.

	second := newHarness(store, platform, end.Add(windowLength+1500*time.Millisecond), 8)
	is.NoErr(second.Report(t.Context()))
	is.Equal(platform.reports[3:], []sentReport{{8, window, 0}, {8, window + 1, 0}})

	// A predecessor whose clock was far ahead must not prevent windows from being reported.
	ahead := newHarness(store, platform, end.Add(10*windowLength), 9)
	is.NoErr(ahead.Report(t.Context()))
	before := len(platform.reports)
	third := newHarness(store, platform, end.Add(2*windowLength+1500*time.Millisecond), 10)
	is.NoErr(third.Report(t.Context()))
	is.Equal(platform.reports[len(platform.reports)-1], sentReport{10, window + 2, 0})
	is.Equal(len(platform.reports)-before, 3)
}

// TestWaitsAtMostHalfTheReportDelay checks that a window is reported after half of the maximum report delay although an
// instance that counted in it has not written its counts.
func TestWaitsAtMostHalfTheReportDelay(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	end := window.End(windowLength)
	platform := &fakePlatform{}
	h := newHarness(table.NewMemory(), platform, end.Add(4900*time.Millisecond), 1)
	h.instances = []usage.InstanceCounts{instanceCounts(3, end.Add(time.Second)), instanceCounts(1, end.Add(-time.Second))}
	reported := func() bool {
		for range 10 {
			_ = h.Step(t.Context())
		}
		for _, report := range platform.reports {
			if report.window == window {
				return true
			}
		}
		return false
	}
	is.True(!reported())
	h.now = end.Add(5100 * time.Millisecond)
	is.True(reported())
}

// TestCounter checks that requests are counted by window, that merging takes the greater count, and that old windows are
// deleted.
func TestCounter(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := time.Unix(1_784_000_000, 0)
	counter := usage.NewCounter(windowLength, func() time.Time { return now })
	counter.RequestStarted("c")
	counter.RequestStarted("c")
	old := usage.WindowAt(now, windowLength)
	now = now.Add(windowLength)
	counter.RequestStarted("d")
	counts := counter.Counts()
	is.Equal(counts[old]["c"], int64(2))
	is.Equal(counts[old+1]["d"], int64(1))
	merged := counts.Merge(usage.Counts{old: {"c": 1, "e": 5}})
	is.Equal(merged[old]["c"], int64(2))
	is.Equal(merged[old]["e"], int64(5))
	now = now.Add(20 * windowLength)
	is.Equal(len(counter.Counts()), 0)
}

// TestReportAfterLeaseChanged guards against a report of an earlier holder: the lease is lost, or lost and acquired again, after the counts were frozen
// and before the report is sent.
func TestReportAfterLeaseChanged(t *testing.T) {
	t.Parallel()
	for name, fence := range map[string]ident.Fence{"lost": 0, "acquired again": 9} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			platform := &fakePlatform{}
			end := window.End(windowLength)
			h := newHarness(table.NewMemory(), platform, end.Add(1500*time.Millisecond), 7)
			h.instances = []usage.InstanceCounts{instanceCounts(5, end)}
			platform.beforeSend = func() { h.lease.fence = fence }
			for range 3 {
				_ = h.Step(t.Context())
			}
			for _, report := range platform.reports {
				is.Equal(report.fence, fence)
			}
		})
	}
}

// TestReportInFlight guards against a lease that is released while a report with an unknown outcome may still arrive, after one of the next holder.
func TestReportInFlight(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	platform := &fakePlatform{lostResponses: 1}
	end := window.End(windowLength)
	h := newHarness(table.NewMemory(), platform, end.Add(1500*time.Millisecond), 7)
	h.lease.now = clock.Reading(time.Hour)
	is.True(!h.MayBeInFlight())
	is.True(h.Step(t.Context()) != nil)
	is.True(h.MayBeInFlight())
	is.NoErr(h.Step(t.Context()))
	is.True(h.MayBeInFlight())
	h.lease.now = h.lease.now.Add(h.lease.Term())
	is.True(!h.MayBeInFlight())
}
