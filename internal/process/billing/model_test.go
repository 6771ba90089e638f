package billing

import (
	"context"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/interleave"
	"vanillapond/internal/process/ledger"
	"vanillapond/internal/process/platform"
	"vanillapond/internal/process/table"
	"vanillapond/pkg/ident"
)

// Sizes of the model.
const (
	windowLength = 10
	closers      = 2
	// radix is the base in which a sum of tokens has one digit per request, so that a request counted twice or never shows.
	radix    = 4
	leaseRow = table.Key("lease")
	// farFuture is a window that the model never reaches.
	farFuture = 1 << 40
)

// customer is in partition 0.
var customer = customerIn(0)

func customerIn(partition Partition) ident.Customer {
	for number := 0; ; number++ {
		if id := ident.Customer(fmt.Sprint(number)); PartitionOf(id) == partition {
			return id
		}
	}
}

// leaseView is the state of the lease as one process knows it, which may be stale.
type leaseView struct {
	model *model
	held  bool
	fence ident.Fence
	check table.Check
}

// Fence implements Lease.
func (v *leaseView) Fence() (ident.Fence, table.Check, bool) { return v.fence, v.check, v.held }

// sentReport is one report as the platform received it.
type sentReport struct {
	report platform.Report
	// leaseFence is the fencing number in the lease row at that time.
	leaseFence ident.Fence
}

// model runs an entry's ledger and two closers of one partition on a table that injects faults.
type model struct {
	script  script
	chooser *interleave.Chooser
	table   *interleave.FaultyTable
	now     time.Time
	ledger  *ledger.Ledger
	closers [closers]*Closer
	leases  [closers]*leaseView
	// fence is the greatest fencing number assigned so far.
	fence   ident.Fence
	reports []sentReport
	served  int
	// attempt is the open attempt, which may have begun in an earlier window, or nil.
	attempt *ledger.Attempt
}

// script limits how often each kind of event may occur, and may disable a safety mechanism.
type script struct {
	name                                  string
	requests, takeovers, crashes, windows int
	faults, reportFaults                  int
	unchecked                             table.Key
	// windowEnded starts the model with one durable request whose window has ended.
	windowEnded bool
	// staleLease lets the previous holder still consider the lease held after a takeover.
	staleLease bool
	// forbidsStaleReports has the same effect, but a report by the previous holder fails the check.
	forbidsStaleReports bool
}

func newModel(chooser *interleave.Chooser, s script) *model {
	m := &model{script: s, chooser: chooser, now: time.Unix(1000, 0)}
	m.table = &interleave.FaultyTable{
		Memory: table.NewMemory(), Chooser: chooser, RemainingFaults: s.faults, UncheckedPrefix: s.unchecked,
	}
	m.ledger = ledger.New(ledger.Config{
		Table: m.table, Incarnation: "e", WindowLength: func() int64 { return windowLength }, Now: m.clock,
	})
	for index := range closers {
		m.leases[index] = &leaseView{model: m}
		m.restart(index)
	}
	if s.windowEnded {
		m.advanceOtherPartitions()
	}
	m.grantLease(0)
	return m
}

// advanceOtherPartitions marks the other partitions as frozen far ahead, so that this one deletes obsolete totals.
func (m *model) advanceOtherPartitions() {
	var writes []table.Write
	for partition := 1; partition < Partitions; partition++ {
		write, _ := encode(progressKey(Partition(partition)), Progress{Frozen: farFuture, Reported: farFuture})
		writes = append(writes, write)
	}
	_ = m.table.Memory.Commit(context.Background(), table.Transaction{Writes: writes})
}

func (m *model) clock() time.Time { return m.now }

func (m *model) restart(index int) {
	m.closers[index] = New(Config{
		Table: m.table, Reports: m, Lease: m.leases[index], Process: ident.Process(fmt.Sprint(index)),
		WindowLength: func() int64 { return windowLength }, Now: m.clock,
	})
	if !m.script.windowEnded {
		m.closers[index].cleanedThrough = farFuture
	}
}

// grantLease gives the lease to a closer; unless the script allows a stale lease, the other closer knows that it lost it.
func (m *model) grantLease(index int) {
	m.fence++
	ctx := context.Background()
	_ = m.table.Memory.Commit(ctx, table.Transaction{Writes: []table.Write{{Key: leaseRow, Value: []byte(fmt.Sprint(m.fence))}}})
	rows, _ := m.table.Memory.Read(ctx, leaseRow)
	if !m.script.staleLease && !m.script.forbidsStaleReports {
		m.leases[1-index].held = false
	}
	lease := m.leases[index]
	lease.held, lease.fence, lease.check = true, m.fence, table.Check{Key: leaseRow, Revision: rows[0].Revision}
}

// Report implements platform.Reports.
func (m *model) Report(_ context.Context, report platform.Report, gate platform.Gate) error {
	fault := 0
	if m.script.reportFaults > 0 {
		fault = m.chooser.Choose(3)
	}
	if fault > 0 {
		m.script.reportFaults--
	}
	if fault == 1 || gate() != nil {
		return table.ErrRefused
	}
	m.recordReport(sentReport{report: report, leaseFence: m.fence})
	if fault == 2 {
		return table.ErrOutcomeUnknown
	}
	return nil
}

// recordReport stores a report unless an equal one is already stored.
func (m *model) recordReport(report sentReport) {
	for _, other := range m.reports {
		if reflect.DeepEqual(other, report) {
			return
		}
	}
	m.reports = append(m.reports, report)
}

func (m *model) actions(ctx context.Context) []func() {
	all := []func(){func() { _, _ = m.ledger.Step(ctx) }}
	for index := range closers {
		if m.leases[index].held {
			all = append(all, func() { _, _ = m.closers[index].Step(ctx) })
		} else if m.script.takeovers > 0 {
			all = append(all, func() { m.script.takeovers--; m.grantLease(index) })
		}
	}
	if m.script.requests > 0 {
		all = append(all, m.serve)
	}
	if m.script.windows > 0 {
		all = append(all, func() { m.script.windows--; m.now = m.now.Add(windowLength * time.Second) })
	}
	if m.script.crashes > 0 {
		all = append(all, func() { m.script.crashes--; m.restart(0) })
	}
	if len(m.table.Delayed) > 0 {
		all = append(all, func() { m.table.ApplyDelayed(ctx) })
	}
	return all
}

// serve completes one request and begins the next one, which may complete in a later window.
func (m *model) serve() {
	m.script.requests--
	if m.attempt == nil {
		m.attempt = m.ledger.BeginAttempt("p")
	}
	usage := ledger.Usage{Requests: 1, Prompt: 1}
	for range m.served {
		usage.Prompt *= radix
	}
	m.attempt.RecordUsage(customer, usage)
	m.served++
	m.attempt = m.ledger.BeginAttempt("p")
}

func (m *model) state(ctx context.Context) string {
	text := m.table.State(ctx) + fmt.Sprint(m.now.Unix(), m.fence, m.served, m.reports, m.script, m.attempt.Tag(), m.ledger)
	for index := range closers {
		closer, lease := m.closers[index], m.leases[index]
		text += fmt.Sprint(lease.held, lease.fence, closer.phase, closer.progress, closer.progressRevision, closer.sealed, closer.sealedRevision, closer.loaded, closer.fence, closer.nextStatement, closer.window, closer.lastKey, closer.obsolete, closer.cleanupBound, closer.cleanedThrough)
		for _, statement := range closer.sum {
			text += fmt.Sprint(*statement)
		}
	}
	return text
}

// finish runs the ledger and the closers without further faults until every window is reported.
func (m *model) finish(ctx context.Context) {
	const windows = 3
	m.table.RemainingFaults, m.script.reportFaults = 0, 0
	for len(m.table.Delayed) > 0 {
		m.table.ApplyDelayed(ctx)
	}
	m.attempt.Void()
	for _, lease := range m.leases {
		lease.held = lease.held && lease.fence == m.fence
	}
	for range windows {
		m.now = m.now.Add(windowLength * time.Second)
		for busy := true; busy; {
			busy, _ = m.ledger.Step(ctx)
			for _, closer := range m.closers {
				more, _ := closer.Step(ctx)
				busy = busy || more
			}
		}
	}
}

// check verifies that reports with the same ID are equal, that each was sent by the holder of the lease, and that they count
// each served request at most once, or exactly once if final.
func (m *model) check(final bool) error {
	bodies := make(map[string]string)
	var sum ledger.Usage
	for _, sent := range m.reports {
		body := string(sent.report.Body)
		if earlier, repeated := bodies[sent.report.ID]; repeated {
			if earlier != body {
				return fmt.Errorf("report %s was sent as %s and as %s", sent.report.ID, earlier, body)
			}
		} else {
			statement, err := decode[Statement](table.Row{Revision: 1, Value: sent.report.Body})
			if err != nil {
				return err
			}
			sum = sum.Plus(statement.Usage)
		}
		bodies[sent.report.ID] = body
		if sent.report.Fence != sent.leaseFence && !m.script.staleLease {
			return fmt.Errorf("report %s was sent under fence %d while the lease had fence %d",
				sent.report.ID, sent.report.Fence, sent.leaseFence)
		}
	}
	remaining := sum.Prompt
	for number := range m.served {
		count := remaining % radix
		remaining /= radix
		if count > 1 || (final && count == 0) {
			return fmt.Errorf("request %d was reported %d times", number, count)
		}
	}
	return nil
}

func (m *model) run(ctx context.Context) error {
	const maxEvents = 200
	m.attempt = m.ledger.BeginAttempt("p")
	if m.script.windowEnded {
		m.endWindow(ctx)
	}
	for range maxEvents {
		if !m.chooser.Replaying() {
			if m.chooser.MarkVisited(m.state(ctx)) {
				return nil
			}
			if err := m.check(false); err != nil {
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
	if rows, err := m.table.Scan(ctx, ledger.PrefixTotal, "", pageSize); err != nil || m.script.windowEnded && len(rows) > 0 {
		return fmt.Errorf("found %d rows of totals after the cleanup, want 0: %w", len(rows), err)
	}
	return m.check(true)
}

// endWindow makes one request durable and advances the time to the end of its window.
func (m *model) endWindow(ctx context.Context) {
	faults := m.table.RemainingFaults
	m.table.RemainingFaults = 0
	m.serve()
	m.script.requests = 0
	m.attempt.Void()
	for more := true; more; {
		more, _ = m.ledger.Step(ctx)
	}
	m.now = m.now.Add(windowLength * time.Second)
	m.table.RemainingFaults = faults
}

func (s script) explore(t *testing.T) error {
	t.Helper()
	result, err := interleave.Explore(func(chooser *interleave.Chooser) error { return newModel(chooser, s).run(t.Context()) })
	t.Logf("%s: %d states, %d runs", s.name, result.States, result.Runs)
	return err
}

// TestReportsOverAllInterleavings explores every order of steps, faults, takeovers and crashes, and checks that each request is
// reported exactly once.
func TestReportsOverAllInterleavings(t *testing.T) {
	t.Parallel()
	for _, s := range []script{
		{name: "late", requests: 2, windows: 1},
		{name: "two_closers", windowEnded: true, takeovers: 2},
		{name: "lost_answers", windowEnded: true, faults: 2, takeovers: 1},
		{name: "lost_reports", windowEnded: true, reportFaults: 2, takeovers: 1, crashes: 1},
		{name: "crash_and_lost_answer", windowEnded: true, faults: 1, reportFaults: 1, crashes: 1},
		{name: "both_believe", windowEnded: true, takeovers: 1, staleLease: true},
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
	for _, s := range []struct {
		script
		want string
	}{
		{script{name: "no_seal_check", requests: 2, windows: 1, unchecked: ledger.KeySealed}, "reported 0 times"},
		{
			script{name: "no_lease_check_before_send", windowEnded: true, takeovers: 1, forbidsStaleReports: true},
			"while the lease had fence",
		},
	} {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			err := s.explore(t)
			t.Log(err)
			is.New(t).True(err != nil && strings.Contains(err.Error(), s.want))
		})
	}
}
