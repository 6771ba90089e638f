package forward

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"vanillapond/internal/process/outcome"
	"vanillapond/internal/request/placement"
	"vanillapond/platform"
)

// Outcomes of requests, as in logs and metric labels.
const (
	outcomeServed = "served"
	// outcomeServerFailure means that a server's error response was relayed.
	outcomeServerFailure = "passed"
	outcomeRefused       = "refused"
	outcomeDenied        = "denied"
	outcomeFailed        = "failed"
	// outcomeTruncated means that the response was interrupted after its head was written, and outcomeCallerLeft that the
	// caller disconnected before its head was written.
	outcomeTruncated  = "cut"
	outcomeCallerLeft = "left"
)

// suspectRetryAfter is the Retry-After of a request that crashed servers: by then servers have restarted.
const suspectRetryAfter = 5 * time.Second

// reasonBlocked is the reason of requests that crashed servers themselves.
const reasonBlocked = "request crashed servers before"

// reasonQuarantined is the reason of requests with a prompt part that crashes servers.
const reasonQuarantined = "a part of the prompt crashed servers before"

// reasonUnprovenRefusal is the reason of responses whose status is not relayed: without another header, the server may have run the request.
const reasonUnprovenRefusal = "server's status alone says that the request did not run"

// refusal is an error response that the router itself returns; it ends the request.
type refusal struct {
	status int
	reason string
	// retryAfter is the time after which a retry may succeed; 0 leaves Retry-After out.
	retryAfter time.Duration
	// closesConnection asks the caller to use another connection, which may lead to another instance.
	closesConnection bool
	// ignoresContext means that the caller gets the response although the context of its request has ended.
	ignoresContext bool
	// lacksCapacity means that the request was refused for lack of capacity. retryAfter is then the expected time until there is some.
	lacksCapacity bool
	// mayWait means that the request may wait instead, and capacityIn is the shortest time after which it may be admitted, 0 if that is not known.
	mayWait    bool
	capacityIn time.Duration
	// choice is the server that was picked before the request was refused, nil if there was none.
	choice *placement.Choice
}

// unavailable returns a refusal with status 503, which promises that the request did not run and never will.
func unavailable(reason string, retryAfter time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter}
}

// Retry-After of requests that this instance refuses because its configuration is old.
const (
	outdatedRetryAfter = time.Second
	// While other instances are current, callers return to one of them as soon as possible; the spread keeps those that are refused together from
	// returning together.
	minElsewhereRetryAfter = 20 * time.Millisecond
	elsewhereSpread        = 80 * time.Millisecond
)

// outdated returns the refusal of a request that needs a newer configuration than this instance has. It sends the caller to another instance: a caller stays
// on its open connection although the load balancer has taken this instance out.
func (c *call) outdated(reason string) *refusal {
	refused := unavailable(reason, outdatedRetryAfter)
	refused.closesConnection = true
	if c.forwarder.config.PeersCurrent() {
		refused.retryAfter = minElsewhereRetryAfter + rand.N(elsewhereSpread) //nolint:gosec // Only spreads load.
	}
	return refused
}

// lacksCapacity returns a refusal with status 503 for lack of capacity, which is expected after the given time.
func lacksCapacity(reason string, expected time.Duration) *refusal {
	refused := unavailable(reason, expected)
	refused.lacksCapacity = true
	return refused
}

func deny(status int, reason string) *refusal { return &refusal{status: status, reason: reason} }

// outcome returns what is known about the execution of the request.
func (c *call) outcome() outcome.Outcome { return outcome.FromNotRun(!c.mayHaveRun) }

// relayedStatus returns the status under which a server's response is relayed. Callers repeat a request that may run twice after any failure, so it
// keeps the server's status, and with it the server's signature.
func (c *call) relayedStatus(status int) int {
	if c.mayRunTwice() {
		return status
	}
	return c.outcome().Status(status)
}

// refuse ends the request with an error response, or without one if a response has begun or the caller has disconnected.
func (c *call) refuse(refused *refusal) {
	c.record.Reason = refused.reason
	if refused.choice != nil {
		c.record.Attempts = append(c.record.Attempts, Attempt{Choice: *refused.choice, Outcome: Unsent})
	}
	if c.headWritten {
		c.record.Outcome = outcomeTruncated
		return
	}
	if c.request.Context().Err() != nil && !refused.ignoresContext {
		c.record.Outcome = outcomeCallerLeft
		return
	}
	if status := c.outcome().Status(refused.status); status != refused.status {
		refused.status, refused.retryAfter = status, 0
	}
	switch {
	case refused.status == http.StatusServiceUnavailable:
		c.record.Outcome = outcomeRefused
	case refused.status >= http.StatusInternalServerError:
		c.record.Outcome = outcomeFailed
	default:
		c.record.Outcome = outcomeDenied
	}
	c.record.Status = refused.status
	header := c.writer.Header()
	if refused.lacksCapacity && refused.retryAfter > 0 {
		refused.retryAfter = c.returnAfter(refused)
	}
	if refused.retryAfter > 0 {
		const digits = 2
		header.Set("Retry-After", strconv.FormatFloat(refused.retryAfter.Seconds(), 'f', digits, 64))
	}
	if c.record.ID != "" {
		header.Set(platform.HeaderRequestID, c.record.ID)
	}
	if refused.closesConnection {
		header.Set("Connection", "close")
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	body := refused.reason + "\n"
	header.Set("Content-Length", strconv.Itoa(len(body)))
	c.responded = true
	c.writer.WriteHeader(refused.status)
	_, _ = c.writer.Write([]byte(body))
}
