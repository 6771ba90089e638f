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

// queuedPerSlot is the shared queue capacity for each slot, in requests; classes with a floor have reserved capacity beyond it.
const queuedPerSlot = 8

// progressChunks is the number of response chunks between two progress charges for a running request.
const progressChunks = 32

// promptTokenRatio is the number of prompt tokens that cost as much service as one generated token.
const promptTokenRatio = 8

// bytesPerToken is the typical size of a prompt token, in bytes.
const bytesPerToken = 4

// admission assigns the backend's slots to requests in the order decided by its policy.
type admission struct {
	mu sync.Mutex
	// The fields below are guarded by mu.
	policy   order.Policy
	forecast *forecast.Estimator
	jobs     map[*order.Item]*job
	waiting  int
	running  int
}

// job is one request, from joining the queue until it releases its slot.
type job struct {
	admission *admission
	item      *order.Item
	// decision receives the single scheduling decision.
	decision  chan order.Decision
	startedAt time.Time
	// chunks counts the writes of the response body; accessed only by the goroutine that runs the request.
	chunks int
}

func newAdmission(slots int) *admission {
	return &admission{
		policy:   order.New(order.Config{Slots: slots, SharedCapacity: slots * queuedPerSlot}),
		forecast: forecast.New(),
		jobs:     make(map[*order.Item]*job),
	}
}

// counts returns the number of running and waiting requests.
func (a *admission) counts() (running, waiting int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.running, a.waiting
}

// enqueue adds a request to the queue.
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

// promptCost estimates the service that processing the prompt takes, in tokens.
func promptCost(open *link.Open) ident.Tokens {
	return ident.Tokens(len(open.Body) / bytesPerToken / promptTokenRatio)
}

// schedule starts and rejects requests as the policy decides.
func (a *admission) schedule(now time.Time) { a.deliver(now, a.policy.Schedule(now)) }

// deliver sends decisions to the jobs that wait for them.
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

// wait returns the scheduling decision, or false if the context ends first.
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

// rejectExpired lets the policy reject requests past their start deadline.
func (a *admission) rejectExpired() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.schedule(time.Now())
}

// cancel removes the request from the queue, unless its decision was made first.
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

// release frees the slot and charges the service that the backend performed.
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

// chunkWritten counts a written chunk of the response.
//
// The first one is a sample of the time to the first byte; every progressChunks-th one charges the service so far.
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

// meteredResponse passes a response on and counts its chunks.
type meteredResponse struct {
	backend.ResponseWriter
	job *job
}

// Write implements io.Writer.
func (m *meteredResponse) Write(chunk []byte) (int, error) {
	m.job.chunkWritten()
	return m.ResponseWriter.Write(chunk)
}

// acquireSlot waits for a slot. Without one it denies the stream and returns nil.
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

// denialFor returns the denial frame that reports a decision to the entry.
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

// recordDecision records a decision with its inputs in the event log.
func (g *Guard) recordDecision(stream *link.Incoming, decision order.Decision) {
	open := stream.Open
	g.config.Events.Record(event.Event{
		Name: "order_decided", Request: open.Request, Customer: open.Customer, Class: open.Class,
		Endpoint: g.config.Endpoint, Version: open.Version, Detail: string(decision.Outcome),
		Attributes: []event.Attribute{
			{Key: "tier", Value: strconv.Itoa(int(open.Tier))},
			{Key: "by_floor", Value: strconv.FormatBool(decision.ByFloor)},
			{Key: "wait_ms", Value: strconv.FormatInt(decision.Wait.Milliseconds(), 10)},
		},
	})
}
