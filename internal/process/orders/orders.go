// Package orders starts and stops endpoints of one failure domain, under that domain's lease.
//
// An order is written down as an intent before it is first sent, and is sent again, the very same, until its outcome is
// known. A new holder finishes the intents of earlier ones before it decides anything.
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

// Shares of a lease's term.
const (
	// sendShare bounds how long one sending may take.
	sendShare = 10
	// guardShare is what must be left of the term when an order is written to the network.
	guardShare = 5
)

// Lease is the right to give orders.
type Lease interface {
	// Check returns the grant if it lasts longer than guard after now.
	Check(now clock.Reading, guard time.Duration) (lease.Grant, error)
	// Condition returns the check that fails once another process has taken the lease.
	Condition(grant lease.Grant) (table.Check, error)
	// Now reads the clock of the lease.
	Now() clock.Reading
}

// Config says which orders are given.
type Config struct {
	Domain  ident.FailureDomain
	Process ident.Process
	Lease   Lease
	// Term is the lease's.
	Term   time.Duration
	Table  table.Table
	Orders platform.Orders
	Events *event.Recorder
	// Decide returns what is wanted now, given the orders carried out; it is called only while no intent is open.
	Decide func(Record) []DesiredAction
}

// Runner gives the orders of one failure domain.
type Runner struct {
	config Config
	// record was read or written under fence; used by Step alone.
	record Record
	fence  ident.Fence
	// unsettled says that a sending under the lease may still be under way; used by Step alone.
	unsettled bool
}

// New returns a runner that has sent nothing.
func New(config Config) *Runner {
	if config.Events == nil {
		config.Events = event.New(event.Config{Process: config.Process})
	}
	return &Runner{config: config}
}

// Run steps at each interval until the context is done.
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

// NoneInFlight reports whether nothing sent is under way, so that the lease may be released; not to be called beside Step.
func (r *Runner) NoneInFlight() bool { return !r.unsettled }

// Step does what is due: read the record, decide, write the intents down, send them.
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
	return r.finish(ctx, grant)
}

// decide writes down what is wanted.
func (r *Runner) decide(ctx context.Context, grant lease.Grant) error {
	wants := r.config.Decide(r.record)
	if len(wants) == 0 {
		return nil
	}
	return r.save(ctx, grant, r.record.with(r.config.Domain, wants))
}

// save stores the record; whatever goes wrong, it is read again before anything is sent.
func (r *Runner) save(ctx context.Context, grant lease.Grant, record Record) error {
	r.fence = 0
	held, err := r.config.Lease.Condition(grant)
	if err != nil {
		return err
	}
	if err := store(ctx, r.config.Table, r.config.Domain, record, held); err != nil {
		return err
	}
	if r.record, err = load(ctx, r.config.Table, r.config.Domain); err != nil {
		return err
	}
	r.fence = grant.Fence
	return nil
}

// finish sends the intents in order and stops at the first whose outcome is not known.
func (r *Runner) finish(ctx context.Context, grant lease.Grant) error {
	var done int
	var failure error
	for _, intent := range r.record.Intents {
		if failure = r.send(ctx, grant, intent); failure != nil {
			break
		}
		done++
	}
	if done == 0 {
		return failure
	}
	return errors.Join(failure, r.save(ctx, grant, r.record.without(done)))
}

// send gives one order; the lease is checked again right before each write to the network.
func (r *Runner) send(ctx context.Context, grant lease.Grant, intent Intent) error {
	ctx, cancel := context.WithTimeout(ctx, r.config.Term/sendShare)
	defer cancel()
	order := platform.Order{
		ID: intent.ID, Fence: grant.Fence, Sender: r.config.Process, Action: intent.Action,
		Domain: r.config.Domain, Pool: intent.Pool, Endpoint: intent.Endpoint,
	}
	err := r.config.Orders.Send(ctx, order, func() error { return r.still(grant) })
	r.unsettled = errors.Is(err, table.ErrOutcomeUnknown)
	r.config.Events.Record(event.Event{
		Name: "order_sent", Domain: r.config.Domain, Endpoint: intent.Endpoint, Fence: grant.Fence, Detail: detail(err),
		Attributes: []event.Attribute{{Key: "order", Value: intent.ID}, {Key: "action", Value: string(intent.Action)}},
	})
	return err
}

// still returns an error unless the grant is the current one and lasts longer than the guard.
func (r *Runner) still(grant lease.Grant) error {
	current, err := r.config.Lease.Check(r.config.Lease.Now(), r.guard())
	if err != nil {
		return err
	}
	if current.Fence != grant.Fence {
		return lease.ErrNotHeld
	}
	return nil
}

func (r *Runner) guard() time.Duration { return r.config.Term / guardShare }

func detail(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
