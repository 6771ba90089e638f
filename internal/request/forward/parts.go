package forward

import (
	"net/http"
	"time"

	"vanillapond/internal/process/quarantine"
	"vanillapond/platform"
)

const (
	// maxLoggedParts bounds the parts of a prompt in a Record.
	maxLoggedParts = 8
	// crashCheckWait is how long a request waits for the check whether its server crashed before it is retried.
	crashCheckWait = 20 * time.Millisecond
	// beginTime is how long after the first event of a response its server may still crash because of the request.
	beginTime = 500 * time.Millisecond
)

// sharedParts returns the parts of a request's prompt that other requests may share.
func sharedParts(header http.Header) []quarantine.Part {
	ids := platform.SharedParts(header)
	parts := make([]quarantine.Part, len(ids))
	for index, id := range ids {
		parts[index] = quarantine.Part(id)
	}
	return parts
}

// admitParts refuses a request with a prompt part that crashes servers, unless it is let through as a trial.
func (c *call) admitParts() *refusal {
	c.parts = sharedParts(c.request.Header)
	c.record.Parts = c.parts[:min(len(c.parts), maxLoggedParts)]
	decision := c.forwarder.config.Quarantine.Admit(c.arrived, c.parts)
	c.trial, c.record.QuarantinedPart = decision.Trial, decision.Part
	if decision.Admitted {
		return nil
	}
	return unavailable(reasonQuarantined, decision.RetryAfter)
}

// recheckCrashes refuses a request which, since it was admitted, is known to crash servers, by a part of its prompt or by itself. One that was sent already goes
// on to another server if it may: that it completes there is what clears it.
func (c *call) recheckCrashes() *refusal {
	switch {
	case !c.trial && c.forwarder.config.Quarantine.Quarantines(c.parts):
		return unavailable(reasonQuarantined, suspectRetryAfter)
	case c.serversTried == 0 && c.forwarder.config.Suspects.Blocked(time.Now(), c.digest):
		return unavailable(reasonBlocked, suspectRetryAfter)
	default:
		return nil
	}
}

// endTrial has a trial that no server got repeated.
func (c *call) endTrial() {
	if c.trial && !c.reachedServer {
		c.forwarder.config.Quarantine.CancelTrial(time.Now(), c.record.QuarantinedPart)
	}
}

// recordCompleted records that the request got a complete response: neither the request nor its prompt parts crash servers.
func (c *call) recordCompleted() {
	c.completed.Store(true)
	c.forwarder.config.Suspects.Clear(c.digest)
	c.forwarder.config.Quarantine.RecordRun(time.Now(), c.attemptAt, c.parts)
}
