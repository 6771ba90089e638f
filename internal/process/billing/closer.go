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

// cleaner is the partition whose closer deletes the totals that all partitions have frozen.
const cleaner Partition = 0

// page is how many rows one scan reads.
const page = 64

// Lease says whether this process is in charge of a partition's reports.
type Lease interface {
	// Fence returns the fencing number and the check that a commit under the lease needs, while it is held.
	Fence() (ident.Fence, table.Check, bool)
}

// lateAfter is how long after its window's grace a report counts as late.
const lateAfter = 5 * time.Minute

// Config says which partition is closed and reported.
type Config struct {
	Table     table.Table
	Reports   platform.Reports
	Lease     Lease
	Events    *event.Recorder
	Process   ident.Process
	Partition Partition
	// WindowLength returns the length of a window now, in seconds; 0 while it is not known.
	WindowLength func() int64
	// GracePeriod is how long after its end a window still takes usage.
	GracePeriod time.Duration
	// Interval is the time between two looks.
	Interval time.Duration
	// Now returns the wall time; nil means time.Now.
	Now func() time.Time
}

// phase is what a closer does next.
type phase int

const (
	phaseLook phase = iota
	phaseLoad
	phaseReport
	phaseMark
	phaseSum
	phaseFreeze
	phaseSeal
	phaseBound
	phaseGather
	phaseClean
)

// Closer closes and reports the windows of one partition; it is used by one goroutine.
type Closer struct {
	config Config
	phase  phase
	// progress, sealed and their revisions are as last read.
	progress         Progress
	progressRevision table.Revision
	sealed           ident.Window
	sealedRevision   table.Revision
	// loaded is what is being reported under fence; next is the statement to send.
	loaded FrozenWindow
	fence  ident.Fence
	next   int
	// unsettled says that a report may still be under way; it is never cleared.
	unsettled bool
	// window is being summed; after is the last row taken into sum.
	window ident.Window
	after  table.Key
	sum    sum
	// garbage is to be deleted, up to the window bound; swept is the frozen window for which that was last done.
	garbage []table.Write
	bound   ident.Window
	swept   ident.Window
}

// New returns a closer.
func New(config Config) *Closer {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Closer{config: config}
}

// Run closes and reports until the context is done.
func (c *Closer) Run(ctx context.Context) { loop.Run(ctx, c, c.config.Interval) }

// NoneInFlight reports whether nothing sent is under way; it is called after Run has ended.
func (c *Closer) NoneInFlight() bool { return !c.unsettled }

// Step checks the lease and makes at most one outside call; it reports whether there is more to do.
//
// After any failure but that of a report it starts again from the rows.
func (c *Closer) Step(ctx context.Context) (bool, error) {
	fence, condition, held := c.config.Lease.Fence()
	if !held || (c.phase != phaseLook && fence != c.fence) {
		c.phase = phaseLook
		return false, nil
	}
	at := c.phase
	c.phase = phaseLook
	c.fence = fence
	switch at {
	case phaseLoad:
		return true, c.load(ctx)
	case phaseReport:
		return true, c.report(ctx)
	case phaseMark:
		return true, c.advance(ctx, condition, Progress{Frozen: c.progress.Frozen, Reported: c.loaded.Window})
	case phaseSum:
		return true, c.add(ctx)
	case phaseFreeze:
		return true, c.freeze(ctx, condition)
	case phaseSeal:
		return true, c.seal(ctx, condition)
	case phaseBound:
		return true, c.findBound(ctx)
	case phaseGather:
		return true, c.gather(ctx)
	case phaseClean:
		return true, c.clean(ctx, condition)
	default:
		return c.look(ctx)
	}
}

// look reads how far the partition has come and decides what is next.
func (c *Closer) look(ctx context.Context) (bool, error) {
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
		c.phase = phaseLoad
	case c.progress.Frozen < c.sealed:
		c.startSum(c.progress.Frozen + 1)
	case c.due() > c.sealed:
		c.phase = phaseSeal
	case c.config.Partition == cleaner && c.swept < c.progress.Frozen:
		c.phase = phaseBound
	default:
		return false, nil
	}
	return true, nil
}

// due returns the last window that ended a grace ago.
func (c *Closer) due() ident.Window {
	length := c.config.WindowLength()
	if length < 1 {
		return 0
	}
	return ident.Window((c.config.Now().Add(-c.config.GracePeriod).Unix()/length - 1) * length)
}

// seal lets no more usage into the windows that are due.
func (c *Closer) seal(ctx context.Context, condition table.Check) error {
	write, err := ledger.EncodeRow(ledger.KeySealed, ledger.Sealed{Through: c.due()})
	if err != nil {
		return err
	}
	return c.config.Table.Commit(ctx, table.Transaction{
		Checks: []table.Check{condition, {Key: ledger.KeySealed, Revision: c.sealedRevision}},
		Writes: []table.Write{write},
	})
}

// startSum begins with the first sealed window that is not frozen.
func (c *Closer) startSum(from ident.Window) {
	c.phase = phaseSum
	c.window = 0
	c.after = ledger.PrefixWindow(from)
	c.sum = make(sum)
}

// add takes a page of totals into the sum; all rows of a sealed window stay as they are.
func (c *Closer) add(ctx context.Context) error {
	rows, err := c.config.Table.Scan(ctx, ledger.PrefixTotal, c.after, page)
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
		c.after = row.Key
		if err := c.sum.add(row, window, c.own); err != nil {
			return err
		}
	}
	c.phase = phaseSum
	if len(rows) < page {
		c.phase = phaseFreeze
	}
	return nil
}

func (c *Closer) own(total ledger.Total) bool {
	return PartitionOf(total.Customer) == c.config.Partition
}

// freeze keeps the sum for good; windows without usage of the partition leave no row.
func (c *Closer) freeze(ctx context.Context, condition table.Check) error {
	if c.window == 0 {
		return c.advance(ctx, condition, Progress{Frozen: c.sealed, Reported: c.sealed})
	}
	if len(c.sum) == 0 {
		return c.advance(ctx, condition, Progress{Frozen: c.window, Reported: c.window})
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
	if err := c.advance(ctx, condition, Progress{Frozen: c.window, Reported: c.progress.Reported}, write); err != nil {
		return err
	}
	c.record("window_frozen", "", fmt.Sprintf("window %d, %d customers", c.window, len(frozen.Statements)))
	return nil
}

// advance commits progress under the lease, with further rows.
func (c *Closer) advance(ctx context.Context, condition table.Check, progress Progress, writes ...table.Write) error {
	key := progressKey(c.config.Partition)
	write, err := encode(key, progress)
	if err != nil {
		return err
	}
	return c.config.Table.Commit(ctx, table.Transaction{
		Checks: []table.Check{condition, {Key: key, Revision: c.progressRevision}},
		Writes: append(writes, write),
	})
}

// load reads the first frozen window that is not reported.
func (c *Closer) load(ctx context.Context) error {
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
	c.next = 0
	c.phase = phaseReport
	return nil
}

// report sends one statement; a repeat has the same id and the same bytes.
func (c *Closer) report(ctx context.Context) error {
	report, err := c.build(c.loaded.Statements[c.next])
	if err != nil {
		return err
	}
	c.phase = phaseReport
	if err := c.config.Reports.Report(ctx, report); err != nil {
		c.unsettled = c.unsettled || errors.Is(err, table.ErrOutcomeUnknown)
		return err
	}
	c.record("window_reported", report.Customer, report.ID)
	if c.overdue(report.Window) > lateAfter {
		c.record("window_reported_late", report.Customer, report.ID)
	}
	c.next++
	if c.next == len(c.loaded.Statements) {
		c.phase = phaseMark
	}
	return nil
}

// overdue returns how long ago a window's grace ended.
func (c *Closer) overdue(window ident.Window) time.Duration {
	end := time.Unix(int64(window)+c.config.WindowLength(), 0).Add(c.config.GracePeriod)
	return c.config.Now().Sub(end)
}

func (c *Closer) build(body json.RawMessage) (platform.Report, error) {
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

func (c *Closer) record(name event.Name, customer ident.Customer, detail string) {
	if c.config.Events == nil {
		return
	}
	c.config.Events.Record(event.Event{Name: name, Customer: customer, Fence: c.fence, Detail: detail})
}
