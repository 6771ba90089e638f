package usage

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/interleave"
	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/lease"
	"vanillapond/internal/process/table"
	"vanillapond/pkg/ident"
)

// Sizes of the model: two entries count in one window, and two reporters take turns in the duty.
const (
	modelReporters = 2
	modelLength    = 5 * time.Second
	modelLate      = 10 * time.Second
	modelWindow    = Window(1000)
	modelCustomer  = ident.Customer("c")
	modelLease     = table.Key("lease/usage")
	// firstCount is told from the start and secondCount when the second entry writes, so that a sum shows what it holds.
	firstCount, secondCount = 1, 10
)

// modelDuty is one reporter's belief about the lease.
type modelDuty struct {
	held  bool
	fence ident.Fence
	check table.Check
}

// Check implements Lease.
func (d *modelDuty) Check(clock.Reading, time.Duration) (lease.Grant, error) {
	if !d.held {
		return lease.Grant{}, lease.ErrNotHeld
	}
	return lease.Grant{Fence: d.fence}, nil
}

// Condition implements Lease.
func (d *modelDuty) Condition(lease.Grant) (table.Check, error) { return d.check, nil }

// Now implements Lease.
func (d *modelDuty) Now() clock.Reading { return 0 }

// Term implements Lease.
func (d *modelDuty) Term() time.Duration { return time.Second }

// modelScript says how much of each thing may happen, and which mechanism is off.
type modelScript struct {
	name                                      string
	takeovers, restarts, faults, reportFaults int
	// believes lets the old holder believe in its lease after another has taken it.
	believes bool
	// cutOff makes all calls of the first reporter to the store fail from some moment on.
	cutOff bool
	// unchecked takes the checks of rows with this prefix away.
	unchecked table.Key
}

// modelRun is one sequence of choices.
type modelRun struct {
	script    modelScript
	chooser   *interleave.Chooser
	table     *interleave.FaultyTable
	now       time.Time
	told, cut bool
	fence     ident.Fence
	reporters [modelReporters]*Reporter
	duties    [modelReporters]*modelDuty
	// sent holds the sums that were sent for the window.
	sent []int64
	// inside says that a call is interrupted by another reporter's step, which is not interrupted in turn.
	inside bool
}

// partial is the store as one reporter reaches it.
type partial struct {
	*modelRun
	index int
}

// Read implements table.Table.
func (p partial) Read(ctx context.Context, keys ...table.Key) ([]table.Row, error) {
	p.interrupt(ctx, p.index)
	if p.cut && p.index == 0 {
		return nil, table.ErrRefused
	}
	return p.table.Read(ctx, keys...)
}

// Scan implements table.Table.
func (p partial) Scan(ctx context.Context, prefix, after table.Key, limit int) ([]table.Row, error) {
	return p.table.Scan(ctx, prefix, after, limit)
}

// Commit implements table.Table.
func (p partial) Commit(ctx context.Context, transaction table.Transaction) error {
	p.interrupt(ctx, p.index)
	if p.cut && p.index == 0 {
		return table.ErrRefused
	}
	return p.table.Commit(ctx, transaction)
}

// Send implements Reports.
func (p partial) Send(ctx context.Context, _ ident.Fence, window Window, counts map[ident.Customer]int64, _ time.Duration) error {
	p.interrupt(ctx, p.index)
	fault := p.chooser.ChooseFault(&p.script.reportFaults, 2)
	if fault == 1 {
		return table.ErrRefused
	}
	if window == modelWindow {
		p.sent = append(p.sent, counts[modelCustomer])
	}
	if fault == 2 {
		return table.ErrOutcomeUnknown
	}
	return nil
}

// interrupt lets something else happen before a call of a reporter.
func (m *modelRun) interrupt(ctx context.Context, index int) {
	if m.inside {
		return
	}
	m.inside = true
	defer func() { m.inside = false }()
	others := m.actions(ctx, index)
	if choice := m.chooser.Choose(len(others) + 1); choice < len(others) {
		others[choice]()
	}
}

// gather tells what the entries have counted: the first all of it, the second what it has told.
func (m *modelRun) gather(context.Context) ([]InstanceCounts, error) {
	end := modelWindow.End(modelLength)
	tallies := []InstanceCounts{{Counts: Counts{modelWindow: {modelCustomer: firstCount}}, Until: end.Add(time.Hour)}}
	second := InstanceCounts{Until: end.Add(-time.Second)}
	if m.told {
		second = InstanceCounts{Counts: Counts{modelWindow: {modelCustomer: secondCount}}, Until: end.Add(time.Hour)}
	}
	return append(tallies, second), nil
}

func newModelRun(chooser *interleave.Chooser, script modelScript) *modelRun {
	m := &modelRun{script: script, chooser: chooser, now: modelWindow.End(modelLength).Add(1500 * time.Millisecond)}
	m.table = &interleave.FaultyTable{Memory: table.NewMemory(), Chooser: chooser, RemainingFaults: script.faults, UncheckedPrefix: script.unchecked}
	for index := range modelReporters {
		m.duties[index] = &modelDuty{}
		m.restart(index)
	}
	m.take(0)
	return m
}

func (m *modelRun) restart(index int) {
	m.reporters[index] = NewReporter(ReporterConfig{
		Table: partial{m, index}, Lease: m.duties[index], Sender: partial{m, index}, ReadCounts: m.gather,
		HeartbeatInterval: func() time.Duration { return time.Second }, WindowLength: modelLength, MaxReportDelay: modelLate,
		Now: func() time.Time { return m.now }, Log: func(string, ...any) {},
	})
}

// take gives the lease to a reporter.
func (m *modelRun) take(index int) {
	m.fence++
	ctx := context.Background()
	_ = m.table.Memory.Commit(ctx, table.Transaction{Writes: []table.Write{{Key: modelLease, Value: []byte(fmt.Sprint(m.fence))}}})
	rows, _ := m.table.Memory.Read(ctx, modelLease)
	if !m.script.believes {
		m.duties[1-index].held = false
	}
	*m.duties[index] = modelDuty{held: true, fence: m.fence, check: table.Check{Key: modelLease, Revision: rows[0].Revision}}
}

// actions returns what may happen next; the reporter that is interrupted takes no step of its own.
func (m *modelRun) actions(ctx context.Context, interrupted int) []func() {
	var all []func()
	for index, duty := range m.duties {
		switch {
		case index == interrupted:
		case duty.held:
			all = append(all, func() { m.step(ctx, index) })
		}
		if !duty.held && m.script.takeovers > 0 {
			all = append(all, func() { m.script.takeovers--; m.take(index) })
		}
	}
	if !m.told {
		all = append(all, func() { m.told = true })
	}
	if patient := m.now.Before(modelWindow.End(modelLength).Add(modelLate / 2)); patient {
		all = append(all, func() { m.now = modelWindow.End(modelLength).Add(modelLate / 2) })
	}
	if m.script.cutOff && !m.cut {
		all = append(all, func() { m.cut = true })
	}
	if m.script.restarts > 0 && interrupted < 0 {
		all = append(all, func() { m.script.restarts--; m.restart(0) })
	}
	if len(m.table.Delayed) > 0 {
		all = append(all, func() { m.table.ApplyDelayed(ctx) })
	}
	return all
}

// step lets a reporter look once; errors are part of the model.
func (m *modelRun) step(ctx context.Context, index int) {
	reporter := m.reporters[index]
	if reporter.fence != m.duties[index].fence {
		// The window before is another model's.
		reporter.fence, reporter.sent = m.duties[index].fence, modelWindow-1
	}
	_ = reporter.Step(ctx)
}

func (m *modelRun) state(ctx context.Context) string {
	text := m.table.State(ctx) + fmt.Sprint(m.script, m.now.Unix(), m.told, m.cut, m.fence, m.sent)
	for index, reporter := range m.reporters {
		text += fmt.Sprint(*m.duties[index], reporter.fence, reporter.sent)
	}
	return text
}

// check holds that the window has one figure, and that nobody's count is in it twice.
func (m *modelRun) check() error {
	for _, sum := range m.sent {
		if sum != m.sent[0] {
			return fmt.Errorf("window was reported as %d and as %d", m.sent[0], sum)
		}
		if sum != firstCount && sum != firstCount+secondCount {
			return fmt.Errorf("window was reported as %d", sum)
		}
	}
	return nil
}

func (m *modelRun) run(ctx context.Context) error {
	const longest = 60
	for range longest {
		if !m.chooser.Replaying() {
			if m.chooser.MarkVisited(m.state(ctx)) {
				return nil
			}
			if err := m.check(); err != nil {
				return err
			}
		}
		actions := m.actions(ctx, -1)
		choice := m.chooser.Choose(len(actions) + 1)
		if choice == len(actions) {
			break
		}
		actions[choice]()
	}
	return m.settle(ctx)
}

// settle lets the reporter in charge go on without faults, until the window is reported.
func (m *modelRun) settle(ctx context.Context) error {
	m.table.RemainingFaults, m.script.reportFaults, m.inside = 0, 0, true
	for len(m.table.Delayed) > 0 {
		m.table.ApplyDelayed(ctx)
	}
	late := m.told
	m.now = modelWindow.End(modelLength).Add(modelLate / 2)
	m.take(1)
	for range 3 {
		m.step(ctx, 1)
	}
	if len(m.sent) == 0 {
		return errors.New("window was never reported")
	}
	if !late && m.sent[len(m.sent)-1] > firstCount {
		return errors.New("window holds what was never told")
	}
	return m.check()
}

func (s modelScript) explore(t *testing.T) error {
	t.Helper()
	result, err := interleave.Explore(func(chooser *interleave.Chooser) error { return newModelRun(chooser, s).run(t.Context()) })
	t.Logf("%s: %d states, %d runs", s.name, result.States, result.Runs)
	return err
}

// TestModelReportsOneCountPerWindow visits every order of calls, lost answers, late writes and takeovers: a window has one figure.
func TestModelReportsOneCountPerWindow(t *testing.T) {
	t.Parallel()
	for _, script := range []modelScript{
		{name: "takeovers", takeovers: 2},
		{name: "old holder believes", takeovers: 2, believes: true},
		{name: "lost answers and late writes", takeovers: 1, faults: 2},
		{name: "believes and late writes", takeovers: 1, faults: 1, believes: true},
		{name: "lost reports", takeovers: 1, reportFaults: 2, restarts: 1},
		{name: "cut off", takeovers: 1, faults: 1, cutOff: true, restarts: 1},
	} {
		t.Run(script.name, func(t *testing.T) {
			t.Parallel()
			is.New(t).NoErr(script.explore(t))
		})
	}
}

// TestModelDisabledMechanismIsDetected holds that the model sees what goes wrong without the check of the frozen row.
func TestModelDisabledMechanismIsDetected(t *testing.T) {
	t.Parallel()
	err := modelScript{name: "frozen row unchecked", takeovers: 1, faults: 1, unchecked: table.Key(frozenTable)}.explore(t)
	t.Log(err)
	is.New(t).True(err != nil && strings.Contains(err.Error(), "was reported as"))
}
