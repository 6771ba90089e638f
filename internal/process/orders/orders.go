// Package orders sends the orders that start and stop the endpoints of one failure domain, under the lease of that domain.
//
// An order is stored as an intent before it is first sent, and is sent again unchanged until its outcome is known. A new holder of
// the lease completes the intents of earlier holders before it decides on new orders.
package orders

import (
	"context"
	"errors"
	"time"

	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/event"
	"vanillapond/internal/process/lease"
	"vanillapond/internal/process/platform"
	"vanillapond/internal/process/table"
	"vanillapond/pkg/ident"
)

// Divisors of the term of the lease.
const (
	// sendTimeoutDivisor gives the timeout of sending one order: term / sendTimeoutDivisor.
	sendTimeoutDivisor = 10
	// guardDivisor gives how much of the term must remain when an order is written to the network: term / guardDivisor.
	guardDivisor = 5
)

// Lease is the lease under which orders are sent.
type Lease interface {
	// Check returns the grant if it is valid for longer than the guard time after now.
	Check(now clock.Reading, guard time.Duration) (lease.Grant, error)
	// Condition returns the check that fails once another process has acquired the lease.
	Condition(grant lease.Grant) (table.Check, error)
	// Now returns the current reading of the lease's clock.
	Now() clock.Reading
}

// Config describes the failure domain of a runner and decides on its orders.
type Config struct {
	Domain  ident.FailureDomain
	Process ident.Process
	Lease   Lease
	// Term is the term of the lease.
	Term   time.Duration
	Table  table.Table
	Orders platform.Orders
	Events *event.Recorder
	// Decide returns the endpoints to start and stop, given the record of the completed orders. It is called only while there is no
	// intent.
	Decide func(Record) []DesiredAction
}

// Runner sends the orders of one failure domain.
type Runner struct {
	config Config
	// record was read or written under fence; used by Step only.
	record Record
	fence  ident.Fence
	// inFlight says that the outcome of the last order is unknown, so that it may still be in flight; used by Step only.
	inFlight bool
}

// New returns a runner that has not yet sent an order.
func New(config Config) *Runner {
	if config.Events == nil {
		config.Events = event.New(event.Config{Process: config.Process})
	}
	return &Runner{config: config}
}

// Run calls Step at each interval until the context is done.
func (r *Runner) Run(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			_ = r.Step(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// NoneInFlight reports whether no order is in flight, so that the lease may be released. It must not be called concurrently with
// Step.
func (r *Runner) NoneInFlight() bool { return !r.inFlight }

// Step reads the record, decides on orders if there is no intent, stores the intents and sends them.
//
// Without the lease it does nothing and returns lease.ErrNotHeld.
func (r *Runner) Step(ctx context.Context) error {
	grant, err := r.config.Lease.Check(r.config.Lease.Now(), r.guard())
	if err != nil {
		r.fence = 0
		return err
	}
	if r.fence != grant.Fence {
		if r.record, err = load(ctx, r.config.Table, r.config.Domain); err != nil {
			return err
		}
		r.fence = grant.Fence
	}
	if len(r.record.Intents) == 0 {
		if err := r.decide(ctx, grant); err != nil {
			return err
		}
	}
	return r.sendIntents(ctx, grant)
}

// decide stores an intent for each desired action.
func (r *Runner) decide(ctx context.Context, grant lease.Grant) error {
	actions := r.config.Decide(r.record)
	if len(actions) == 0 {
		return nil
	}
	return r.save(ctx, grant, r.record.withIntents(r.config.Domain, actions))
}

// save stores the record. After an error the record is read again before any order is sent.
func (r *Runner) save(ctx context.Context, grant lease.Grant, record Record) error {
	r.fence = 0
	condition, err := r.config.Lease.Condition(grant)
	if err != nil {
		return err
	}
	if err := store(ctx, r.config.Table, r.config.Domain, record, condition); err != nil {
		return err
	}
	if r.record, err = load(ctx, r.config.Table, r.config.Domain); err != nil {
		return err
	}
	r.fence = grant.Fence
	return nil
}

// sendIntents sends the intents in order and stops at the first one that fails or whose outcome is unknown.
func (r *Runner) sendIntents(ctx context.Context, grant lease.Grant) error {
	var completed int
	var sendErr error
	for _, intent := range r.record.Intents {
		if sendErr = r.send(ctx, grant, intent); sendErr != nil {
			break
		}
		completed++
	}
	if completed == 0 {
		return sendErr
	}
	return errors.Join(sendErr, r.save(ctx, grant, r.record.withoutCompleted(completed)))
}

// send sends one order. The lease is checked again immediately before each write to the network.
func (r *Runner) send(ctx context.Context, grant lease.Grant, intent Intent) error {
	ctx, cancel := context.WithTimeout(ctx, r.config.Term/sendTimeoutDivisor)
	defer cancel()
	order := platform.Order{
		ID: intent.ID, Fence: grant.Fence, Sender: r.config.Process, Action: intent.Action,
		Domain: r.config.Domain, Pool: intent.Pool, Endpoint: intent.Endpoint,
	}
	err := r.config.Orders.Send(ctx, order, func() error { return r.recheck(grant) })
	r.inFlight = errors.Is(err, table.ErrOutcomeUnknown)
	r.config.Events.Record(event.Event{
		Name: "order_sent", Domain: r.config.Domain, Endpoint: intent.Endpoint, Fence: grant.Fence, Detail: errorDetail(err),
		Attributes: []event.Attribute{{Key: "order", Value: intent.ID}, {Key: "action", Value: string(intent.Action)}},
	})
	return err
}

// recheck returns an error unless the grant is the current one and is valid for longer than the guard time.
func (r *Runner) recheck(grant lease.Grant) error {
	current, err := r.config.Lease.Check(r.config.Lease.Now(), r.guard())
	if err != nil {
		return err
	}
	if current.Fence != grant.Fence {
		return lease.ErrNotHeld
	}
	return nil
}

func (r *Runner) guard() time.Duration { return r.config.Term / guardDivisor }

func errorDetail(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
