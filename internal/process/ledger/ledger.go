package ledger

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"vanillapond/internal/process/loop"
	"vanillapond/internal/process/table"
	"vanillapond/pkg/ident"
)

// finalFlushTimeout bounds the flush at a planned stop.
const finalFlushTimeout = 5 * time.Second

// Config says where usage goes.
type Config struct {
	Table       table.Table
	Process     ident.Process
	Incarnation ident.Incarnation
	// WindowLength returns the length of a window now, in seconds.
	WindowLength func() int64
	// Interval is the time between two flushes.
	Interval time.Duration
	// Now returns the wall time; nil means time.Now.
	Now func() time.Time
	// OnAcknowledgment hears what has become durable; nil means nobody. It must not block.
	OnAcknowledgment func(Acknowledgment)
}

// Acknowledgment says what an entry's sidecars need no longer keep, or have to write themselves.
type Acknowledgment struct {
	Ledger ident.Incarnation
	// Through is the attempt up to which all are durable.
	Through Sequence
	// Fenced says that the incarnation writes nothing more.
	Fenced bool
}

// Ledger holds an entry's usage until it is durable.
type Ledger struct {
	config Config
	mu     sync.Mutex
	// All below is guarded by mu.

	// epoch counts the incarnations of this ledger; incarnation names the present one.
	epoch       int
	incarnation ident.Incarnation
	// next is the number of the next attempt; open holds the attempts without an outcome.
	next Sequence
	open map[Sequence]struct{}
	// totals holds the usage that is neither durable nor in the pending flush.
	totals map[account]Usage
	// covered holds the attempts whose outcome is durable.
	covered Coverage
	// pending is the flush whose outcome is not known; its content never changes.
	pending    *flush
	flushCount uint64
	// revisionsCurrent says that the revisions were read after the last commit.
	revisionsCurrent bool
	revision         table.Revision
	sealedRevision   table.Revision
	sealed           ident.Window
	// closing says that the next flush fences this incarnation itself.
	closing bool
}

// flush is one attempt to make usage durable.
type flush struct {
	number         uint64
	revision       table.Revision
	sealedRevision table.Revision
	totals         map[account]Usage
	covered        Coverage
	closing        bool
	transaction    table.Transaction
}

// New returns an empty ledger.
func New(config Config) *Ledger {
	if config.Now == nil {
		config.Now = time.Now
	}
	l := &Ledger{config: config}
	l.startIncarnation()
	return l
}

// startIncarnation starts the next incarnation with nothing in it.
func (l *Ledger) startIncarnation() {
	l.epoch++
	l.incarnation = ident.Incarnation(fmt.Sprintf("%s.%d", l.config.Incarnation, l.epoch))
	l.next = 1
	l.open = make(map[Sequence]struct{})
	l.totals = make(map[account]Usage)
	l.covered = Coverage{Next: 1}
	l.pending = nil
	l.flushCount = 0
	l.revisionsCurrent = false
}

// currentWindow returns the window now, or the first one that is not known as sealed.
func (l *Ledger) currentWindow() ident.Window {
	return openWindow(l.config.Now(), l.sealed, l.config.WindowLength())
}

// Attempt is one attempt that may be served.
type Attempt struct {
	ledger *Ledger
	tag    AttemptTag
}

// Tag returns what names the attempt.
func (a *Attempt) Tag() AttemptTag { return a.tag }

// BeginAttempt opens an attempt; its ticket must end with Served or Void.
func (l *Ledger) BeginAttempt(partner ident.Partner) *Attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	tag := AttemptTag{Ledger: l.incarnation, Sequence: l.next, Window: l.currentWindow(), Partner: partner, WindowLength: l.config.WindowLength()}
	l.open[l.next] = struct{}{}
	l.next++
	return &Attempt{ledger: l, tag: tag}
}

// RecordUsage counts the usage of an attempt whose whole answer has come; it has an effect once, and not after Void.
//
// An answer without usage, such as an engine's error, leaves nothing to bill.
func (a *Attempt) RecordUsage(customer ident.Customer, usage Usage) {
	l := a.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.endAttempt(a.tag) || usage == (Usage{}) {
		return
	}
	key := account{window: a.tag.Window, partner: a.tag.Partner, customer: customer}.assignWindow(l.sealed, l.currentWindow())
	l.totals[key] = l.totals[key].Plus(usage)
}

// Void ends an attempt without usage; it has no effect after Served.
func (a *Attempt) Void() {
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	a.ledger.endAttempt(a.tag)
}

// endAttempt reports whether the attempt was open in the present incarnation.
func (l *Ledger) endAttempt(tag AttemptTag) bool {
	_, open := l.open[tag.Sequence]
	if tag.Ledger != l.incarnation || !open {
		return false
	}
	delete(l.open, tag.Sequence)
	return true
}

// Step makes at most one call of the table; it reports whether there is more to do.
func (l *Ledger) Step(ctx context.Context) (bool, error) {
	l.mu.Lock()
	idle := l.pending == nil && !l.hasUnflushed()
	revisionsCurrent := l.revisionsCurrent
	l.mu.Unlock()
	switch {
	case idle:
		return false, nil
	case !revisionsCurrent:
		return true, l.readRows(ctx)
	default:
		return true, l.commit(ctx)
	}
}

func (l *Ledger) hasUnflushed() bool {
	return l.closing || len(l.totals) > 0 || !l.currentCoverage().equal(l.covered)
}

func (l *Ledger) currentCoverage() Coverage {
	covered := Coverage{Next: l.next}
	for sequence := range l.open {
		covered.Open = append(covered.Open, sequence)
	}
	slices.Sort(covered.Open)
	return covered
}

// readRows reads the revisions and settles the pending flush by them.
func (l *Ledger) readRows(ctx context.Context) error {
	l.mu.Lock()
	key := PrefixLedger + table.Key(l.incarnation)
	l.mu.Unlock()
	rows, err := l.config.Table.Read(ctx, key, KeySealed)
	if err != nil {
		return err
	}
	state, sealed, err := decodeState(rows[0], rows[1])
	if err != nil {
		return err
	}
	l.mu.Lock()
	acknowledgment, changed := l.applyRows(state, rows[0].Revision, sealed, rows[1].Revision)
	l.mu.Unlock()
	if changed {
		l.acknowledge(acknowledgment)
	}
	return nil
}

// applyRows brings the ledger up to the rows.
func (l *Ledger) applyRows(state State, revision table.Revision, sealed Sealed, sealedRevision table.Revision) (Acknowledgment, bool) {
	var acknowledgment Acknowledgment
	var changed bool
	if l.pending != nil && state.Flush == l.pending.number {
		acknowledgment, changed = l.markDurable(), true
	} else if l.pending != nil && (l.pending.revision != revision || l.pending.sealedRevision != sealedRevision) {
		l.restorePending()
	}
	if state.Fenced {
		acknowledgment, changed = Acknowledgment{Ledger: l.incarnation, Fenced: true}, true
		l.startIncarnation()
		return acknowledgment, changed
	}
	l.revisionsCurrent = true
	l.revision = revision
	l.sealedRevision = sealedRevision
	if sealed.Through > l.sealed {
		l.sealed = sealed.Through
		l.reassignLate()
	}
	return acknowledgment, changed
}

// markDurable takes the pending flush as durable.
func (l *Ledger) markDurable() Acknowledgment {
	l.covered = l.pending.covered
	l.closing = l.closing && !l.pending.closing
	l.pending = nil
	return Acknowledgment{Ledger: l.incarnation, Through: l.covered.Through()}
}

// restorePending returns the usage of a pending flush that can never be applied.
func (l *Ledger) restorePending() {
	for key, usage := range l.pending.totals {
		l.totals[key] = l.totals[key].Plus(usage)
	}
	l.pending = nil
}

// reassignLate takes usage for sealed windows to the window now.
func (l *Ledger) reassignLate() {
	current := l.currentWindow()
	for key, usage := range l.totals {
		if key.window > l.sealed {
			continue
		}
		delete(l.totals, key)
		reassigned := key.assignWindow(l.sealed, current)
		l.totals[reassigned] = l.totals[reassigned].Plus(usage)
	}
}

// commit sends the pending flush, or makes one first.
//
// A failed one stays pending, because it or an earlier sending of it may have been applied.
func (l *Ledger) commit(ctx context.Context) error {
	l.mu.Lock()
	if l.pending == nil {
		if err := l.prepareFlush(); err != nil {
			l.mu.Unlock()
			return err
		}
	}
	transaction := l.pending.transaction
	l.revisionsCurrent = false
	l.mu.Unlock()
	if err := l.config.Table.Commit(ctx, transaction); err != nil {
		return err
	}
	l.mu.Lock()
	acknowledgment := l.markDurable()
	l.mu.Unlock()
	l.acknowledge(acknowledgment)
	return nil
}

// prepareFlush makes a flush of all that is not durable; its rows are its own.
func (l *Ledger) prepareFlush() error {
	l.flushCount++
	writes, err := encodeTotals(l.totals, fmt.Sprintf("%s.%08d", l.incarnation, l.flushCount))
	if err != nil {
		return err
	}
	covered := l.currentCoverage()
	ledgerKey := PrefixLedger + table.Key(l.incarnation)
	state, err := EncodeRow(ledgerKey, State{Flush: l.flushCount, Covered: covered, Fenced: l.closing, Process: l.config.Process})
	if err != nil {
		return err
	}
	l.pending = &flush{
		number: l.flushCount, revision: l.revision, sealedRevision: l.sealedRevision,
		totals: l.totals, covered: covered, closing: l.closing,
		transaction: table.Transaction{
			Checks: []table.Check{{Key: ledgerKey, Revision: l.revision}, {Key: KeySealed, Revision: l.sealedRevision}},
			Writes: append(writes, state),
		},
	}
	l.totals = make(map[account]Usage)
	return nil
}

func (l *Ledger) acknowledge(acknowledgment Acknowledgment) {
	if l.config.OnAcknowledgment != nil {
		l.config.OnAcknowledgment(acknowledgment)
	}
}

// String describes all that decides what the ledger does next.
func (l *Ledger) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	text := fmt.Sprint(l.incarnation, l.next, l.open, l.totals, l.covered, l.flushCount,
		l.revisionsCurrent, l.revision, l.sealedRevision, l.sealed, l.closing)
	if l.pending != nil {
		text += fmt.Sprint(*l.pending)
	}
	return text
}

// Run flushes until the context is done, and then until all is durable or the time is used up.
func (l *Ledger) Run(ctx context.Context) {
	loop.Run(ctx, l, l.config.Interval)
	final, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalFlushTimeout)
	defer cancel()
	l.mu.Lock()
	l.closing = len(l.open) == 0
	l.mu.Unlock()
	_ = loop.Drive(final, l)
}
