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

// Sizes of the model: two router instances count in one window, and two reporters alternate in holding the lease.
const (
	modelReporters      = 2
	modelWindowLength   = 5 * time.Second
	modelMaxReportDelay = 10 * time.Second
	modelWindow         = Window(1000)
	modelCustomer       = ident.Customer("c")
	modelLease          = table.Key("lease/usage")
	// firstCount is the count of the first instance, present from the start; secondCount appears when the second instance
	// writes. A sum shows which of them it contains.
	firstCount, secondCount = 1, 10
)

// modelLeaseView is the state of the lease as one reporter knows it, which may be stale.
type modelLeaseView struct {
	held  bool
	fence ident.Fence
	check table.Check
}

// Check implements Lease.
func (v *modelLeaseView) Check(clock.Reading, time.Duration) (lease.Grant, error) {
	if !v.held {
		return lease.Grant{}, lease.ErrNotHeld
	}
	return lease.Grant{Fence: v.fence}, nil
}

// Condition implements Lease.
func (v *modelLeaseView) Condition(lease.Grant) (table.Check, error) { return v.check, nil }

// Now implements Lease.
func (v *modelLeaseView) Now() clock.Reading { return 0 }

// Term implements Lease.
func (v *modelLeaseView) Term() time.Duration { return time.Second }

// modelScript limits how often each kind of event may occur, and may disable a safety mechanism.
type modelScript struct {
	name                                      string
	takeovers, restarts, faults, reportFaults int
	// staleLease lets the previous holder still consider the lease held after a takeover.
	staleLease bool
	// disconnects allows the first reporter to lose the store: from some point on, all its calls fail.
	disconnects bool
	// unchecked disables the checks of rows with this prefix.
	unchecked table.Key
}

// modelRun is the state of one sequence of choices.
type modelRun struct {
	script                      modelScript
	chooser                     *interleave.Chooser
	table                       *interleave.FaultyTable
	now                         time.Time
	secondWritten, disconnected bool
	fence                       ident.Fence
	reporters                   [modelReporters]*Reporter
	leases                      [modelReporters]*modelLeaseView
	// sent holds the sums that were reported for the window.
	sent []int64
	// interrupting is true while another event runs before a reporter's call; calls made meanwhile are not interrupted in turn.
	interrupting bool
}

// reporterClient is the store and the platform as one reporter reaches them.
type reporterClient struct {
	*modelRun
	index int
}

// Read implements table.Table.
func (c reporterClient) Read(ctx context.Context, keys ...table.Key) ([]table.Row, error) {
	c.interrupt(ctx, c.index)
	if c.disconnected && c.index == 0 {
		return nil, table.ErrRefused
	}
	return c.table.Read(ctx, keys...)
}

// Scan implements table.Table.
func (c reporterClient) Scan(ctx context.Context, prefix, after table.Key, limit int) ([]table.Row, error) {
	return c.table.Scan(ctx, prefix, after, limit)
}

// Commit implements table.Table.
func (c reporterClient) Commit(ctx context.Context, transaction table.Transaction) error {
	c.interrupt(ctx, c.index)
	if c.disconnected && c.index == 0 {
		return table.ErrRefused
	}
	return c.table.Commit(ctx, transaction)
}

// Send implements ReportSender.
func (c reporterClient) Send(ctx context.Context, report Report) error {
	c.interrupt(ctx, c.index)
	fault := c.chooser.ChooseFault(&c.script.reportFaults, 2)
	if fault == 1 {
		return table.ErrRefused
	}
	if report.Window == modelWindow {
		c.sent = append(c.sent, report.Counts[modelCustomer])
	}
	if fault == 2 {
		return table.ErrOutcomeUnknown
	}
	return nil
}

// interrupt may run another event before a call of a reporter.
func (m *modelRun) interrupt(ctx context.Context, index int) {
	if m.interrupting {
		return
	}
	m.interrupting = true
	defer func() { m.interrupting = false }()
	others := m.actions(ctx, index)
	if choice := m.chooser.Choose(len(others) + 1); choice < len(others) {
		others[choice]()
	}
}

// readCounts returns the counts of both instances: those of the first are complete, those of the second are empty until
// written.
func (m *modelRun) readCounts(context.Context) ([]InstanceCounts, error) {
	windowEnd := modelWindow.End(modelWindowLength)
	instances := []InstanceCounts{{Counts: Counts{modelWindow: {modelCustomer: firstCount}}, Until: windowEnd.Add(time.Hour)}}
	second := InstanceCounts{Until: windowEnd.Add(-time.Second)}
	if m.secondWritten {
		second = InstanceCounts{Counts: Counts{modelWindow: {modelCustomer: secondCount}}, Until: windowEnd.Add(time.Hour)}
	}
	return append(instances, second), nil
}

func newModelRun(chooser *interleave.Chooser, script modelScript) *modelRun {
	m := &modelRun{script: script, chooser: chooser, now: modelWindow.End(modelWindowLength).Add(1500 * time.Millisecond)}
	m.table = &interleave.FaultyTable{
		Memory: table.NewMemory(), Chooser: chooser, RemainingFaults: script.faults, UncheckedPrefix: script.unchecked,
	}
	for index := range modelReporters {
		m.leases[index] = &modelLeaseView{}
		m.restart(index)
	}
	m.grantLease(0)
	return m
}

func (m *modelRun) restart(index int) {
	m.reporters[index] = NewReporter(ReporterConfig{
		Table: reporterClient{m, index}, Lease: m.leases[index], Sender: reporterClient{m, index}, ReadCounts: m.readCounts,
		HeartbeatInterval: func() time.Duration { return time.Second },
		WindowLength:      modelWindowLength, MaxReportDelay: modelMaxReportDelay,
		Now: func() time.Time { return m.now }, Log: func(string, ...any) {},
	})
}

// grantLease gives the lease to a reporter.
func (m *modelRun) grantLease(index int) {
	m.fence++
	ctx := context.Background()
	_ = m.table.Memory.Commit(ctx, table.Transaction{Writes: []table.Write{{Key: modelLease, Value: []byte(fmt.Sprint(m.fence))}}})
	rows, _ := m.table.Memory.Read(ctx, modelLease)
	if !m.script.staleLease {
		m.leases[1-index].held = false
	}
	*m.leases[index] = modelLeaseView{held: true, fence: m.fence, check: table.Check{Key: modelLease, Revision: rows[0].Revision}}
}

// actions returns the events that may occur next; the interrupted reporter, or -1 for none, takes no step of its own.
func (m *modelRun) actions(ctx context.Context, interrupted int) []func() {
	var all []func()
	for index, lease := range m.leases {
		switch {
		case index == interrupted:
		case lease.held:
			all = append(all, func() { m.step(ctx, index) })
		}
		if !lease.held && m.script.takeovers > 0 {
			all = append(all, func() { m.script.takeovers--; m.grantLease(index) })
		}
	}
	if !m.secondWritten {
		all = append(all, func() { m.secondWritten = true })
	}
	if waiting := m.now.Before(modelWindow.End(modelWindowLength).Add(modelMaxReportDelay / 2)); waiting {
		all = append(all, func() { m.now = modelWindow.End(modelWindowLength).Add(modelMaxReportDelay / 2) })
	}
	if m.script.disconnects && !m.disconnected {
		all = append(all, func() { m.disconnected = true })
	}
	if m.script.restarts > 0 && interrupted < 0 {
		all = append(all, func() { m.script.restarts--; m.restart(0) })
	}
	if len(m.table.Delayed) > 0 {
		all = append(all, func() { m.table.ApplyDelayed(ctx) })
	}
	return all
}

// step runs one step of a reporter; its errors are expected.
func (m *modelRun) step(ctx context.Context, index int) {
	reporter := m.reporters[index]
	if reporter.fence != m.leases[index].fence {
		// Earlier windows are outside this model.
		reporter.fence, reporter.lastReported = m.leases[index].fence, modelWindow-1
	}
	_ = reporter.Step(ctx)
}

func (m *modelRun) state(ctx context.Context) string {
	text := m.table.State(ctx) + fmt.Sprint(m.script, m.now.Unix(), m.secondWritten, m.disconnected, m.fence, m.sent)
	for index, reporter := range m.reporters {
		text += fmt.Sprint(*m.leases[index], reporter.fence, reporter.lastReported)
	}
	return text
}

// check verifies that every report of the window has the same sum, and that no instance's count is in it twice.
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
	const maxEvents = 60
	for range maxEvents {
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
	return m.finish(ctx)
}

// finish runs a new lease holder without faults until the window is reported.
func (m *modelRun) finish(ctx context.Context) error {
	m.table.RemainingFaults, m.script.reportFaults, m.interrupting = 0, 0, true
	for len(m.table.Delayed) > 0 {
		m.table.ApplyDelayed(ctx)
	}
	secondCounted := m.secondWritten
	m.now = modelWindow.End(modelWindowLength).Add(modelMaxReportDelay / 2)
	m.grantLease(1)
	for range 3 {
		m.step(ctx, 1)
	}
	if len(m.sent) == 0 {
		return errors.New("window was never reported")
	}
	if !secondCounted && m.sent[len(m.sent)-1] > firstCount {
		return errors.New("window contains a count that was never written")
	}
	return m.check()
}

func (s modelScript) explore(t *testing.T) error {
	t.Helper()
	result, err := interleave.Explore(func(chooser *interleave.Chooser) error { return newModelRun(chooser, s).run(t.Context()) })
	t.Logf("%s: %d states, %d runs", s.name, result.States, result.Runs)
	return err
}

// TestModelReportsOneCountPerWindow explores every order of calls, lost responses, late writes and takeovers, and checks that
// all reports of a window have the same sum.
func TestModelReportsOneCountPerWindow(t *testing.T) {
	t.Parallel()
	for _, script := range []modelScript{
		{name: "takeovers", takeovers: 2},
		{name: "stale lease", takeovers: 2, staleLease: true},
		{name: "lost responses and late writes", takeovers: 1, faults: 2},
		{name: "stale lease and late writes", takeovers: 1, faults: 1, staleLease: true},
		{name: "lost reports", takeovers: 1, reportFaults: 2, restarts: 1},
		{name: "disconnected reporter", takeovers: 1, faults: 1, disconnects: true, restarts: 1},
	} {
		t.Run(script.name, func(t *testing.T) {
			t.Parallel()
			is.New(t).NoErr(script.explore(t))
		})
	}
}

// TestModelDisabledMechanismIsDetected checks that the model fails if the check of the frozen row is disabled.
func TestModelDisabledMechanismIsDetected(t *testing.T) {
	t.Parallel()
	err := modelScript{name: "frozen row unchecked", takeovers: 1, faults: 1, unchecked: table.Key(keyPrefix)}.explore(t)
	t.Log(err)
	is.New(t).True(err != nil && strings.Contains(err.Error(), "was reported as"))
}
