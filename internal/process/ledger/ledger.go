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

// finalTime bounds the flush at a planned stop.
const finalTime = 5 * time.Second

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
	pending *flush
	flushes uint64
	// fresh says that the revisions were read after the last commit.
	fresh          bool
	revision       table.Revision
	sealedRevision table.Revision
	sealed         ident.Window
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
	l.begin()
	return l
}

// begin starts the next incarnation with nothing in it.
func (l *Ledger) begin() {
	l.epoch++
	l.incarnation = ident.Incarnation(fmt.Sprintf("%s.%d", l.config.Incarnation, l.epoch))
	l.next = 1
	l.open = make(map[Sequence]struct{})
	l.totals = make(map[account]Usage)
	l.covered = Coverage{Next: 1}
	l.pending = nil
	l.flushes = 0
	l.fresh = false
}

// window returns the window now, or the first one that is not known as sealed.
func (l *Ledger) window() ident.Window {
	return nextWindow(l.config.Now(), l.sealed, l.config.WindowLength())
}

// Attempt is one attempt that may be served.
type Attempt struct {
	ledger *Ledger
	tag    AttemptTag
}

// Tag returns what names the attempt.
func (t *Attempt) Tag() AttemptTag { return t.tag }

// BeginAttempt opens an attempt; its ticket must end with Served or Void.
func (l *Ledger) BeginAttempt(partner ident.Partner) *Attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	tag := AttemptTag{Ledger: l.incarnation, Sequence: l.next, Window: l.window(), Partner: partner, WindowLength: l.config.WindowLength()}
	l.open[l.next] = struct{}{}
	l.next++
	return &Attempt{ledger: l, tag: tag}
}

// RecordUsage counts the usage of an attempt whose whole answer has come; it has an effect once, and not after Void.
//
// An answer without usage, such as an engine's error, leaves nothing to bill.
func (t *Attempt) RecordUsage(customer ident.Customer, usage Usage) {
	l := t.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.end(t.tag) || usage == (Usage{}) {
		return
	}
	key := account{window: t.tag.Window, partner: t.tag.Partner, customer: customer}.place(l.sealed, l.window())
	l.totals[key] = l.totals[key].Plus(usage)
}

// Void ends an attempt without usage; it has no effect after Served.
func (t *Attempt) Void() {
	t.ledger.mu.Lock()
	defer t.ledger.mu.Unlock()
	t.ledger.end(t.tag)
}

// end reports whether the attempt was open in the present incarnation.
func (l *Ledger) end(tag AttemptTag) bool {
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
	idle := l.pending == nil && !l.dirty()
	fresh := l.fresh
	l.mu.Unlock()
	switch {
	case idle:
		return false, nil
	case !fresh:
		return true, l.look(ctx)
	default:
		return true, l.commit(ctx)
	}
}

func (l *Ledger) dirty() bool {
	return l.closing || len(l.totals) > 0 || !l.coverage().equal(l.covered)
}

func (l *Ledger) coverage() Coverage {
	covered := Coverage{Next: l.next}
	for sequence := range l.open {
		covered.Open = append(covered.Open, sequence)
	}
	slices.Sort(covered.Open)
	return covered
}

// look reads the revisions and settles the pending flush by them.
func (l *Ledger) look(ctx context.Context) error {
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
	settlement, settled := l.take(state, rows[0].Revision, sealed, rows[1].Revision)
	l.mu.Unlock()
	if settled {
		l.announce(settlement)
	}
	return nil
}

// take brings the ledger up to the rows.
func (l *Ledger) take(state State, revision table.Revision, sealed Sealed, sealedRevision table.Revision) (Acknowledgment, bool) {
	var settlement Acknowledgment
	var settled bool
	if l.pending != nil && state.Flush == l.pending.number {
		settlement, settled = l.settle(), true
	} else if l.pending != nil && (l.pending.revision != revision || l.pending.sealedRevision != sealedRevision) {
		l.takeBack()
	}
	if state.Fenced {
		settlement, settled = Acknowledgment{Ledger: l.incarnation, Fenced: true}, true
		l.begin()
		return settlement, settled
	}
	l.fresh = true
	l.revision = revision
	l.sealedRevision = sealedRevision
	if sealed.Through > l.sealed {
		l.sealed = sealed.Through
		l.moveLate()
	}
	return settlement, settled
}

// settle takes the pending flush as durable.
func (l *Ledger) settle() Acknowledgment {
	l.covered = l.pending.covered
	l.closing = l.closing && !l.pending.closing
	l.pending = nil
	return Acknowledgment{Ledger: l.incarnation, Through: l.covered.Through()}
}

// takeBack returns the usage of a pending flush that can never be applied.
func (l *Ledger) takeBack() {
	for key, usage := range l.pending.totals {
		l.totals[key] = l.totals[key].Plus(usage)
	}
	l.pending = nil
}

// moveLate takes usage for sealed windows to the window now.
func (l *Ledger) moveLate() {
	now := l.window()
	for key, usage := range l.totals {
		if key.window > l.sealed {
			continue
		}
		delete(l.totals, key)
		late := key.place(l.sealed, now)
		l.totals[late] = l.totals[late].Plus(usage)
	}
}

// commit sends the pending flush, or makes one first.
//
// A failed one stays pending, because it or an earlier sending of it may have been applied.
func (l *Ledger) commit(ctx context.Context) error {
	l.mu.Lock()
	if l.pending == nil {
		if err := l.prepare(); err != nil {
			l.mu.Unlock()
			return err
		}
	}
	transaction := l.pending.transaction
	l.fresh = false
	l.mu.Unlock()
	if err := l.config.Table.Commit(ctx, transaction); err != nil {
		return err
	}
	l.mu.Lock()
	settlement := l.settle()
	l.mu.Unlock()
	l.announce(settlement)
	return nil
}

// prepare makes a flush of all that is not durable; its rows are its own.
func (l *Ledger) prepare() error {
	l.flushes++
	writes, err := encodeTotals(l.totals, fmt.Sprintf("%s.%08d", l.incarnation, l.flushes))
	if err != nil {
		return err
	}
	covered := l.coverage()
	own := PrefixLedger + table.Key(l.incarnation)
	state, err := EncodeRow(own, State{Flush: l.flushes, Covered: covered, Fenced: l.closing, Process: l.config.Process})
	if err != nil {
		return err
	}
	l.pending = &flush{
		number: l.flushes, revision: l.revision, sealedRevision: l.sealedRevision,
		totals: l.totals, covered: covered, closing: l.closing,
		transaction: table.Transaction{
			Checks: []table.Check{{Key: own, Revision: l.revision}, {Key: KeySealed, Revision: l.sealedRevision}},
			Writes: append(writes, state),
		},
	}
	l.totals = make(map[account]Usage)
	return nil
}

func (l *Ledger) announce(settlement Acknowledgment) {
	if l.config.OnAcknowledgment != nil {
		l.config.OnAcknowledgment(settlement)
	}
}

// String describes all that decides what the ledger does next.
func (l *Ledger) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	text := fmt.Sprint(l.incarnation, l.next, l.open, l.totals, l.covered, l.flushes,
		l.fresh, l.revision, l.sealedRevision, l.sealed, l.closing)
	if l.pending != nil {
		text += fmt.Sprint(*l.pending)
	}
	return text
}

// Run flushes until the context is done, and then until all is durable or the time is used up.
func (l *Ledger) Run(ctx context.Context) {
	loop.Run(ctx, l, l.config.Interval)
	final, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalTime)
	defer cancel()
	l.mu.Lock()
	l.closing = len(l.open) == 0
	l.mu.Unlock()
	_ = loop.Drive(final, l)
}
