package forward

import (
	"net/http"
	"time"

	"vanillapond/internal/connection/servers"
	"vanillapond/internal/process/quarantine"
	"vanillapond/platform"

	"vanillapond/pkg/ident"
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

// recheckParts refuses a request of which a prompt part was quarantined after it was admitted.
func (c *call) recheckParts() *refusal {
	if c.trial || !c.forwarder.config.Quarantine.Quarantines(c.parts) {
		return nil
	}
	return unavailable(reasonQuarantined, suspectRetryAfter)
}

// endTrial has a trial that no server got repeated.
func (c *call) endTrial() {
	if c.trial && !c.reachedServer {
		c.forwarder.config.Quarantine.CancelTrial(time.Now(), c.record.QuarantinedPart)
	}
}

// recordCompleted records that the request got a complete response: neither the request nor its prompt parts crash servers.
func (c *call) recordCompleted() {
	c.forwarder.config.Suspects.Clear(c.digest)
	c.forwarder.config.Quarantine.RecordRun(time.Now(), c.attemptAt, c.parts)
}

// recordCrash records the crash of a server against the prompt parts of the request, if the server has crashed and had not answered the
// request for long. A check that takes longer goes on in the background.
func (c *call) recordCrash(server *servers.Server, cause error) {
	if len(c.parts) == 0 || !c.firstEventAt.IsZero() && time.Since(c.firstEventAt) > beginTime {
		return
	}
	recorded := make(chan struct{})
	parts, config := c.parts, c.forwarder.config
	go func() {
		defer close(recorded)
		if config.HasCrashed(server, cause) {
			incarnation := ident.ServerStart{ID: server.ID, StartedUnixMS: server.StartedUnixMS}
			config.Quarantine.RecordCrash(time.Now(), incarnation, parts)
		}
	}()
	wait := time.NewTimer(crashCheckWait)
	defer wait.Stop()
	select {
	case <-recorded:
	case <-wait.C:
	case <-c.ctx.Done():
	}
}
