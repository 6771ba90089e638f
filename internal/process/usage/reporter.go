package usage

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/lease"
	"vanillapond/internal/process/table"
	"vanillapond/pkg/ident"
)

// keyPrefix is the prefix of the reporter's rows: one row per frozen window with the counts to report, which never change,
// and the row at lastReportedKey.
//
// The table may be restored from an earlier copy that lacks frozen rows whose counts were reported. Such a window must not be frozen
// again with other counts, so a window that may have been frozen in an earlier era is reported only if its row or the memory of this
// process still has its counts.
const keyPrefix = "usage"

// retainedFrozenWindows is the number of windows after which a frozen row is deleted: longer than any lease holder may still
// send its counts.
const retainedFrozenWindows = 4 * retainedWindows

// Timing of reports.
const (
	// readDelayIntervals is the delay between the end of a window and the first read of its counts, in heartbeat intervals;
	// instances that have not written their counts by then are waited for.
	readDelayIntervals = 1
	// pollInterval is the time between two checks for windows that are due.
	pollInterval = 500 * time.Millisecond
	// waitFraction is the fraction of MaxReportDelay during which the reporter waits for missing counts. The rest remains for a
	// new lease holder or an outage of the store.
	waitFraction = 0.5
	// callTimeoutFraction is the timeout of one call as a fraction of the lease's term. The lease must remain valid for at
	// least this time when the call is made.
	callTimeoutFraction = 0.3
)

// InstanceCounts holds the counts of one router instance up to a point in agreed time.
type InstanceCounts struct {
	Counts Counts
	Until  time.Time
	// Ended is true if the instance has stopped and counts no more requests.
	Ended bool
}

// incompleteFor reports whether the counts of a window may still grow: they end before the window does, and the instance was
// counting in the window or the one before it. An instance whose counts end earlier is not waited for.
func (c InstanceCounts) incompleteFor(window Window, length time.Duration) bool {
	end := window.End(length)
	return !c.Ended && c.Until.Before(end) && c.Until.After(end.Add(-2*length))
}

// errLost is returned for a window whose counts were frozen in an earlier era, as far as can be known, and are lost.
var errLost = errors.New("usage: the frozen counts of the window may have been lost in a restore of the table")

// errIncomplete is returned while the reporter waits for a router instance to write its counts of a window.
var errIncomplete = errors.New("usage: a router instance has not written its counts of the window yet")

// Lease is the lease on reporting; only its holder may freeze and send windows.
type Lease interface {
	Check(now clock.Reading, guard time.Duration) (lease.Grant, error)
	Condition(grant lease.Grant) (table.Check, error)
	Now() clock.Reading
	Term() time.Duration
}

// Report is the report of one window.
type Report struct {
	Window Window
	Counts map[ident.Customer]int64
	// Fence is the fencing number of the lease under which the report is sent.
	Fence ident.Fence
	// Timeout bounds how long sending takes; the lease lasts longer.
	Timeout time.Duration
	// Confirm returns an error once the lease may end within Timeout. It is called immediately before anything is sent.
	Confirm func() error
}

// ReportSender sends reports to the platform.
type ReportSender interface {
	// Send sends a report; sending the same counts again has no further effect. A report that is given up must not be sent later.
	Send(ctx context.Context, report Report) error
}

// ReporterConfig holds the dependencies and settings of a Reporter.
type ReporterConfig struct {
	Table  table.Table
	Lease  Lease
	Sender ReportSender
	// ReadCounts reads the counts of all router instances.
	ReadCounts func(ctx context.Context) ([]InstanceCounts, error)
	// HeartbeatInterval returns the time between two writes of an instance's row, which contains its counts.
	HeartbeatInterval func() time.Duration
	// WindowLength is the length of a window, MaxReportDelay the time after its end by which it must be reported.
	WindowLength   time.Duration
	MaxReportDelay time.Duration
	// Now returns the agreed time.
	Now func() time.Time
	// EraSince returns the agreed time at which this process first saw the table's current era; nil means the start of time.
	EraSince func() time.Time
	Log      func(event string, pairs ...any)
}

// Reporter freezes and sends windows while the lease is held.
type Reporter struct {
	config ReporterConfig
	// lastReported is the last window that was sent under the current fence; the windows before it need no report.
	lastReported Window
	// fence is the fencing number under which lastReported is valid.
	fence ident.Fence
	// unsafeUntil is the end of the last window that may have been frozen in an earlier era; zero if no restore is possible since
	// the last freeze.
	unsafeUntil time.Time
	// frozen holds the counts of the last windows that this process froze or read as frozen.
	frozen map[Window]map[ident.Customer]int64
	// unknownAt is the reading of the lease's clock at the end of the last report whose outcome is unknown, 0 if there was none.
	unknownAt atomic.Int64
	// unreported is the number of windows that were due and not sent at the last check.
	unreported atomic.Int64
}

// NewReporter returns a reporter that has not reported any window.
func NewReporter(config ReporterConfig) *Reporter {
	if config.EraSince == nil {
		config.EraSince = func() time.Time { return time.Time{} }
	}
	return &Reporter{config: config, frozen: make(map[Window]map[ident.Customer]int64)}
}

// UnreportedWindows returns the number of windows that are due and not reported, or 0 if this process does not hold the lease.
func (r *Reporter) UnreportedWindows() int { return int(r.unreported.Load()) }

// Run reports windows until the context is done.
func (r *Reporter) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if err := r.Report(ctx); err != nil && ctx.Err() == nil {
				r.config.Log("usage_report_failed", "err", err)
			}
		case <-ctx.Done():
			return
		}
	}
}

// Report reports all windows that are due, if the lease is held; after an outage there may be several.
func (r *Reporter) Report(ctx context.Context) error {
	for {
		previous := r.lastReported
		if err := r.Step(ctx); err != nil || r.lastReported == previous {
			return err
		}
	}
}

// Step reports the oldest window that is due, if the lease is held.
func (r *Reporter) Step(ctx context.Context) error {
	r.unreported.Store(0)
	grant, err := r.config.Lease.Check(r.config.Lease.Now(), r.timeout())
	if errors.Is(err, lease.ErrNotHeld) {
		return nil
	}
	if err != nil {
		return err
	}
	now := r.config.Now()
	due := WindowAt(now.Add(-readDelayIntervals*r.config.HeartbeatInterval()), r.config.WindowLength) - 1
	if r.fence != grant.Fence {
		lastReported, err := r.resume(ctx, grant, due)
		if err != nil {
			return err
		}
		r.fence, r.lastReported = grant.Fence, lastReported
	}
	r.unreported.Store(int64(max(due-r.lastReported, 0)))
	if r.lastReported >= due {
		return nil
	}
	window := r.lastReported + 1
	if due-window > retainedWindows {
		// No instance retains the counts of older windows.
		window = due - retainedWindows
		r.config.Log("usage_windows_lost", "from", r.lastReported+1, "to", window-1)
	}
	counts, err := r.freeze(ctx, grant, window)
	if errors.Is(err, errIncomplete) {
		return nil
	}
	if errors.Is(err, errLost) {
		r.config.Log("usage_window_unknown", "window", window, "fence", grant.Fence, "restored_before", r.unsafeUntil)
		r.lastReported = window
		return nil
	}
	if err != nil {
		return err
	}
	if err := r.send(ctx, grant, window, counts); err != nil {
		return oops.Wrapf(err, "window %d", window)
	}
	r.config.Log("usage_reported", "window", window, "fence", grant.Fence, "customers", len(counts),
		"after_ms", now.Sub(window.End(r.config.WindowLength)).Milliseconds())
	r.lastReported = window
	return nil
}

// send sends the counts of a window while the lease is held.
func (r *Reporter) send(ctx context.Context, grant lease.Grant, window Window, counts map[ident.Customer]int64) error {
	confirm := func() error {
		current, err := r.config.Lease.Check(r.config.Lease.Now(), r.timeout())
		if err == nil && current.Fence != grant.Fence {
			err = lease.ErrNotHeld
		}
		return err
	}
	if err := confirm(); err != nil {
		return err
	}
	err := r.config.Sender.Send(ctx, Report{Window: window, Counts: counts, Fence: grant.Fence, Timeout: r.timeout(), Confirm: confirm})
	if errors.Is(err, table.ErrOutcomeUnknown) {
		r.unknownAt.Store(int64(r.config.Lease.Now()))
	}
	return err
}

// MayBeInFlight reports whether a report whose outcome is unknown may still reach the platform before the lease under which it was sent ends, so that
// the lease must not be released.
func (r *Reporter) MayBeInFlight() bool {
	unknownAt := clock.Reading(r.unknownAt.Load())
	return unknownAt != 0 && r.config.Lease.Now().Sub(unknownAt) < r.config.Lease.Term()
}

// timeout returns the timeout of one call.
func (r *Reporter) timeout() time.Duration {
	return time.Duration(callTimeoutFraction * float64(r.config.Lease.Term()))
}

// freeze returns the frozen counts of a window, and stores them first if the window is not frozen yet. Every caller gets the
// same counts at any time.
func (r *Reporter) freeze(ctx context.Context, grant lease.Grant, window Window) (map[ident.Customer]int64, error) {
	key := frozenKey(window)
	rows, err := r.config.Table.Read(ctx, key)
	if err != nil {
		return nil, err
	}
	if rows[0].Revision != 0 {
		var frozen map[ident.Customer]int64
		if err := json.Unmarshal(rows[0].Value, &frozen); err != nil {
			return nil, oops.Wrapf(err, "decode %s", key)
		}
		r.retain(window, frozen)
		return frozen, nil
	}
	counts, known := r.frozen[window]
	if !known {
		if !window.End(r.config.WindowLength).After(r.unsafeUntil) {
			return nil, errLost
		}
		if counts, err = r.sum(ctx, window); err != nil {
			return nil, err
		}
	}
	value, err := json.Marshal(counts)
	if err != nil {
		return nil, oops.Wrapf(err, "encode %s", key)
	}
	last, err := json.Marshal(lastReportedRow{Window: window - 1, Era: rows[0].Era})
	if err != nil {
		return nil, oops.Wrapf(err, "encode %s", lastReportedKey)
	}
	leaseCheck, err := r.config.Lease.Condition(grant)
	if err != nil {
		return nil, err
	}
	transaction := table.Transaction{
		Checks: []table.Check{{Key: key}, leaseCheck},
		Writes: []table.Write{
			{Key: key, Value: value},
			{Key: frozenKey(window - retainedFrozenWindows), Delete: true},
			{Key: lastReportedKey, Value: last},
		},
	}
	if err := r.config.Table.Commit(ctx, transaction); err != nil {
		// The transaction may have been applied nevertheless; the next step reads the row again.
		return nil, oops.Wrapf(err, "freeze window %d", window)
	}
	r.retain(window, counts)
	return counts, nil
}

// retain keeps the counts of a frozen window, so that they can be frozen again if the table loses them.
func (r *Reporter) retain(window Window, counts map[ident.Customer]int64) {
	r.frozen[window] = counts
	for known := range r.frozen {
		if known < window-retainedFrozenWindows {
			delete(r.frozen, known)
		}
	}
}

func frozenKey(window Window) table.Key {
	return table.Key(keyPrefix + "/" + strconv.FormatInt(int64(window), 10))
}

// sum adds up the counts of a window over all router instances. It returns errIncomplete while an instance may still write more
// counts in time.
func (r *Reporter) sum(ctx context.Context, window Window) (map[ident.Customer]int64, error) {
	instances, err := r.config.ReadCounts(ctx)
	if err != nil {
		return nil, err
	}
	maxWait := time.Duration(waitFraction * float64(r.config.MaxReportDelay))
	waiting := r.config.Now().Before(window.End(r.config.WindowLength).Add(maxWait))
	total := make(map[ident.Customer]int64)
	incomplete := 0
	for _, instance := range instances {
		if instance.incompleteFor(window, r.config.WindowLength) {
			incomplete++
		}
		for customer, count := range instance.Counts[window] {
			total[customer] += count
		}
	}
	if incomplete > 0 && waiting {
		return nil, errIncomplete
	}
	if incomplete > 0 {
		r.config.Log("usage_incomplete", "window", window, "entries", len(instances), "missing", incomplete)
	}
	return total, nil
}
