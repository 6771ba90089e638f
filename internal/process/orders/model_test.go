//go:build !race

package orders_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/interleave"
	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/lease"
	"vanillapond/internal/process/orders"
	"vanillapond/internal/process/platform"
	"vanillapond/internal/process/table"
	"vanillapond/pkg/ident"
)

const domain ident.FailureDomain = "d1"

// model is a table, a receiver and a lease that passes from holder to holder at chosen moments.
type model struct {
	chooser *interleave.Chooser
	table   *interleave.FaultyTable
	// fence is the current holder's; expiries is how often the holder may still lose it before it is done.
	fence    ident.Fence
	expiries int
	received []platform.Order
	effects  map[ident.Endpoint]platform.Action
	broken   string
}

// holder is the lease as one holder sees it.
type holder struct {
	*model
	own     ident.Fence
	expired bool
}

func (h *holder) Now() clock.Reading { return 0 }

func (h *holder) Check(clock.Reading, time.Duration) (lease.Grant, error) {
	h.pass()
	if h.expired {
		return lease.Grant{}, lease.ErrNotHeld
	}
	return lease.Grant{Fence: h.own}, nil
}

// pass lets time go by, so that the lease may have ended.
func (h *holder) pass() {
	if !h.expired && h.expiries > 0 && h.chooser.Choose(2) == 1 {
		h.expiries--
		h.expired = true
	}
}

func (h *holder) Condition(lease.Grant) (table.Check, error) {
	rows, err := h.table.Memory.Read(context.Background(), "lease")
	return table.Check{Key: "lease", Revision: rows[0].Revision}, err
}

// Send implements platform.Orders with lost orders and lost answers.
func (h *holder) Send(ctx context.Context, order platform.Order, gate platform.Gate) error {
	h.pass()
	if err := gate(); err != nil {
		return table.ErrRefused
	}
	outcome := h.chooser.ChooseFault(&h.table.RemainingFaults, 2)
	if outcome == 1 {
		return table.ErrOutcomeUnknown
	}
	if h.expired {
		h.broken = fmt.Sprintf("order %s sent after the lease ended", order.ID)
	}
	h.receive(ctx, order)
	if outcome == 2 {
		return table.ErrOutcomeUnknown
	}
	return nil
}

// receive checks each order against the intents and the orders before it.
func (m *model) receive(ctx context.Context, order platform.Order) {
	if order.Fence != m.fence {
		m.broken = fmt.Sprintf("order of fence %d while %d holds the lease", order.Fence, m.fence)
	}
	repeated := false
	for _, before := range m.received {
		repeated = repeated || before.ID == order.ID
		if before.ID == order.ID && (before.Endpoint != order.Endpoint || before.Action != order.Action) {
			m.broken = fmt.Sprintf("order %s received with two meanings", order.ID)
		}
	}
	m.received = append(m.received, order)
	rows, _ := m.table.Memory.Read(ctx, "orders/d1")
	if !repeated && !slices.Contains(intents(rows[0].Value), order.ID) {
		m.broken = fmt.Sprintf("order %s first received without an intent in %s", order.ID, rows[0].Value)
	}
	if !repeated {
		m.effects[order.Endpoint] = order.Action
	}
}

// run lets one holder after the other step until the last one has nothing left to do.
func (m *model) run(ctx context.Context) {
	const steps = 12
	for expiries := m.expiries; expiries >= 0; expiries-- {
		m.fence++
		// The take-over changes the holder row before the new holder acts.
		_ = m.table.Memory.Commit(ctx, table.Transaction{Writes: []table.Write{{Key: "lease"}}})
		held := &holder{model: m, own: m.fence}
		runner := orders.New(orders.Config{
			Domain: domain, Process: ident.Process(fmt.Sprint(m.fence)), Lease: held, Term: time.Minute,
			Table: m.table, Orders: held, Decide: decide,
		})
		for step := 0; step < steps && !held.expired; step++ {
			_ = runner.Step(ctx)
			if len(m.table.Delayed) > 0 && m.chooser.Choose(2) == 1 {
				m.table.ApplyDelayed(ctx)
			}
		}
		if !held.expired {
			return
		}
	}
}

// decide wants a stopped, then started again, and b stopped.
func decide(record orders.Record) []orders.DesiredAction {
	switch {
	case !record.IsStopped("b"):
		return []orders.DesiredAction{{Action: platform.ActionStop, Endpoint: "a"}, {Action: platform.ActionStop, Endpoint: "b"}}
	case record.IsStopped("a"):
		return []orders.DesiredAction{{Action: platform.ActionStart, Endpoint: "a"}}
	default:
		return nil
	}
}

func TestModelOrders(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx := context.Background()
	var sent, handOvers int
	result, err := interleave.Explore(func(chooser *interleave.Chooser) error {
		m := &model{
			chooser: chooser, expiries: 1, effects: make(map[ident.Endpoint]platform.Action),
			table: &interleave.FaultyTable{Memory: table.NewMemory(), Chooser: chooser, RemainingFaults: 2},
		}
		m.run(ctx)
		if m.broken == "" && (m.effects["a"] != platform.ActionStart || m.effects["b"] != platform.ActionStop) {
			m.broken = fmt.Sprintf("the last holder left %v", m.effects)
		}
		if m.broken != "" {
			return errors.New(m.broken)
		}
		for len(m.table.Delayed) > 0 {
			m.table.ApplyDelayed(ctx)
		}
		rows, _ := m.table.Memory.Read(ctx, "orders/d1")
		if left := intents(rows[0].Value); len(left) > 0 {
			return fmt.Errorf("a late transaction left intents %v", left)
		}
		sent += len(m.received)
		handOvers += int(m.fence) - 1
		return nil
	})
	is.NoErr(err)
	t.Logf("%d interleavings, %d orders received, %d hand-overs", result.Runs, sent, handOvers)
	is.True(handOvers > 0 && sent > result.Runs)
}

// intents returns the ids of the intents in a row.
func intents(body []byte) []string {
	var record orders.Record
	_ = json.Unmarshal(body, &record)
	var ids []string
	for _, intent := range record.Intents {
		ids = append(ids, intent.ID)
	}
	return ids
}
