package gateway

import (
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"vanillapond/internal/request/limit"
	"vanillapond/internal/request/refusal"
	"vanillapond/pkg/api"
	"vanillapond/pkg/ident"
)

// maxJitterFactor is the upper bound of the time that jitter adds to a Retry-After value, as a multiple of that value.
const maxJitterFactor = 3

// limits enforces this process's share of the customers' limits.
type limits struct {
	// entries returns the number of entries that share the limits; nil means 1.
	entries func() int
	mu      sync.Mutex
	// limiter is guarded by mu.
	limiter *limit.Limiter
}

// limit admits the request if its customer's limits allow it.
func (g *Gateway) limit(exchange *Exchange) *refusal.Error {
	limitRequest := limit.Request{
		Customer: exchange.customer.ID, Limits: exchange.customer.Limits, Entries: 1,
		WindowSeconds: exchange.snapshot.Configuration.Billing.WindowSeconds,
	}
	if g.limits.entries != nil {
		limitRequest.Entries = g.limits.entries()
	}
	g.limits.mu.Lock()
	defer g.limits.mu.Unlock()
	if refused := g.limits.limiter.Acquire(time.Now(), limitRequest); refused != nil {
		return refusal.Retryable(
			http.StatusTooManyRequests, api.CodeLimited, "the customer's limit is used up: "+string(refused.Reason), refused.RetryAfter)
	}
	exchange.releaseLimits = func() { g.limits.release(limitRequest, exchange.result.tokens) }
	return nil
}

func (l *limits) release(limitRequest limit.Request, usedTokens ident.Tokens) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.Release(time.Now(), limitRequest, usedTokens)
}

// jitterRetryAfter adds jitter to the Retry-After value of refusals that many callers may get at once for the same reason.
//
// Other refusals keep their value.
func jitterRetryAfter(failure *refusal.Error, request ident.Request) *refusal.Error {
	switch failure.Code {
	case api.CodeOverloaded, api.CodeLimited, api.CodeNoEndpoint, api.CodeNotReady:
		jittered := *failure
		jittered.RetryAfter = jitter(failure.RetryAfter, request)
		return &jittered
	default:
		return failure
	}
}

// jitter returns a duration between delay and (1+maxJitterFactor) times delay, so that refused callers don't all retry at once.
//
// The duration is derived from a hash of the request's id.
func jitter(delay time.Duration, request ident.Request) time.Duration {
	const steps = 1000
	step := xxhash.Sum64String(string(request)) % steps
	return delay + delay*maxJitterFactor*time.Duration(step)/steps
}
