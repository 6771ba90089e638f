package forward

import (
	"time"

	"vanillapond/internal/request/waiting"
)

// reasonOthersWait is the reason of requests that were refused because more urgent ones wait.
const reasonOthersWait = "more urgent requests wait for servers"

// waitState is what a call knows of its wait for capacity.
type waitState struct {
	// decided is set once admission has decided on the request.
	decided bool
	// since is when the request began to wait; zero before.
	since time.Time
}

// queue returns the queue of the request's service.
func (c *call) queue() *waiting.Controller { return c.forwarder.config.Waiting(c.service) }

// admitOrWait places the request on a server now, or after a wait. It returns neither a server nor a refusal if the request should be placed again.
func (c *call) admitOrWait(now time.Time) (*placed, *refusal) {
	if !c.mayWait() {
		return c.place(now)
	}
	queue := c.queue()
	if queue.Len() > 0 && !queue.IsFirst(c.waitingRequest()) {
		return c.waitForCapacity(queue, lacksCapacity(reasonOthersWait, waiting.MinRetryAfter))
	}
	found, refused := c.place(now)
	if refused == nil || !refused.mayWait {
		return found, refused
	}
	return c.waitForCapacity(queue, refused)
}

// mayWait reports whether the request may wait for capacity: no server has got it, and its caller has no part of the response.
func (c *call) mayWait() bool { return !c.reachedServer && !c.begun }

// waitingRequest returns the request as the queue sees it.
func (c *call) waitingRequest() waiting.Request {
	work := c.forwarder.config.Balancer(c.service).ExpectedWork(c.query)
	return waiting.Request{
		Priority: c.priority(), StartBy: c.latestStart(work), Work: max(work.ToFirst, time.Millisecond), BodyBytes: c.body.Len(),
	}
}

// priority returns the priority of the request at its service.
func (c *call) priority() waiting.Priority {
	return waiting.Priority(min(max(int(c.record.Priority), 0), waiting.PriorityLevels-1))
}

// waitForCapacity waits until the request can be placed on a server or must not wait any longer; refused is why it was not placed at once.
func (c *call) waitForCapacity(queue *waiting.Controller, refused *refusal) (*placed, *refusal) {
	now := time.Now()
	ticket, outcome := queue.Join(now, c.waitingRequest(), refused.capacityIn)
	if ticket == nil {
		return nil, c.stopWaiting(now, outcome, refused)
	}
	queue.EventIn(refused.capacityIn)
	if c.wait.since.IsZero() {
		c.wait.since = now
	}
	defer func() { ticket.Leave(time.Now()) }()
	for {
		signal, outcome := ticket.Next(c.ctx)
		now = time.Now()
		if signal == waiting.End && outcome != waiting.Ended {
			return nil, c.stopWaiting(now, outcome, refused)
		}
		service := c.service
		if ended := c.recheck(); ended != nil {
			return nil, c.stopWaiting(now, waiting.Ended, ended)
		}
		if c.service != service {
			// The route leads elsewhere now.
			return nil, c.stopWaiting(now, waiting.Ended, nil)
		}
		if signal == waiting.Recheck {
			if ready, _ := c.forwarder.config.Servers.Ready(c.service); len(ready) == 0 {
				return nil, c.stopWaiting(now, waiting.Ended, lacksCapacity(c.noServerReason(ready), c.serversRetryAfter()))
			}
			continue
		}
		found, again := c.place(now)
		switch {
		case found != nil:
			ticket.Take(now)
			return found, c.stopWaiting(now, waiting.Sent, nil)
		case again != nil && !again.mayWait:
			return nil, c.stopWaiting(now, waiting.Ended, again)
		case again != nil:
			refused = again
			queue.EventIn(refused.capacityIn)
		}
		ticket.Pass(now)
	}
}

// waitReasons are the reasons of refusals after outcomes that say more than the refusal that preceded the wait.
var waitReasons = map[waiting.Outcome]string{
	waiting.Displaced: reasonOthersWait,
	waiting.Full:      "too many requests wait for servers",
	waiting.Stopping:  reasonStopping,
}

// stopWaiting records that the request does not wait any longer, and returns its refusal; nil if it is not refused.
func (c *call) stopWaiting(now time.Time, outcome waiting.Outcome, refused *refusal) *refusal {
	c.record.WaitOutcome = outcome
	if !c.wait.since.IsZero() {
		c.record.Waited = now.Sub(c.wait.since)
	}
	if reason, found := waitReasons[outcome]; found {
		refused.reason = reason
	}
	if outcome == waiting.Stopping {
		refused.lacksCapacity, refused.retryAfter = false, stoppingRetryAfter
	}
	return refused
}

// returnAfter returns the Retry-After of a request that is refused for lack of capacity.
func (c *call) returnAfter(refused *refusal) time.Duration {
	return c.queue().Refuse(time.Now(), c.priority(), refused.retryAfter)
}

// recordCapacityEvent tells the waiting requests of the service that a server has finished the prefill of a prompt.
func (c *call) recordCapacityEvent(now time.Time) { c.queue().Event(now) }
