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

// model is a table, a receiver of orders, and a lease that passes from one holder to the next at moments that the explorer chooses.
type model struct {
	choices *interleave.Chooser
	table   *interleave.FaultyTable
	// fence is the fence of the current holder; expiries is how often a holder may still lose the lease before it is done.
	fence     ident.Fence
	expiries  int
	received  []platform.Order
	effects   map[ident.Endpoint]platform.Action
	violation string
}

// holder is the lease and the sender of orders of one holder.
type holder struct {
	*model
	grantedFence ident.Fence
	expired      bool
}

func (h *holder) Now() clock.Reading { return 0 }

func (h *holder) Check(clock.Reading, time.Duration) (lease.Grant, error) {
	h.maybeExpire()
	if h.expired {
		return lease.Grant{}, lease.ErrNotHeld
	}
	return lease.Grant{Fence: h.grantedFence}, nil
}

// maybeExpire lets the lease end if the explorer chooses so.
func (h *holder) maybeExpire() {
	if !h.expired && h.expiries > 0 && h.choices.Choose(2) == 1 {
		h.expiries--
		h.expired = true
	}
}

func (h *holder) Condition(lease.Grant) (table.Check, error) {
	rows, err := h.table.Memory.Read(context.Background(), "lease")
	return table.Check{Key: "lease", Revision: rows[0].Revision}, err
}

// Send implements platform.Orders with lost orders and lost responses.
func (h *holder) Send(ctx context.Context, order platform.Order, gate platform.Gate) error {
	h.maybeExpire()
	if err := gate(); err != nil {
		return table.ErrRefused
	}
	outcome := h.choices.ChooseFault(&h.table.RemainingFaults, 2)
	if outcome == 1 {
		return table.ErrOutcomeUnknown
	}
	if h.expired {
		h.violation = fmt.Sprintf("order %s sent after the end of the lease", order.ID)
	}
	h.receive(ctx, order)
	if outcome == 2 {
		return table.ErrOutcomeUnknown
	}
	return nil
}

// receive checks each order against the fence, the stored intents and the earlier orders.
func (m *model) receive(ctx context.Context, order platform.Order) {
	if order.Fence != m.fence {
		m.violation = fmt.Sprintf("order with fence %d received while the fence of the lease is %d", order.Fence, m.fence)
	}
	resent := false
	for _, previous := range m.received {
		resent = resent || previous.ID == order.ID
		if previous.ID == order.ID && (previous.Endpoint != order.Endpoint || previous.Action != order.Action) {
			m.violation = fmt.Sprintf("order %s received again with another endpoint or action", order.ID)
		}
	}
	m.received = append(m.received, order)
	rows, _ := m.table.Memory.Read(ctx, "orders/d1")
	if !resent && !slices.Contains(intents(rows[0].Value), order.ID) {
		m.violation = fmt.Sprintf("order %s received for the first time without a stored intent: record %s", order.ID, rows[0].Value)
	}
	if !resent {
		m.effects[order.Endpoint] = order.Action
	}
}

// run lets one holder after the other take its steps, until a holder keeps the lease to the end of its steps.
func (m *model) run(ctx context.Context) {
	const steps = 12
	for expiries := m.expiries; expiries >= 0; expiries-- {
		m.fence++
		// The acquisition changes the holder row before the new holder acts.
		_ = m.table.Memory.Commit(ctx, table.Transaction{Writes: []table.Write{{Key: "lease"}}})
		leaseHolder := &holder{model: m, grantedFence: m.fence}
		runner := orders.New(orders.Config{
			Domain: domain, Process: ident.Process(fmt.Sprint(m.fence)), Lease: leaseHolder, Term: time.Minute,
			Table: m.table, Orders: leaseHolder, Decide: decide,
		})
		for step := 0; step < steps && !leaseHolder.expired; step++ {
			_ = runner.Step(ctx)
			if len(m.table.Delayed) > 0 && m.choices.Choose(2) == 1 {
				m.table.ApplyDelayed(ctx)
			}
		}
		if !leaseHolder.expired {
			return
		}
	}
}

// decide stops a and b, then starts a again.
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
	var sent, laterHolders int
	result, err := interleave.Explore(func(choices *interleave.Chooser) error {
		m := &model{
			choices: choices, expiries: 1, effects: make(map[ident.Endpoint]platform.Action),
			table: &interleave.FaultyTable{Memory: table.NewMemory(), Chooser: choices, RemainingFaults: 2},
		}
		m.run(ctx)
		if m.violation == "" && (m.effects["a"] != platform.ActionStart || m.effects["b"] != platform.ActionStop) {
			m.violation = fmt.Sprintf("last actions per endpoint %v, want a started and b stopped", m.effects)
		}
		if m.violation != "" {
			return errors.New(m.violation)
		}
		for len(m.table.Delayed) > 0 {
			m.table.ApplyDelayed(ctx)
		}
		rows, _ := m.table.Memory.Read(ctx, "orders/d1")
		if remaining := intents(rows[0].Value); len(remaining) > 0 {
			return fmt.Errorf("intents %v remain after a delayed transaction", remaining)
		}
		sent += len(m.received)
		laterHolders += int(m.fence) - 1
		return nil
	})
	is.NoErr(err)
	t.Logf("%d interleavings, %d orders received, %d later holders", result.Runs, sent, laterHolders)
	is.True(laterHolders > 0 && sent > result.Runs)
}

// intents returns the IDs of the intents in a row.
func intents(body []byte) []string {
	var record orders.Record
	_ = json.Unmarshal(body, &record)
	var ids []string
	for _, intent := range record.Intents {
		ids = append(ids, intent.ID)
	}
	return ids
}
