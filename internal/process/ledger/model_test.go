package ledger

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/interleave"
	"vanillapond/internal/process/table"
	"vanillapond/pkg/ident"
)

// settleSteps are enough to make all durable.
const settleSteps = 16

// digit separates the requests in a sum, so that a doubled or lost one shows.
const digit = 4

// model is an entry's ledger and a sidecar's copies over one faulty table.
type model struct {
	chooser *interleave.Chooser
	table   *interleave.FaultyTable
	now     time.Time
	ledger  *Ledger
	copies  *RecordBuffer
	// link says that the entry and the sidecar hear each other.
	link bool
	// budgets of the script.
	requests, crashes, cuts, seals int
	// served and void are the requests whose answer the caller got, and those cut.
	served, void map[int]bool
}

const (
	modelEntry   = ident.Incarnation("e")
	modelOrphans = 10 * time.Second
)

func newModel(c *interleave.Chooser, faults int) *model {
	m := &model{
		chooser: c, table: &interleave.FaultyTable{Memory: table.NewMemory(), Chooser: c, RemainingFaults: faults},
		now: time.Unix(100, 0), link: true, served: make(map[int]bool), void: make(map[int]bool),
	}
	clock := func() time.Time { return m.now }
	m.ledger = New(Config{
		Table: m.table, Incarnation: modelEntry, WindowLength: func() int64 { return 10 }, Now: clock,
		OnAcknowledgment: func(s Acknowledgment) {
			if m.link {
				m.copies.Acknowledge(s)
			}
		},
	})
	m.copies = NewRecordBuffer(RecordBufferConfig{Table: m.table, Incarnation: "s", OrphanTimeout: modelOrphans, Now: clock})
	m.copies.LinkUp(modelEntry)
	return m
}

// serve runs one request: its end reaches the entry, or is lost with the link.
func (m *model) serve(cut bool) {
	m.requests--
	number := m.requests
	ticket := m.ledger.BeginAttempt("p")
	usage := Usage{Requests: 1, Prompt: power(number)}
	m.copies.Add(modelEntry, Record{Tag: ticket.Tag(), Request: ident.Request(fmt.Sprint(number)), Customer: "c", Usage: usage})
	if cut {
		m.void[number] = true
		ticket.Void()
		m.cut()
		return
	}
	m.served[number] = true
	ticket.RecordUsage("c", usage)
}

func power(number int) ident.Tokens {
	value := ident.Tokens(1)
	for range number {
		value *= digit
	}
	return value
}

func (m *model) cut() {
	m.cuts--
	m.link = false
	m.copies.LinkDown(modelEntry)
	m.now = m.now.Add(modelOrphans)
}

// actions returns what may happen next.
func (m *model) actions(ctx context.Context) []func() {
	var all []func()
	if m.ledger != nil {
		all = append(all, func() { _, _ = m.ledger.Step(ctx) })
		if m.requests > 0 && m.link && m.copies != nil {
			all = append(all, func() { m.serve(false) })
			if m.cuts > 0 {
				all = append(all, func() { m.serve(true) })
			}
		}
	}
	if m.copies != nil {
		all = append(all, func() { _, _ = m.copies.Step(ctx) })
	}
	if m.cuts > 0 && m.link {
		all = append(all, m.cut)
	}
	if !m.link && m.ledger != nil && m.copies != nil {
		all = append(all, m.heal)
	}
	if m.crashes > 0 && m.ledger != nil && m.copies != nil {
		all = append(all, m.crashEntry, m.crashSidecar)
	}
	if m.seals > 0 {
		all = append(all, func() { m.seal(ctx) })
	}
	if len(m.table.Delayed) > 0 {
		all = append(all, func() { m.table.ApplyDelayed(ctx) })
	}
	return all
}

func (m *model) heal() {
	m.link = true
	m.copies.LinkUp(modelEntry)
}

func (m *model) crashEntry() {
	m.crashes--
	m.ledger = nil
	if m.link {
		m.cuts++
		m.cut()
	}
}

func (m *model) crashSidecar() {
	m.crashes--
	m.copies = nil
	m.link = false
}

// seal ends the window now, as the closer does.
func (m *model) seal(ctx context.Context) {
	m.seals--
	write, _ := EncodeRow(KeySealed, Sealed{Through: nextWindow(m.now, 0, 10)})
	_ = m.table.Memory.Commit(ctx, table.Transaction{Writes: []table.Write{write}})
}

func (m *model) state(ctx context.Context) string {
	text := m.table.State(ctx) + fmt.Sprint(m.now.Unix(), m.link, m.requests, m.crashes, m.cuts, m.seals, m.served, m.void)
	if m.ledger != nil {
		text += m.ledger.String()
	}
	if m.copies != nil {
		text += fmt.Sprint(m.copies.lost, m.copies.links, m.copies.batches)
		for _, kept := range m.copies.ledgers {
			text += fmt.Sprint(kept.ledger, kept.records, kept.fenced, kept.looked)
			if kept.batch != nil {
				text += fmt.Sprint(*kept.batch)
			}
		}
	}
	return text
}

// settle lets what is alive go on without faults.
func (m *model) settle(ctx context.Context) {
	m.table.RemainingFaults = 0
	m.now = m.now.Add(staleFactor * modelOrphans)
	for range 2 {
		for range settleSteps {
			if m.ledger != nil {
				_, _ = m.ledger.Step(ctx)
			}
			if m.copies != nil {
				_, _ = m.copies.Step(ctx)
			}
		}
		for len(m.table.Delayed) > 0 {
			m.table.ApplyDelayed(ctx)
		}
	}
}

// sumTotals returns all usage in a table.
func sumTotals(ctx context.Context, from table.Table) (Usage, error) {
	rows, err := from.Scan(ctx, PrefixTotal, "", 1000)
	var sum Usage
	for _, row := range rows {
		totals, err := DecodeRow[Totals](row)
		if err != nil {
			return sum, err
		}
		for _, total := range totals.Totals {
			sum = sum.Plus(total.Usage)
		}
	}
	return sum, err
}

// check compares the table with what was served; final says that nothing is under way.
func (m *model) check(ctx context.Context, final bool) error {
	sum, err := sumTotals(ctx, m.table.Memory)
	if err != nil {
		return err
	}
	fenced, err := m.fenced(ctx)
	if err != nil {
		return err
	}
	left := sum.Prompt
	for number := range 8 {
		count := left % digit
		left /= digit
		if count > 1 {
			return fmt.Errorf("request %d is in the table %d times", number, count)
		}
		if final && m.served[number] && count == 0 && (m.copies != nil || (m.ledger != nil && !fenced)) {
			return fmt.Errorf("request %d was served and is not in the table", number)
		}
		if m.void[number] && count > 0 && !fenced {
			return fmt.Errorf("request %d was cut and is in the table though nobody fenced its ledger", number)
		}
	}
	return nil
}

// fenced reports whether some sidecar fenced a ledger; with the sidecar lost as well, usage may be.
func (m *model) fenced(ctx context.Context) (bool, error) {
	rows, err := m.table.Scan(ctx, PrefixLedger, "", 1000)
	for _, row := range rows {
		state, err := DecodeRow[State](row)
		if err != nil || state.Fenced {
			return true, err
		}
	}
	return false, err
}

// script says how much of each thing may happen.
type script struct {
	name                                   string
	requests, crashes, cuts, seals, faults int
	// unchecked takes a mechanism away.
	unchecked table.Key
}

// explore returns the first failure on any path.
func (s script) explore(t *testing.T) error {
	t.Helper()
	result, err := interleave.Explore(func(chooser *interleave.Chooser) error {
		m := newModel(chooser, s.faults)
		m.requests, m.crashes, m.cuts, m.seals = s.requests, s.crashes, s.cuts, s.seals
		m.table.UncheckedPrefix = s.unchecked
		return m.run(t.Context())
	})
	t.Logf("%s: %d states, %d runs", s.name, result.States, result.Runs)
	return err
}

func TestExactlyOnceOverAllInterleavings(t *testing.T) {
	t.Parallel()
	for _, s := range []script{
		{name: "lost_answers", requests: 3, faults: 2},
		{name: "crash", requests: 2, crashes: 1, faults: 2},
		{name: "cut_and_wake", requests: 1, cuts: 1, faults: 1},
		{name: "cut_and_go_on", requests: 2, cuts: 1},
		{name: "crash_late", requests: 2, crashes: 1, seals: 1, faults: 1},
		{name: "cut_late", requests: 2, cuts: 1, seals: 1},
	} {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			is.New(t).NoErr(s.explore(t))
		})
	}
}

func TestDisabledMechanismIsDetected(t *testing.T) {
	t.Parallel()
	for _, s := range []script{
		{name: "no_fence", requests: 1, cuts: 1, unchecked: PrefixLedger},
		{name: "no_orphan_check", requests: 1, crashes: 1, faults: 1, unchecked: PrefixOrphan},
	} {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			err := s.explore(t)
			is.New(t).True(err != nil)
			t.Log(err)
		})
	}
}

// run takes one path to a state that was seen, or to its end.
func (m *model) run(ctx context.Context) error {
	const longest = 200
	for range longest {
		if !m.chooser.Replaying() {
			if m.chooser.MarkVisited(m.state(ctx)) {
				return nil
			}
			if err := m.check(ctx, false); err != nil {
				return err
			}
		}
		actions := m.actions(ctx)
		choice := m.chooser.Choose(len(actions) + 1)
		if choice == len(actions) {
			break
		}
		actions[choice]()
	}
	m.settle(ctx)
	return m.check(ctx, true)
}
