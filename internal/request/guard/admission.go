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

// queuedPerSlot is how many requests may wait for each slot, beyond the floor places of the classes.
const queuedPerSlot = 8

// progressChunks is how many parts of an answer go by between two charges for a long one.
const progressChunks = 32

// promptTokenRatio is how many prompt tokens cost as much service as one generated token.
const promptTokenRatio = 8

// bytesPerToken is the usual size of a prompt token, in bytes.
const bytesPerToken = 4

// admission gives the slots of the back end to requests in the order of its policy.
type admission struct {
	mu sync.Mutex
	// All below is guarded by mu.
	policy   order.Policy
	forecast *forecast.Estimator
	jobs     map[*order.Item]*job
	waiting  int
	running  int
}

// job is one request's wait and run.
type job struct {
	admission *admission
	item      *order.Item
	// decision gets the one verdict.
	decision  chan order.Decision
	startedAt time.Time
	// chunks counts what the answer's body was written in; used by the run alone.
	chunks int
}

func newAdmission(slots int) *admission {
	return &admission{
		policy:   order.New(order.Config{Slots: slots, SharedCapacity: slots * queuedPerSlot}),
		forecast: forecast.New(),
		jobs:     make(map[*order.Item]*job),
	}
}

// counts returns how many requests run and wait.
func (a *admission) counts() (running, waiting int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.running, a.waiting
}

// enqueue puts a request into the queue.
func (a *admission) enqueue(now time.Time, open *link.Open) *job {
	a.mu.Lock()
	defer a.mu.Unlock()
	budget := time.Duration(open.BudgetMS) * time.Millisecond
	item := &order.Item{
		Customer: open.Customer, Class: open.Class, Tier: open.Tier, Weight: open.Weight, FloorPercent: open.FloorPercent,
		StartBy: now.Add(budget - a.forecast.TimeToFirstByte(open.Class)),
		Cost:    a.forecast.OutputTokens(open.Class, open.Customer) + promptCost(open),
	}
	j := &job{admission: a, item: item, decision: make(chan order.Decision, 1)}
	a.jobs[item] = j
	a.waiting++
	a.deliver(now, a.policy.Enqueue(now, item))
	a.schedule(now)
	return j
}

// promptCost returns the service that the prompt takes, in tokens.
func promptCost(open *link.Open) ident.Tokens {
	return ident.Tokens(len(open.Body) / bytesPerToken / promptTokenRatio)
}

// schedule starts and refuses what is due.
func (a *admission) schedule(now time.Time) { a.deliver(now, a.policy.Schedule(now)) }

// deliver hands out verdicts.
func (a *admission) deliver(now time.Time, decisions []order.Decision) {
	for _, decision := range decisions {
		j := a.jobs[decision.Item]
		a.waiting--
		if decision.Outcome == order.Started {
			a.running++
			j.startedAt = now
		} else {
			delete(a.jobs, decision.Item)
		}
		j.decision <- decision
	}
}

// wait returns the request's verdict, or false after the context's end.
func (j *job) wait(ctx context.Context) (order.Decision, bool) {
	expiry := time.NewTimer(time.Until(j.item.StartBy))
	defer expiry.Stop()
	for {
		select {
		case decision := <-j.decision:
			return decision, true
		case <-expiry.C:
			j.admission.rejectExpired()
		case <-ctx.Done():
			return j.cancel()
		}
	}
}

// rejectExpired lets the policy refuse what has become late.
func (a *admission) rejectExpired() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.schedule(time.Now())
}

// cancel takes the request out of the queue, unless its verdict was there first.
func (j *job) cancel() (order.Decision, bool) {
	a := j.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.policy.Cancel(time.Now(), j.item) {
		return <-j.decision, true
	}
	a.waiting--
	delete(a.jobs, j.item)
	return order.Decision{}, false
}

// release frees the slot and charges what the back end has done.
func (j *job) release(usage link.Usage) {
	a := j.admission
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	promptService := usage.Prompt / promptTokenRatio
	a.policy.Finish(now, j.item, usage.Completion+promptService)
	if usage.Requests > 0 {
		a.forecast.ObserveOutputTokens(j.item.Class, j.item.Customer, usage.Completion)
	}
	a.running--
	delete(a.jobs, j.item)
	a.schedule(now)
}

// chunkWritten notes a written part of the answer.
func (j *job) chunkWritten() {
	j.chunks++
	if j.chunks != 1 && j.chunks%progressChunks != 0 {
		return
	}
	a := j.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	if j.chunks == 1 {
		a.forecast.ObserveTimeToFirstByte(j.item.Class, time.Since(j.startedAt))
		return
	}
	a.policy.Progress(j.item, ident.Tokens(j.chunks))
}

// meteredResponse counts the parts of an answer on their way.
type meteredResponse struct {
	backend.Answer
	job *job
}

// Write implements io.Writer.
func (m *meteredResponse) Write(chunk []byte) (int, error) {
	m.job.chunkWritten()
	return m.Answer.Write(chunk)
}

// acquireSlot waits for a slot; without one the stream is denied and the result is nil.
func (g *Guard) acquireSlot(ctx context.Context, stream *link.Incoming) *job {
	j := g.admission.enqueue(time.Now(), stream.Open)
	decision, decided := j.wait(ctx)
	switch {
	case !decided:
		g.deny(stream, link.Deny{Code: link.DenyCancelled, NotRun: true, Reason: "cancelled before the start"})
	case decision.Outcome != order.Started:
		g.recordDecision(stream, decision)
		g.deny(stream, denialFor(decision))
	case ctx.Err() != nil:
		j.release(link.Usage{})
		g.deny(stream, link.Deny{Code: link.DenyCancelled, NotRun: true, Reason: "cancelled before the start"})
	default:
		g.recordDecision(stream, decision)
		return j
	}
	return nil
}

// denialFor returns what the entry is told of a verdict.
func denialFor(decision order.Decision) link.Deny {
	deny := link.Deny{NotRun: true, RetryAfterMS: max(decision.Wait, minRetryAfter).Milliseconds()}
	switch decision.Outcome {
	case order.Late:
		deny.Code = link.DenyLate
		deny.Reason = "no start in time for the target"
	default:
		deny.Code = link.DenyBusy
		deny.Reason = string(decision.Outcome)
	}
	return deny
}

// recordDecision notes a decision with what it was made by.
func (g *Guard) recordDecision(stream *link.Incoming, decision order.Decision) {
	open := stream.Open
	g.config.Events.Record(event.Event{
		Name: "order_decided", Request: open.Request, Customer: open.Customer, Class: open.Class,
		Endpoint: g.config.Endpoint, Version: open.Version, Detail: string(decision.Outcome),
		Pairs: []event.Pair{
			{Key: "tier", Value: strconv.Itoa(int(open.Tier))},
			{Key: "by_floor", Value: strconv.FormatBool(decision.ByFloor)},
			{Key: "wait_ms", Value: strconv.FormatInt(decision.Wait.Milliseconds(), 10)},
		},
	})
}
