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

// finishSteps is a number of steps that suffices to make all usage durable.
const finishSteps = 16

// radix is the base in which a sum of tokens has one digit per request, so that a request counted twice or never shows.
const radix = 4

// model runs an entry's ledger and a sidecar's record buffer on a table that injects faults.
type model struct {
	chooser *interleave.Chooser
	table   *interleave.FaultyTable
	now     time.Time
	ledger  *Ledger
	buffer  *RecordBuffer
	// connected is true while the link between the entry and the sidecar is up.
	connected bool
	// The events that may still occur, from the script.
	requests, crashes, disconnects, seals int
	// served is the set of requests whose complete response the caller received, voided the set of those interrupted.
	served, voided map[int]bool
}

const (
	modelEntry         = ident.Incarnation("e")
	modelOrphanTimeout = 10 * time.Second
)

func newModel(chooser *interleave.Chooser, faults int) *model {
	m := &model{
		chooser: chooser, table: &interleave.FaultyTable{Memory: table.NewMemory(), Chooser: chooser, RemainingFaults: faults},
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

// serve runs one request; the end of its response reaches the entry unless the link is interrupted before.
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

// actions returns the events that may occur next.
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
		all = append(all, func() { m.table.ApplyDelayed(ctx) })
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

// seal seals the current window, as the closer does.
func (m *model) seal(ctx context.Context) {
	m.seals--
	write, _ := EncodeRow(KeySealed, Sealed{Through: openWindow(m.now, 0, 10)})
	_ = m.table.Memory.Commit(ctx, table.Transaction{Writes: []table.Write{write}})
}

func (m *model) state(ctx context.Context) string {
	text := m.table.State(ctx) + fmt.Sprint(
		m.now.Unix(), m.connected, m.requests, m.crashes, m.disconnects, m.seals, m.served, m.voided)
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

// finish runs the processes that have not crashed without further faults.
func (m *model) finish(ctx context.Context) {
	m.table.RemainingFaults = 0
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
			m.table.ApplyDelayed(ctx)
		}
	}
}

// sumTotals returns the sum of all usage in a table.
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

// check compares the usage in the table with the requests that were served; final is true after the last step.
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
			return fmt.Errorf("request %d was interrupted and is in the table although no ledger is fenced", number)
		}
	}
	return nil
}

// fenced reports whether the sidecar has fenced a ledger. If the sidecar crashes as well, usage may then be lost.
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

// script limits how often each kind of event may occur, and may disable a safety mechanism.
type script struct {
	name                                          string
	requests, crashes, disconnects, seals, faults int
	// unchecked disables the checks of rows with this prefix.
	unchecked table.Key
}

// explore runs the model over all sequences of events and returns the first failure.
func (s script) explore(t *testing.T) error {
	t.Helper()
	result, err := interleave.Explore(func(chooser *interleave.Chooser) error {
		m := newModel(chooser, s.faults)
		m.requests, m.crashes, m.disconnects, m.seals = s.requests, s.crashes, s.disconnects, s.seals
		m.table.UncheckedPrefix = s.unchecked
		return m.run(t.Context())
	})
	t.Logf("%s: %d states, %d runs", s.name, result.States, result.Runs)
	return err
}

// TestExactlyOnceOverAllInterleavings explores every order of steps, faults, crashes and link failures, and checks that the
// usage of each served request becomes durable exactly once.
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

// TestDisabledMechanismIsDetected checks that the model fails if a safety mechanism is disabled.
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

// run runs one sequence of events to its end, or until it reaches a state that was explored before.
func (m *model) run(ctx context.Context) error {
	const maxEvents = 200
	for range maxEvents {
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
	m.finish(ctx)
	return m.check(ctx, true)
}
