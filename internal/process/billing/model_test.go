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
	windowSeconds = 10
	closers       = 2
	// digit separates the requests in a sum, so that a doubled or lost one shows.
	digit    = 4
	leaseRow = table.Key("lease")
	// never is a window that does not come.
	never = 1 << 40
)

// customer is in partition 0.
var customer = customerOf(0)

func customerOf(partition Partition) ident.Customer {
	for number := 0; ; number++ {
		if id := ident.Customer(fmt.Sprint(number)); PartitionOf(id) == partition {
			return id
		}
	}
}

// duty is one process's belief about the lease.
type duty struct {
	model *model
	held  bool
	fence ident.Fence
	check table.Check
}

// Fence implements Lease.
func (d *duty) Fence() (ident.Fence, table.Check, bool) { return d.fence, d.check, d.held }

// sent is one report as the platform got it.
type sent struct {
	report platform.Report
	// inCharge is the fencing number of the lease row then.
	inCharge ident.Fence
}

// model is an entry's ledger and two closers over one faulty table.
type model struct {
	script  script
	chooser *interleave.Chooser
	table   *interleave.FaultyTable
	now     time.Time
	ledger  *ledger.Ledger
	closers [closers]*Closer
	duties  [closers]*duty
	// fence is the greatest fencing number given out.
	fence  ident.Fence
	sent   []sent
	served int
	// open is an attempt that began in an earlier window, or nil.
	open *ledger.Attempt
}

// script says how much of each thing may happen, and which mechanism is off.
type script struct {
	name                                  string
	requests, takeovers, crashes, windows int
	faults, reportFaults                  int
	unchecked                             table.Key
	// ended starts with a request made durable, and its window past.
	ended bool
	// lapsesLate lets the old holder believe in its lease after a takeover.
	lapsesLate bool
	// uncheckedLease does so as well, and still wants no report by it.
	uncheckedLease bool
}

func newModel(c *interleave.Chooser, s script) *model {
	m := &model{script: s, chooser: c, now: time.Unix(1000, 0)}
	m.table = &interleave.FaultyTable{Memory: table.NewMemory(), Chooser: c, RemainingFaults: s.faults, UncheckedPrefix: s.unchecked}
	m.ledger = ledger.New(ledger.Config{
		Table: m.table, Incarnation: "e", WindowLength: func() int64 { return windowSeconds }, Now: m.clock,
	})
	for index := range closers {
		m.duties[index] = &duty{model: m}
		m.restart(index)
	}
	if s.ended {
		m.takeAhead()
	}
	m.take(0)
	return m
}

// takeAhead lets the other partitions be far ahead, so that this one cleans up.
func (m *model) takeAhead() {
	var writes []table.Write
	for partition := 1; partition < Partitions; partition++ {
		write, _ := encode(progressKey(Partition(partition)), Progress{Frozen: never, Reported: never})
		writes = append(writes, write)
	}
	_ = m.table.Memory.Commit(context.Background(), table.Transaction{Writes: writes})
}

func (m *model) clock() time.Time { return m.now }

func (m *model) restart(index int) {
	m.closers[index] = New(Config{
		Table: m.table, Reports: m, Lease: m.duties[index], Process: ident.Process(fmt.Sprint(index)),
		WindowLength: func() int64 { return windowSeconds }, Now: m.clock,
	})
	if !m.script.ended {
		m.closers[index].swept = never
	}
}

// take gives the lease to a closer; unless the script says otherwise the other one's has lapsed by then.
func (m *model) take(index int) {
	m.fence++
	ctx := context.Background()
	_ = m.table.Memory.Commit(ctx, table.Transaction{Writes: []table.Write{{Key: leaseRow, Value: []byte(fmt.Sprint(m.fence))}}})
	rows, _ := m.table.Memory.Read(ctx, leaseRow)
	if !m.script.lapsesLate && !m.script.uncheckedLease {
		m.duties[1-index].held = false
	}
	duty := m.duties[index]
	duty.held, duty.fence, duty.check = true, m.fence, table.Check{Key: leaseRow, Revision: rows[0].Revision}
}

// Report implements platform.Reports.
func (m *model) Report(_ context.Context, report platform.Report) error {
	fault := 0
	if m.script.reportFaults > 0 {
		fault = m.chooser.Choose(3)
	}
	if fault > 0 {
		m.script.reportFaults--
	}
	if fault == 1 {
		return table.ErrRefused
	}
	m.note(sent{report: report, inCharge: m.fence})
	if fault == 2 {
		return table.ErrOutcomeUnknown
	}
	return nil
}

// note keeps a report, once for all that are equal.
func (m *model) note(one sent) {
	for _, other := range m.sent {
		if reflect.DeepEqual(other, one) {
			return
		}
	}
	m.sent = append(m.sent, one)
}

func (m *model) actions(ctx context.Context) []func() {
	all := []func(){func() { _, _ = m.ledger.Step(ctx) }}
	for index := range closers {
		if m.duties[index].held {
			all = append(all, func() { _, _ = m.closers[index].Step(ctx) })
		} else if m.script.takeovers > 0 {
			all = append(all, func() { m.script.takeovers--; m.take(index) })
		}
	}
	if m.script.requests > 0 {
		all = append(all, m.serve)
	}
	if m.script.windows > 0 {
		all = append(all, func() { m.script.windows--; m.now = m.now.Add(windowSeconds * time.Second) })
	}
	if m.script.crashes > 0 {
		all = append(all, func() { m.script.crashes--; m.restart(0) })
	}
	if len(m.table.Delayed) > 0 {
		all = append(all, func() { m.table.ApplyDelayed(ctx) })
	}
	return all
}

// serve ends one request; the next one begins in the same window and may end in a later one.
func (m *model) serve() {
	m.script.requests--
	if m.open == nil {
		m.open = m.ledger.BeginAttempt("p")
	}
	usage := ledger.Usage{Requests: 1, Prompt: 1}
	for range m.served {
		usage.Prompt *= digit
	}
	m.open.RecordUsage(customer, usage)
	m.served++
	m.open = m.ledger.BeginAttempt("p")
}

func (m *model) state(ctx context.Context) string {
	text := m.table.State(ctx) + fmt.Sprint(m.now.Unix(), m.fence, m.served, m.sent, m.script, m.open.Tag(), m.ledger)
	for index := range closers {
		c, d := m.closers[index], m.duties[index]
		text += fmt.Sprint(d.held, d.fence, c.phase, c.progress, c.progressRevision, c.sealed, c.sealedRevision, c.loaded, c.fence, c.next, c.window, c.after, c.garbage, c.bound, c.swept)
		for _, statement := range c.sum {
			text += fmt.Sprint(*statement)
		}
	}
	return text
}

// settle lets all go on without faults until every window is reported.
func (m *model) settle(ctx context.Context) {
	const rounds = 3
	m.table.RemainingFaults, m.script.reportFaults = 0, 0
	for len(m.table.Delayed) > 0 {
		m.table.ApplyDelayed(ctx)
	}
	m.open.Void()
	for _, duty := range m.duties {
		duty.held = duty.held && duty.fence == m.fence
	}
	for range rounds {
		m.now = m.now.Add(windowSeconds * time.Second)
		for busy := true; busy; {
			busy, _ = m.ledger.Step(ctx)
			for _, closer := range m.closers {
				more, _ := closer.Step(ctx)
				busy = busy || more
			}
		}
	}
}

// check compares the reports with one another, with the lease and with what was served.
func (m *model) check(final bool) error {
	bodies := make(map[string]string)
	var sum ledger.Usage
	for _, one := range m.sent {
		body := string(one.report.Body)
		if earlier, found := bodies[one.report.ID]; found {
			if earlier != body {
				return fmt.Errorf("window %s was reported as %s and as %s", one.report.ID, earlier, body)
			}
		} else {
			statement, err := decode[Statement](table.Row{Revision: 1, Value: one.report.Body})
			if err != nil {
				return err
			}
			sum = sum.Plus(statement.Usage)
		}
		bodies[one.report.ID] = body
		if one.report.Fence != one.inCharge && !m.script.lapsesLate {
			return fmt.Errorf("window %s was reported under fence %d while %d was in charge", one.report.ID, one.report.Fence, one.inCharge)
		}
	}
	left := sum.Prompt
	for number := range m.served {
		count := left % digit
		left /= digit
		if count > 1 || (final && count == 0) {
			return fmt.Errorf("request %d was reported %d times", number, count)
		}
	}
	return nil
}

func (m *model) run(ctx context.Context) error {
	const longest = 200
	m.open = m.ledger.BeginAttempt("p")
	if m.script.ended {
		m.end(ctx)
	}
	for range longest {
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
	m.settle(ctx)
	if rows, err := m.table.Scan(ctx, ledger.PrefixTotal, "", page); err != nil || m.script.ended && len(rows) > 0 {
		return fmt.Errorf("%d rows of totals are left: %w", len(rows), err)
	}
	return m.check(true)
}

// end makes one request durable and lets its window pass.
func (m *model) end(ctx context.Context) {
	faults := m.table.RemainingFaults
	m.table.RemainingFaults = 0
	m.serve()
	m.script.requests = 0
	m.open.Void()
	for more := true; more; {
		more, _ = m.ledger.Step(ctx)
	}
	m.now = m.now.Add(windowSeconds * time.Second)
	m.table.RemainingFaults = faults
}

func (s script) explore(t *testing.T) error {
	t.Helper()
	result, err := interleave.Explore(func(chooser *interleave.Chooser) error { return newModel(chooser, s).run(t.Context()) })
	t.Logf("%s: %d states, %d runs", s.name, result.States, result.Runs)
	return err
}

func TestReportsOverAllInterleavings(t *testing.T) {
	t.Parallel()
	for _, s := range []script{
		{name: "late", requests: 2, windows: 1},
		{name: "two_closers", ended: true, takeovers: 2},
		{name: "lost_answers", ended: true, faults: 2, takeovers: 1},
		{name: "lost_reports", ended: true, reportFaults: 2, takeovers: 1, crashes: 1},
		{name: "crash_and_lost_answer", ended: true, faults: 1, reportFaults: 1, crashes: 1},
		{name: "both_believe", ended: true, takeovers: 1, lapsesLate: true},
	} {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			is.New(t).NoErr(s.explore(t))
		})
	}
}

func TestDisabledMechanismIsDetected(t *testing.T) {
	t.Parallel()
	for _, s := range []struct {
		script
		want string
	}{
		{script{name: "no_seal_check", requests: 2, windows: 1, unchecked: ledger.KeySealed}, "reported 0 times"},
		{script{name: "no_lease_check_before_send", ended: true, takeovers: 1, uncheckedLease: true}, "was in charge"},
	} {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			err := s.explore(t)
			t.Log(err)
			is.New(t).True(err != nil && strings.Contains(err.Error(), s.want))
		})
	}
}
