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

// frozenTable holds one row a window with the figures that are reported, which never change, and a row that names the last
// window that is surely reported.
const frozenTable = "usage"

// sentKey is the key of the last window that is surely reported; the windows before it are, too.
const sentKey = table.Key(frozenTable + "/sent")

// keptFrozen is how many windows a frozen row stays after it was reported: longer than any holder may still send it.
const keptFrozen = 4 * keptWindows

// Times of a report.
const (
	// settleBeats is how many beats after a window's end its figures are first asked for; entries that have not written
	// them by then are waited for.
	settleBeats = 1
	// lookInterval is the time between two looks for windows that are due.
	lookInterval = 500 * time.Millisecond
	// patience is the part of the time until a report is due in which missing entries are waited for: the rest is for a
	// new holder or an outage of the store.
	patience = 0.5
	// sendShare is the part of the lease's term that bounds one call, and for which the lease must last when it is made.
	sendShare = 0.3
)

// InstanceCounts is what one entry has counted up to a moment of true time.
type InstanceCounts struct {
	Counts Counts
	Until  time.Time
	// Ended says that the entry has stopped and counts no more.
	Ended bool
}

// misses reports whether the entry counted in a window, or just before it, and has not told all of it yet.
func (t InstanceCounts) misses(window Window, length time.Duration) bool {
	end := window.End(length)
	return !t.Ended && t.Until.Before(end) && t.Until.After(end.Add(-2*length))
}

// errIncomplete says that an entry has not told all that it counted in a window.
var errIncomplete = errors.New("usage: an entry has not told its counts yet")

// Lease says whether this process is in charge of the reports.
type Lease interface {
	Check(now clock.Reading, guard time.Duration) (lease.Grant, error)
	Condition(grant lease.Grant) (table.Check, error)
	Now() clock.Reading
	Term() time.Duration
}

// ReportSender takes finished windows.
type ReportSender interface {
	// Send gives the figures of a window to the platform; an exact repeat has no further effect.
	Send(ctx context.Context, fence ident.Fence, window Window, counts map[ident.Customer]int64, timeout time.Duration) error
}

// ReporterConfig says what a reporter works with.
type ReporterConfig struct {
	Table  table.Table
	Lease  Lease
	Sender ReportSender
	// ReadCounts reads the counts of all entries.
	ReadCounts func(ctx context.Context) ([]InstanceCounts, error)
	// HeartbeatInterval returns how often entries write their counts.
	HeartbeatInterval func() time.Duration
	// WindowLength is that of a window, and Late how long after its end the report is due.
	WindowLength   time.Duration
	MaxReportDelay time.Duration
	// Now tells true time.
	Now func() time.Time
	Log func(event string, pairs ...any)
}

// Reporter freezes and sends the windows while the lease is held.
type Reporter struct {
	config ReporterConfig
	// sent is the last window that was sent in this term; windows before it are done.
	sent Window
	// fence is of the term that sent belongs to.
	fence ident.Fence
	// open counts the windows that were due and not sent at the last look.
	open atomic.Int64
}

// NewReporter returns a reporter.
func NewReporter(config ReporterConfig) *Reporter { return &Reporter{config: config} }

// UnreportedWindows returns how many windows are due and not reported, as far as this process is in charge of them; else 0.
func (r *Reporter) UnreportedWindows() int { return int(r.open.Load()) }

// Run reports windows until the context is done.
func (r *Reporter) Run(ctx context.Context) {
	ticker := time.NewTicker(lookInterval)
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

// Report reports all windows that are due, if the lease is held: after an outage one look makes up for several.
func (r *Reporter) Report(ctx context.Context) error {
	for {
		before := r.sent
		if err := r.Step(ctx); err != nil || r.sent == before {
			return err
		}
	}
}

// Step reports the oldest window that is due, if the lease is held.
func (r *Reporter) Step(ctx context.Context) error {
	r.open.Store(0)
	grant, err := r.config.Lease.Check(r.config.Lease.Now(), r.timeout())
	if errors.Is(err, lease.ErrNotHeld) {
		return nil
	}
	if err != nil {
		return err
	}
	now := r.config.Now()
	due := WindowAt(now.Add(-settleBeats*r.config.HeartbeatInterval()), r.config.WindowLength) - 1
	if r.fence != grant.Fence {
		sent, err := r.resume(ctx, due)
		if err != nil {
			return err
		}
		r.fence, r.sent = grant.Fence, sent
	}
	r.open.Store(int64(max(due-r.sent, 0)))
	if r.sent >= due {
		return nil
	}
	window := r.sent + 1
	if due-window > keptWindows {
		// Nobody keeps the counts of older windows any more.
		window = due - keptWindows
		r.config.Log("usage_windows_lost", "from", r.sent+1, "to", window-1)
	}
	counts, err := r.freeze(ctx, grant, window)
	if errors.Is(err, errIncomplete) {
		return nil
	}
	if err != nil {
		return err
	}
	if _, err := r.config.Lease.Check(r.config.Lease.Now(), r.timeout()); err != nil {
		return err
	}
	if err := r.config.Sender.Send(ctx, grant.Fence, window, counts, r.timeout()); err != nil {
		return oops.Wrapf(err, "window %d", window)
	}
	r.config.Log("usage_reported", "window", window, "fence", grant.Fence, "customers", len(counts),
		"after_ms", now.Sub(window.End(r.config.WindowLength)).Milliseconds())
	r.sent = window
	return nil
}

// resume returns the last window that need not be reported in a new term.
//
// A predecessor may have left the windows of its last moments open; older ones are too late.
func (r *Reporter) resume(ctx context.Context, due Window) (Window, error) {
	oldest := due - Window(r.config.MaxReportDelay/r.config.WindowLength) - 1
	rows, err := r.config.Table.Read(ctx, sentKey)
	if err != nil {
		return 0, err
	}
	if rows[0].Revision == 0 {
		return oldest, nil
	}
	var sent Window
	if err := json.Unmarshal(rows[0].Value, &sent); err != nil {
		r.config.Log("usage_row_unreadable", "key", sentKey, "err", err)
		return oldest, nil
	}
	if sent > due {
		// The predecessor's time was ahead; a repeat does no harm, a window left out would.
		return oldest, nil
	}
	return max(sent, oldest), nil
}

// timeout bounds one call.
func (r *Reporter) timeout() time.Duration {
	return time.Duration(sendShare * float64(r.config.Lease.Term()))
}

// freeze returns the figures of a window, which are the same for whoever asks, whenever.
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
		return frozen, nil
	}
	counts, err := r.sum(ctx, window)
	if err != nil {
		return nil, err
	}
	value, err := json.Marshal(counts)
	if err != nil {
		return nil, oops.Wrapf(err, "encode %s", key)
	}
	held, err := r.config.Lease.Condition(grant)
	if err != nil {
		return nil, err
	}
	transaction := table.Transaction{
		Checks: []table.Check{{Key: key}, held},
		Writes: []table.Write{
			{Key: key, Value: value},
			{Key: frozenKey(window - keptFrozen), Delete: true},
			{Key: sentKey, Value: strconv.AppendInt(nil, int64(window-1), 10)},
		},
	}
	if err := r.config.Table.Commit(ctx, transaction); err != nil {
		// Whether it was written shows when the row is read again.
		return nil, oops.Wrapf(err, "freeze window %d", window)
	}
	return counts, nil
}

func frozenKey(window Window) table.Key {
	return table.Key(frozenTable + "/" + strconv.FormatInt(int64(window), 10))
}

// sum adds up a window, unless an entry may still tell more of it in time.
func (r *Reporter) sum(ctx context.Context, window Window) (map[ident.Customer]int64, error) {
	tallies, err := r.config.ReadCounts(ctx)
	if err != nil {
		return nil, err
	}
	wait := time.Duration(patience * float64(r.config.MaxReportDelay))
	patient := r.config.Now().Before(window.End(r.config.WindowLength).Add(wait))
	total := make(map[ident.Customer]int64)
	missing := 0
	for _, tally := range tallies {
		if tally.misses(window, r.config.WindowLength) {
			missing++
		}
		for customer, count := range tally.Counts[window] {
			total[customer] += count
		}
	}
	if missing > 0 && patient {
		return nil, errIncomplete
	}
	if missing > 0 {
		r.config.Log("usage_incomplete", "window", window, "entries", len(tallies), "missing", missing)
	}
	return total, nil
}
