package guard

import (
	"context"
	"strconv"
	"sync"
	"time"

	"vanillapond/internal/connection/backend"
	"vanillapond/internal/connection/link"
	"vanillapond/internal/process/event"
	"vanillapond/internal/request/forecast"
	"vanillapond/internal/request/order"
	"vanillapond/pkg/ident"
)

// placesPerSlot is how many requests may wait for each slot, beyond the floor places of the classes.
const placesPerSlot = 8

// progressParts is how many parts of an answer go by between two charges for a long one.
const progressParts = 32

// promptParts is how many prompt tokens cost as much service as one generated token.
const promptParts = 8

// bytesPerToken is the usual size of a prompt token, in bytes.
const bytesPerToken = 4

// admission gives the slots of the back end to requests in the order of its policy.
type admission struct {
	mu sync.Mutex
	// All below is guarded by mu.
	policy   order.Policy
	forecast *forecast.Estimator
	places   map[*order.Item]*place
	waiting  int
	running  int
}

// place is one request's wait and run.
type place struct {
	admission *admission
	item      *order.Item
	// verdict gets the one verdict.
	verdict chan order.Decision
	started time.Time
	// parts counts what the answer's body was written in; used by the run alone.
	parts int
}

func newAdmission(slots int) *admission {
	return &admission{
		policy:   order.New(order.Config{Slots: slots, SharedCapacity: slots * placesPerSlot}),
		forecast: forecast.New(),
		places:   make(map[*order.Item]*place),
	}
}

// counts returns how many requests run and wait.
func (a *admission) counts() (running, waiting int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.running, a.waiting
}

// offer puts a request into the queue.
func (a *admission) offer(now time.Time, open *link.Open) *place {
	a.mu.Lock()
	defer a.mu.Unlock()
	budget := time.Duration(open.BudgetMS) * time.Millisecond
	item := &order.Item{
		Customer: open.Customer, Class: open.Class, Tier: open.Tier, Weight: open.Weight, FloorPercent: open.FloorPercent,
		StartBy: now.Add(budget - a.forecast.TimeToFirstByte(open.Class)),
		Cost:    a.forecast.OutputTokens(open.Class, open.Customer) + promptCost(open),
	}
	p := &place{admission: a, item: item, verdict: make(chan order.Decision, 1)}
	a.places[item] = p
	a.waiting++
	a.tell(now, a.policy.Enqueue(now, item))
	a.advance(now)
	return p
}

// promptCost returns the service that the prompt takes, in tokens.
func promptCost(open *link.Open) ident.Tokens {
	return ident.Tokens(len(open.Body) / bytesPerToken / promptParts)
}

// advance starts and refuses what is due.
func (a *admission) advance(now time.Time) { a.tell(now, a.policy.Schedule(now)) }

// tell hands out verdicts.
func (a *admission) tell(now time.Time, verdicts []order.Decision) {
	for _, verdict := range verdicts {
		p := a.places[verdict.Item]
		a.waiting--
		if verdict.Outcome == order.Started {
			a.running++
			p.started = now
		} else {
			delete(a.places, verdict.Item)
		}
		p.verdict <- verdict
	}
}

// wait returns the request's verdict, or false after the context's end.
func (p *place) wait(ctx context.Context) (order.Decision, bool) {
	late := time.NewTimer(time.Until(p.item.StartBy))
	defer late.Stop()
	for {
		select {
		case verdict := <-p.verdict:
			return verdict, true
		case <-late.C:
			p.admission.expire()
		case <-ctx.Done():
			return p.withdraw()
		}
	}
}

// expire lets the policy refuse what has become late.
func (a *admission) expire() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(time.Now())
}

// withdraw takes the request out of the queue, unless its verdict was there first.
func (p *place) withdraw() (order.Decision, bool) {
	a := p.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.policy.Cancel(time.Now(), p.item) {
		return <-p.verdict, true
	}
	a.waiting--
	delete(a.places, p.item)
	return order.Decision{}, false
}

// release frees the slot and charges what the back end has done.
func (p *place) release(usage link.Usage) {
	a := p.admission
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	prompt := usage.Prompt / promptParts
	a.policy.Finish(now, p.item, usage.Completion+prompt)
	if usage.Requests > 0 {
		a.forecast.ObserveOutputTokens(p.item.Class, p.item.Customer, usage.Completion)
	}
	a.running--
	delete(a.places, p.item)
	a.advance(now)
}

// part notes a written part of the answer.
func (p *place) part() {
	p.parts++
	if p.parts != 1 && p.parts%progressParts != 0 {
		return
	}
	a := p.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	if p.parts == 1 {
		a.forecast.ObserveTimeToFirstByte(p.item.Class, time.Since(p.started))
		return
	}
	a.policy.Progress(p.item, ident.Tokens(p.parts))
}

// metered counts the parts of an answer on their way.
type metered struct {
	backend.ResponseWriter
	place *place
}

// Write implements io.Writer.
func (m *metered) Write(part []byte) (int, error) {
	m.place.part()
	return m.ResponseWriter.Write(part)
}

// acquire waits for a slot; without one the stream is denied and the result is nil.
func (g *Guard) acquire(ctx context.Context, stream *link.Incoming) *place {
	p := g.admission.offer(time.Now(), stream.Open)
	verdict, found := p.wait(ctx)
	switch {
	case !found:
		g.deny(stream, link.Deny{Code: link.DenyCancelled, NotRun: true, Reason: "cancelled before the start"})
	case verdict.Outcome != order.Started:
		g.recordVerdict(stream, verdict)
		g.deny(stream, denial(verdict))
	case ctx.Err() != nil:
		p.release(link.Usage{})
		g.deny(stream, link.Deny{Code: link.DenyCancelled, NotRun: true, Reason: "cancelled before the start"})
	default:
		g.recordVerdict(stream, verdict)
		return p
	}
	return nil
}

// denial returns what the entry is told of a verdict.
func denial(verdict order.Decision) link.Deny {
	deny := link.Deny{NotRun: true, RetryAfterMS: max(verdict.Wait, busyRetry).Milliseconds()}
	switch verdict.Outcome {
	case order.Late:
		deny.Code = link.DenyLate
		deny.Reason = "no start in time for the target"
	default:
		deny.Code = link.DenyBusy
		deny.Reason = string(verdict.Outcome)
	}
	return deny
}

// recordVerdict notes a decision with what it was made by.
func (g *Guard) recordVerdict(stream *link.Incoming, verdict order.Decision) {
	open := stream.Open
	g.config.Events.Record(event.Event{
		Name: "order_decided", Request: open.Request, Customer: open.Customer, Class: open.Class,
		Endpoint: g.config.Endpoint, Version: open.Version, Detail: string(verdict.Outcome),
		Attributes: []event.Attribute{
			{Key: "tier", Value: strconv.Itoa(int(open.Tier))},
			{Key: "by_floor", Value: strconv.FormatBool(verdict.ByFloor)},
			{Key: "wait_ms", Value: strconv.FormatInt(verdict.Wait.Milliseconds(), 10)},
		},
	})
}
