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

// finishSteps are enough to make all durable.
const finishSteps = 16

// radix separates the requests in a sum, so that a doubled or lost one shows.
const radix = 4

// model is an entry's ledger and a sidecar's copies over one faulty table.
type model struct {
	chooser *interleave.Chooser
	table   *interleave.Table
	now     time.Time
	ledger  *Ledger
	buffer  *RecordBuffer
	// connected says that the entry and the sidecar hear each other.
	connected bool
	// budgets of the script.
	requests, crashes, disconnects, seals int
	// served and void are the requests whose answer the caller got, and those cut.
	served, voided map[int]bool
}

const (
	modelEntry         = ident.Incarnation("e")
	modelOrphanTimeout = 10 * time.Second
)

func newModel(chooser *interleave.Chooser, faults int) *model {
	m := &model{
		chooser: chooser, table: &interleave.Table{Memory: table.NewMemory(), Chooser: chooser, Faults: faults},
		now: time.Unix(100, 0), connected: true, served: make(map[int]bool), voided: make(map[int]bool),
	}
	clock := func() time.Time { return m.now }
	m.ledger = New(Config{
		Table: m.table, Incarnation: modelEntry, WindowLength: func() int64 { return 10 }, Now: clock,
		OnAcknowledgment: func(acknowledgment Acknowledgment) {
			if m.connected {
				m.buffer.Acknowledge(acknowledgment)
			}
		},
	})
	m.buffer = NewRecordBuffer(RecordBufferConfig{Table: m.table, Incarnation: "s", OrphanTimeout: modelOrphanTimeout, Now: clock})
	m.buffer.LinkUp(modelEntry)
	return m
}

// serve runs one request: its end reaches the entry, or is lost with the link.
func (m *model) serve(interrupted bool) {
	m.requests--
	number := m.requests
	attempt := m.ledger.BeginAttempt("p")
	usage := Usage{Requests: 1, Prompt: radixPower(number)}
	m.buffer.Add(modelEntry, Record{Tag: attempt.Tag(), Request: ident.Request(fmt.Sprint(number)), Customer: "c", Usage: usage})
	if interrupted {
		m.voided[number] = true
		attempt.Void()
		m.disconnect()
		return
	}
	m.served[number] = true
	attempt.RecordUsage("c", usage)
}

func radixPower(number int) ident.Tokens {
	value := ident.Tokens(1)
	for range number {
		value *= radix
	}
	return value
}

func (m *model) disconnect() {
	m.disconnects--
	m.connected = false
	m.buffer.LinkDown(modelEntry)
	m.now = m.now.Add(modelOrphanTimeout)
}

// actions returns what may happen next.
func (m *model) actions(ctx context.Context) []func() {
	var all []func()
	if m.ledger != nil {
		all = append(all, func() { _, _ = m.ledger.Step(ctx) })
		if m.requests > 0 && m.connected && m.buffer != nil {
			all = append(all, func() { m.serve(false) })
			if m.disconnects > 0 {
				all = append(all, func() { m.serve(true) })
			}
		}
	}
	if m.buffer != nil {
		all = append(all, func() { _, _ = m.buffer.Step(ctx) })
	}
	if m.disconnects > 0 && m.connected {
		all = append(all, m.disconnect)
	}
	if !m.connected && m.ledger != nil && m.buffer != nil {
		all = append(all, m.reconnect)
	}
	if m.crashes > 0 && m.ledger != nil && m.buffer != nil {
		all = append(all, m.crashEntry, m.crashSidecar)
	}
	if m.seals > 0 {
		all = append(all, func() { m.seal(ctx) })
	}
	if len(m.table.Delayed) > 0 {
		all = append(all, func() { m.table.Deliver(ctx) })
	}
	return all
}

func (m *model) reconnect() {
	m.connected = true
	m.buffer.LinkUp(modelEntry)
}

func (m *model) crashEntry() {
	m.crashes--
	m.ledger = nil
	if m.connected {
		m.disconnects++
		m.disconnect()
	}
}

func (m *model) crashSidecar() {
	m.crashes--
	m.buffer = nil
	m.connected = false
}

// seal ends the window now, as the closer does.
func (m *model) seal(ctx context.Context) {
	m.seals--
	write, _ := EncodeRow(KeySealed, Sealed{Through: openWindow(m.now, 0, 10)})
	_ = m.table.Memory.Commit(ctx, table.Transaction{Writes: []table.Write{write}})
}

func (m *model) state(ctx context.Context) string {
	text := m.table.State(ctx) + fmt.Sprint(m.now.Unix(), m.connected, m.requests, m.crashes, m.disconnects, m.seals, m.served, m.voided)
	if m.ledger != nil {
		text += m.ledger.String()
	}
	if m.buffer != nil {
		text += fmt.Sprint(m.buffer.disconnectedAt, m.buffer.linkCounts, m.buffer.batchCount)
		for _, buffered := range m.buffer.ledgers {
			text += fmt.Sprint(buffered.ledger, buffered.records, buffered.fenced, buffered.checkedAt)
			if buffered.nextBatch != nil {
				text += fmt.Sprint(*buffered.nextBatch)
			}
		}
	}
	return text
}

// finish lets what is alive go on without faults.
func (m *model) finish(ctx context.Context) {
	m.table.Faults = 0
	m.now = m.now.Add(recheckFactor * modelOrphanTimeout)
	for range 2 {
		for range finishSteps {
			if m.ledger != nil {
				_, _ = m.ledger.Step(ctx)
			}
			if m.buffer != nil {
				_, _ = m.buffer.Step(ctx)
			}
		}
		for len(m.table.Delayed) > 0 {
			m.table.Deliver(ctx)
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
	remaining := sum.Prompt
	for number := range 8 {
		count := remaining % radix
		remaining /= radix
		if count > 1 {
			return fmt.Errorf("request %d is in the table %d times", number, count)
		}
		if final && m.served[number] && count == 0 && (m.buffer != nil || (m.ledger != nil && !fenced)) {
			return fmt.Errorf("request %d was served and is not in the table", number)
		}
		if m.voided[number] && count > 0 && !fenced {
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
	name                                          string
	requests, crashes, disconnects, seals, faults int
	// unchecked takes a mechanism away.
	unchecked table.Key
}

// explore returns the first failure on any path.
func (s script) explore(t *testing.T) error {
	t.Helper()
	result, err := interleave.Explore(func(chooser *interleave.Chooser) error {
		m := newModel(chooser, s.faults)
		m.requests, m.crashes, m.disconnects, m.seals = s.requests, s.crashes, s.disconnects, s.seals
		m.table.Unchecked = s.unchecked
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
		{name: "cut_and_wake", requests: 1, disconnects: 1, faults: 1},
		{name: "cut_and_go_on", requests: 2, disconnects: 1},
		{name: "crash_late", requests: 2, crashes: 1, seals: 1, faults: 1},
		{name: "cut_late", requests: 2, disconnects: 1, seals: 1},
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
		{name: "no_fence", requests: 1, disconnects: 1, unchecked: PrefixLedger},
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
	const maxEvents = 200
	for range maxEvents {
		if !m.chooser.Replaying() {
			if m.chooser.Seen(m.state(ctx)) {
				return nil
			}
			if err := m.check(ctx, false); err != nil {
				return err
			}
		}
		actions := m.actions(ctx)
		choice := m.chooser.Pick(len(actions) + 1)
		if choice == len(actions) {
			break
		}
		actions[choice]()
	}
	m.finish(ctx)
	return m.check(ctx, true)
}
