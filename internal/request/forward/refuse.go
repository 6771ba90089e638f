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
	// outcomePassed is a server's own failure, passed on.
	outcomePassed  = "passed"
	outcomeRefused = "refused"
	outcomeDenied  = "denied"
	outcomeFailed  = "failed"
	// outcomeCut is an answer that was broken off after its head, and outcomeLeft one that nobody waits for.
	outcomeCut  = "cut"
	outcomeLeft = "left"
)

// suspectRetry is when a request that crashed servers may come back: after servers have restarted.
const suspectRetry = 5 * time.Second

// refusal is a final answer of the system's own.
type refusal struct {
	status int
	reason string
	// after is when coming back may help; 0 says nothing of it.
	after time.Duration
}

// retryLater says that the request has not run and never will.
func retryLater(reason string, after time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, after: after}
}

func deny(status int, reason string) *refusal { return &refusal{status: status, reason: reason} }

// refuse gives the final answer at once.
func (c *call) refuse(refused *refusal) {
	c.record.Reason = refused.reason
	if c.committed {
		c.record.Outcome = outcomeCut
		return
	}
	if c.request.Context().Err() != nil {
		c.record.Outcome = outcomeLeft
		return
	}
	if refused.status == http.StatusServiceUnavailable && c.ran {
		// A server may have run it, so that nothing may be promised.
		refused.status, refused.after = http.StatusBadGateway, 0
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
	if refused.after > 0 {
		const digits = 2
		header.Set("Retry-After", strconv.FormatFloat(refused.after.Seconds(), 'f', digits, 64))
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
