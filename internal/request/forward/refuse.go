package forward

import (
	"net/http"
	"strconv"
	"time"

	"vanillapond/platform"
)

// Outcomes of requests.
const (
	outcomeServed = "served"
	// outcomeServerFailure is a server's own failure, passed on.
	outcomeServerFailure = "passed"
	outcomeRefused       = "refused"
	outcomeDenied        = "denied"
	outcomeFailed        = "failed"
	// outcomeTruncated is an answer that was broken off after its head, and outcomeLeft one that nobody waits for.
	outcomeTruncated  = "cut"
	outcomeCallerLeft = "left"
)

// suspectRetryAfter is when a request that crashed servers may come back: after servers have restarted.
const suspectRetryAfter = 5 * time.Second

// refusal is a final answer of the system's own.
type refusal struct {
	status int
	reason string
	// retryAfter is when coming back may help; 0 says nothing of it.
	retryAfter time.Duration
}

// unavailable says that the request has not run and never will.
func unavailable(reason string, retryAfter time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter}
}

func deny(status int, reason string) *refusal { return &refusal{status: status, reason: reason} }

// refuse gives the final answer at once.
func (c *call) refuse(refused *refusal) {
	c.record.Reason = refused.reason
	if c.headWritten {
		c.record.Outcome = outcomeTruncated
		return
	}
	if c.request.Context().Err() != nil {
		c.record.Outcome = outcomeCallerLeft
		return
	}
	if refused.status == http.StatusServiceUnavailable && c.mayHaveRun {
		// A server may have run it, so that nothing may be promised.
		refused.status, refused.retryAfter = http.StatusBadGateway, 0
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
	if refused.retryAfter > 0 {
		const digits = 2
		header.Set("Retry-After", strconv.FormatFloat(refused.retryAfter.Seconds(), 'f', digits, 64))
	}
	if c.record.ID != "" {
		header.Set(platform.HeaderRequest, c.record.ID)
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	body := refused.reason + "\n"
	header.Set("Content-Length", strconv.Itoa(len(body)))
	c.writer.WriteHeader(refused.status)
	_, _ = c.writer.Write([]byte(body))
}
