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

// finalFlushTimeout limits the duration of the flush at a planned stop.
const finalFlushTimeout = 5 * time.Second

// Config holds the dependencies and settings of a Ledger.
type Config struct {
	Table       table.Table
	Process     ident.Process
	Incarnation ident.Incarnation
	// WindowLength returns the current length of a window in seconds.
	WindowLength func() int64
	// Interval is the time between two flushes.
	Interval time.Duration
	// Now returns the wall-clock time; nil means time.Now.
	Now func() time.Time
	// OnAcknowledgment is called when usage has become durable or the ledger is fenced; nil means no call. It must not block.
	OnAcknowledgment func(Acknowledgment)
}

// Acknowledgment says which records an entry's sidecars need no longer buffer, or that they must write their records
// themselves.
type Acknowledgment struct {
	Ledger ident.Incarnation
	// Through is the last attempt up to which the outcomes of all attempts are durable.
	Through Sequence
	// Fenced is true if the incarnation can write nothing more.
	Fenced bool
}

// Ledger holds the usage of an entry's attempts until it is durable.
//
// When a sidecar fences the ledger's incarnation, the ledger starts a new one, with its own row and attempt numbers, and
// leaves the usage that was not durable to the sidecars.
type Ledger struct {
	config Config
	mu     sync.Mutex
	// The fields below are guarded by mu.

	// epoch is the number of incarnations of this ledger so far; incarnation is the current one.
	epoch       int
	incarnation ident.Incarnation
	// next is the number of the next attempt; open is the set of attempts without an outcome.
	next Sequence
	open map[Sequence]struct{}
	// totals is the usage that is neither durable nor in the pending flush.
	totals map[account]Usage
	// covered is the set of attempts whose outcome is durable.
	covered Coverage
	// pending is the flush that is not known to have been applied, or nil; its content never changes.
	pending    *flush
	flushCount uint64
	// revisionsCurrent is true if the revisions were read after the last commit was sent.
	revisionsCurrent bool
	revision         table.Revision
	sealedRevision   table.Revision
	sealed           ident.Window
	// closing is true if the next flush also fences this incarnation, because the process stops and has no open attempts.
	closing bool
}

// flush is one transaction that makes usage durable. It may be sent several times.
type flush struct {
	number         uint64
	revision       table.Revision
	sealedRevision table.Revision
	totals         map[account]Usage
	covered        Coverage
	closing        bool
	transaction    table.Transaction
}

// New returns an empty ledger in its first incarnation.
func New(config Config) *Ledger {
	if config.Now == nil {
		config.Now = time.Now
	}
	l := &Ledger{config: config}
	l.startIncarnation()
	return l
}

// startIncarnation starts the next incarnation, without attempts or usage.
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

// currentWindow returns the window of the current time, or the first window not known to be sealed if that one is sealed.
func (l *Ledger) currentWindow() ident.Window {
	return openWindow(l.config.Now(), l.sealed, l.config.WindowLength())
}

// Attempt is one sending of a request to an endpoint, as the ledger records it.
type Attempt struct {
	ledger *Ledger
	tag    AttemptTag
}

// Tag returns the tag that identifies the attempt.
func (a *Attempt) Tag() AttemptTag { return a.tag }

// BeginAttempt opens an attempt; the caller must end it with RecordUsage or Void.
func (l *Ledger) BeginAttempt(partner ident.Partner) *Attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	tag := AttemptTag{
		Ledger: l.incarnation, Sequence: l.next, Window: l.currentWindow(), Partner: partner, WindowLength: l.config.WindowLength(),
	}
	l.open[l.next] = struct{}{}
	l.next++
	return &Attempt{ledger: l, tag: tag}
}

// RecordUsage ends an attempt whose complete response has arrived and adds its usage to the totals. It has no effect if the
// attempt has already ended.
//
// A response without usage, such as an engine's error, adds nothing to the totals.
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

// Void ends an attempt without usage; it has no effect if the attempt has already ended.
func (a *Attempt) Void() {
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	a.ledger.endAttempt(a.tag)
}

// endAttempt removes an attempt from the open ones; it reports whether the attempt was open in the current incarnation.
func (l *Ledger) endAttempt(tag AttemptTag) bool {
	_, open := l.open[tag.Sequence]
	if tag.Ledger != l.incarnation || !open {
		return false
	}
	delete(l.open, tag.Sequence)
	return true
}

// Step makes at most one call to the table; it reports whether there is more to do.
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

// readRows reads the ledger's row and the last sealed window, and determines the outcome of the pending flush from them.
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

// applyRows updates the ledger from the rows. It returns an acknowledgment if the pending flush was applied or the ledger is
// fenced.
func (l *Ledger) applyRows(
	state State, revision table.Revision, sealed Sealed, sealedRevision table.Revision,
) (Acknowledgment, bool) {
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

// markDurable marks the pending flush as durable.
func (l *Ledger) markDurable() Acknowledgment {
	l.covered = l.pending.covered
	l.closing = l.closing && !l.pending.closing
	l.pending = nil
	return Acknowledgment{Ledger: l.incarnation, Through: l.covered.Through()}
}

// restorePending adds the usage of a pending flush that can no longer be applied back to the totals.
func (l *Ledger) restorePending() {
	for key, usage := range l.pending.totals {
		l.totals[key] = l.totals[key].Plus(usage)
	}
	l.pending = nil
}

// reassignLate moves usage of sealed windows to the current window, as late usage.
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

// commit sends the pending flush, and prepares one first if there is none.
//
// If the call fails, the flush stays pending, because this call or an earlier one may have been applied.
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

// prepareFlush prepares a flush of everything that is not durable. No other flush writes the same rows of totals.
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

// String describes the complete state on which the ledger's next operations depend.
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

// Run flushes until the context is done. It then tries to flush the remaining usage, for at most finalFlushTimeout.
func (l *Ledger) Run(ctx context.Context) {
	loop.Run(ctx, l, l.config.Interval)
	final, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalFlushTimeout)
	defer cancel()
	l.mu.Lock()
	l.closing = len(l.open) == 0
	l.mu.Unlock()
	_ = loop.Drive(final, l)
}
