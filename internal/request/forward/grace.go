package forward

import (
	"context"
	"time"
)

// stoppingRetryAfter is the Retry-After of a request that this instance does not serve because it stops: other instances can, as soon as the caller's
// next connection goes there.
const stoppingRetryAfter = 300 * time.Millisecond

const reasonStopping = "instance is stopping"

// stopping returns the refusal of a request that this instance does not serve because it stops.
func stopping() *refusal {
	refused := unavailable(reasonStopping, stoppingRetryAfter)
	refused.closesConnection = true
	return refused
}

// checkGrace refuses a request that might not end before this instance does. One that a server has got is given up only at the end of the grace period, when
// its caller gets an answer.
func (c *call) checkGrace() *refusal {
	period := c.forwarder.config.Grace
	if !period.HasBegun() {
		return nil
	}
	if c.reachedServer {
		if c.isGraceOver() {
			return stopping()
		}
		return nil
	}
	if work := c.forwarder.config.Balancer(c.service).ExpectedWork(c.query); !period.Accepts(time.Now(), c.deadline, work.ToComplete) {
		return stopping()
	}
	return nil
}

func (c *call) isGraceOver() bool { return c.forwarder.config.Grace.Ended().Err() != nil }

// cancelAtEndOfGrace has the attempts of the request end when all callers must get their answers, unless this one gets the response already. The returned
// function ends that.
func (c *call) cancelAtEndOfGrace(cancel context.CancelFunc) func() bool {
	return context.AfterFunc(c.forwarder.config.Grace.Ended(), func() {
		if !c.headSent.Load() {
			cancel()
		}
	})
}
