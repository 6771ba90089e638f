package billing

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/samber/oops"

	"vanillapond/internal/process/event"
	"vanillapond/internal/process/ledger"
	"vanillapond/internal/process/loop"
	"vanillapond/internal/process/platform"
	"vanillapond/internal/process/table"
	"vanillapond/pkg/ident"
)

// cleanupPartition is the partition whose closer deletes the totals of windows that all partitions have frozen.
const cleanupPartition Partition = 0

// pageSize is the greatest number of rows that one scan reads.
const pageSize = 64

// Lease is the lease on the reporting of a partition; only its holder may close and report windows.
type Lease interface {
	// Fence returns the fencing number and the check that a commit under the lease must include; false if the lease is not
	// held.
	Fence() (ident.Fence, table.Check, bool)
}

// errLeaseLost is why a report is not sent.
var errLeaseLost = errors.New("billing: the lease on reporting is not held any more")

// lateThreshold is the duration after the end of a window's grace period beyond which a report counts as late.
const lateThreshold = 5 * time.Minute

// Config holds the dependencies and settings of a Closer, which closes and reports the windows of one partition.
type Config struct {
	Table     table.Table
	Reports   platform.Reports
	Lease     Lease
	Events    *event.Recorder
	Process   ident.Process
	Partition Partition
	// WindowLength returns the current length of a window in seconds, or 0 while the length is unknown.
	WindowLength func() int64
	// GracePeriod is the time after its end in which a window still accepts usage.
	GracePeriod time.Duration
	// Interval is the time between two polls of the partition's progress.
	Interval time.Duration
	// Now returns the wall-clock time; nil means time.Now.
	Now func() time.Time
}

// phase is the next operation of a closer.
type phase int

const (
	phaseReadProgress phase = iota
	phaseLoadFrozen
	phaseReport
	phaseMarkReported
	phaseSum
	phaseFreeze
	phaseSeal
	phaseFindCleanupBound
	phaseCollectObsolete
	phaseDeleteObsolete
)

// Closer seals, freezes and reports the windows of one partition. It must be used by one goroutine only.
type Closer struct {
	config Config
	phase  phase
	// progress and sealed hold the values last read, with the revisions of their rows.
	progress         Progress
	progressRevision table.Revision
	sealed           ident.Window
	sealedRevision   table.Revision
	// loaded is the window being reported under fence; nextStatement is the index of the statement to send next.
	loaded        FrozenWindow
	fence         ident.Fence
	nextStatement int
	// inFlight is set when the outcome of a report is unknown, because the report may still be in flight; it is never cleared.
	inFlight bool
	// window is the window being summed, 0 before its first row; lastKey is the key of the last row added to sum.
	window  ident.Window
	lastKey table.Key
	sum     statementSums
	// obsolete holds the rows to delete, of windows up to cleanupBound. cleanedThrough is the last frozen window of the
	// partition when a cleanup last started.
	obsolete       []table.Write
	cleanupBound   ident.Window
	cleanedThrough ident.Window
}

// New returns a closer that starts by reading the progress of its partition.
func New(config Config) *Closer {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Closer{config: config}
}

// Run closes and reports windows until the context is done.
func (c *Closer) Run(ctx context.Context) { loop.Run(ctx, c, c.config.Interval) }

// NoneInFlight reports whether the outcome of every report sent is known, so that no report can still be in flight.
// It must be called after Run has returned.
func (c *Closer) NoneInFlight() bool { return !c.inFlight }

// Step checks the lease and makes at most one call to an external service; it reports whether there is more to do.
//
// After a failure it starts again by reading the progress from the table, except that a failed report is sent again.
func (c *Closer) Step(ctx context.Context) (bool, error) {
	fence, leaseCheck, held := c.config.Lease.Fence()
	if !held || (c.phase != phaseReadProgress && fence != c.fence) {
		c.phase = phaseReadProgress
		return false, nil
	}
	phase := c.phase
	c.phase = phaseReadProgress
	c.fence = fence
	switch phase {
	case phaseLoadFrozen:
		return true, c.loadFrozen(ctx)
	case phaseReport:
		return true, c.report(ctx)
	case phaseMarkReported:
		return true, c.commitProgress(ctx, leaseCheck, Progress{Frozen: c.progress.Frozen, Reported: c.loaded.Window})
	case phaseSum:
		return true, c.addPage(ctx)
	case phaseFreeze:
		return true, c.freeze(ctx, leaseCheck)
	case phaseSeal:
		return true, c.seal(ctx, leaseCheck)
	case phaseFindCleanupBound:
		return true, c.findCleanupBound(ctx)
	case phaseCollectObsolete:
		return true, c.collectObsolete(ctx)
	case phaseDeleteObsolete:
		return true, c.deleteObsolete(ctx, leaseCheck)
	default:
		return c.readProgress(ctx)
	}
}

// readProgress reads the progress of the partition and selects the next phase.
func (c *Closer) readProgress(ctx context.Context) (bool, error) {
	rows, err := c.config.Table.Read(ctx, progressKey(c.config.Partition), ledger.KeySealed)
	if err != nil {
		return true, err
	}
	if c.progress, err = decode[Progress](rows[0]); err != nil {
		return true, err
	}
	sealed, err := ledger.DecodeRow[ledger.Sealed](rows[1])
	if err != nil {
		return true, err
	}
	c.progressRevision = rows[0].Revision
	c.sealed = sealed.Through
	c.sealedRevision = rows[1].Revision
	switch {
	case c.progress.Reported < c.progress.Frozen:
		c.phase = phaseLoadFrozen
	case c.progress.Frozen < c.sealed:
		c.startSum(c.progress.Frozen + 1)
	case c.dueWindow() > c.sealed:
		c.phase = phaseSeal
	case c.config.Partition == cleanupPartition && c.cleanedThrough < c.progress.Frozen:
		c.phase = phaseFindCleanupBound
	default:
		return false, nil
	}
	return true, nil
}

// dueWindow returns the last window whose grace period has ended, or 0 while the window length is unknown.
func (c *Closer) dueWindow() ident.Window {
	length := c.config.WindowLength()
	if length < 1 {
		return 0
	}
	return ident.Window((c.config.Now().Add(-c.config.GracePeriod).Unix()/length - 1) * length)
}

// seal stops the windows that are due from accepting usage.
func (c *Closer) seal(ctx context.Context, leaseCheck table.Check) error {
	write, err := ledger.EncodeRow(ledger.KeySealed, ledger.Sealed{Through: c.dueWindow()})
	if err != nil {
		return err
	}
	return c.config.Table.Commit(ctx, table.Transaction{
		Checks: []table.Check{leaseCheck, {Key: ledger.KeySealed, Revision: c.sealedRevision}},
		Writes: []table.Write{write},
	})
}

// startSum prepares to sum the first window, from the given one onwards, that has totals.
func (c *Closer) startSum(from ident.Window) {
	c.phase = phaseSum
	c.window = 0
	c.lastKey = ledger.PrefixWindow(from)
	c.sum = make(statementSums)
}

// addPage adds a page of totals to the sum. It may span several steps because the rows of a sealed window do not change.
func (c *Closer) addPage(ctx context.Context) error {
	rows, err := c.config.Table.Scan(ctx, ledger.PrefixTotal, c.lastKey, pageSize)
	if err != nil {
		return err
	}
	for _, row := range rows {
		window, err := ledger.WindowOf(row.Key)
		if err != nil {
			return err
		}
		if window > c.sealed || (c.window != 0 && window != c.window) {
			c.phase = phaseFreeze
			return nil
		}
		c.window = window
		c.lastKey = row.Key
		if err := c.sum.add(row, window, c.inPartition); err != nil {
			return err
		}
	}
	c.phase = phaseSum
	if len(rows) < pageSize {
		c.phase = phaseFreeze
	}
	return nil
}

func (c *Closer) inPartition(total ledger.Total) bool {
	return PartitionOf(total.Customer) == c.config.Partition
}

// freeze stores the sum as the final statements of the window; a window without usage in the partition gets no row.
func (c *Closer) freeze(ctx context.Context, leaseCheck table.Check) error {
	if c.window == 0 {
		return c.commitProgress(ctx, leaseCheck, Progress{Frozen: c.sealed, Reported: c.sealed})
	}
	if len(c.sum) == 0 {
		return c.commitProgress(ctx, leaseCheck, Progress{Frozen: c.window, Reported: c.window})
	}
	frozen, err := c.sum.freeze(c.window)
	if err != nil {
		return err
	}
	key := frozenKey(c.config.Partition, c.window)
	write, err := encode(key, frozen)
	if err != nil {
		return err
	}
	if err := c.commitProgress(ctx, leaseCheck, Progress{Frozen: c.window, Reported: c.progress.Reported}, write); err != nil {
		return err
	}
	c.recordEvent("window_frozen", "", fmt.Sprintf("window %d, %d customers", c.window, len(frozen.Statements)))
	return nil
}

// commitProgress commits the progress, together with further writes, under the lease.
func (c *Closer) commitProgress(ctx context.Context, leaseCheck table.Check, progress Progress, writes ...table.Write) error {
	key := progressKey(c.config.Partition)
	write, err := encode(key, progress)
	if err != nil {
		return err
	}
	return c.config.Table.Commit(ctx, table.Transaction{
		Checks: []table.Check{leaseCheck, {Key: key, Revision: c.progressRevision}},
		Writes: append(writes, write),
	})
}

// loadFrozen reads the first frozen window that has not been reported.
func (c *Closer) loadFrozen(ctx context.Context) error {
	prefix := frozenPrefix(c.config.Partition)
	rows, err := c.config.Table.Scan(ctx, prefix, frozenKey(c.config.Partition, c.progress.Reported), 1)
	if err != nil {
		return err
	}
	if len(rows) == 0 {
		return oops.Errorf("frozen window after %d: found none, want one up to %d", c.progress.Reported, c.progress.Frozen)
	}
	if c.loaded, err = decode[FrozenWindow](rows[0]); err != nil {
		return err
	}
	c.nextStatement = 0
	c.phase = phaseReport
	return nil
}

// report sends one statement; if the statement is sent again, the report has the same ID and the same bytes.
func (c *Closer) report(ctx context.Context) error {
	report, err := c.buildReport(c.loaded.Statements[c.nextStatement])
	if err != nil {
		return err
	}
	c.phase = phaseReport
	if err := c.config.Reports.Report(ctx, report, c.checkLease); err != nil {
		c.inFlight = c.inFlight || errors.Is(err, table.ErrOutcomeUnknown)
		return err
	}
	c.recordEvent("window_reported", report.Customer, report.ID)
	if c.sinceGracePeriod(report.Window) > lateThreshold {
		c.recordEvent("window_reported_late", report.Customer, report.ID)
	}
	c.nextStatement++
	if c.nextStatement == len(c.loaded.Statements) {
		c.phase = phaseMarkReported
	}
	return nil
}

// checkLease returns an error unless the lease is still held with the fencing number of the report.
func (c *Closer) checkLease() error {
	if fence, _, held := c.config.Lease.Fence(); !held || fence != c.fence {
		return errLeaseLost
	}
	return nil
}

// sinceGracePeriod returns the time since the end of a window's grace period.
func (c *Closer) sinceGracePeriod(window ident.Window) time.Duration {
	end := time.Unix(int64(window)+c.config.WindowLength(), 0).Add(c.config.GracePeriod)
	return c.config.Now().Sub(end)
}

func (c *Closer) buildReport(body json.RawMessage) (platform.Report, error) {
	var statement Statement
	if err := json.Unmarshal(body, &statement); err != nil {
		return platform.Report{}, oops.Wrapf(err, "decode statement")
	}
	return platform.Report{
		ID:     fmt.Sprintf("%d.%s.%s", statement.Window, statement.Partner, statement.Customer),
		Sender: c.config.Process, Fence: c.fence,
		Customer: statement.Customer, Window: statement.Window, Body: body,
	}, nil
}

func (c *Closer) recordEvent(name event.Name, customer ident.Customer, detail string) {
	if c.config.Events == nil {
		return
	}
	c.config.Events.Record(event.Event{Name: name, Customer: customer, Fence: c.fence, Detail: detail})
}
