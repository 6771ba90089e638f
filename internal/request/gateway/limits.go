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

// maxJitterFactor is how many times the wait a refused caller may be sent away for, at most, beyond the wait itself.
const maxJitterFactor = 3

// limits holds customers to this entry's share of their limits.
type limits struct {
	// entries returns how many entries share them; nil means 1.
	entries func() int
	mu      sync.Mutex
	// limiter is guarded by mu.
	limiter *limit.Limiter
}

// limit takes the request from its customer's limits.
func (g *Gateway) limit(exchange *Exchange) *refusal.Error {
	limitRequest := limit.Request{
		Customer: exchange.customer.ID, Limits: exchange.customer.Limits, Instances: 1,
		WindowSeconds: exchange.snapshot.Configuration.Billing.WindowSeconds,
	}
	if g.limits.entries != nil {
		limitRequest.Instances = g.limits.entries()
	}
	g.limits.mu.Lock()
	defer g.limits.mu.Unlock()
	if refused := g.limits.limiter.Acquire(time.Now(), limitRequest); refused != nil {
		return refusal.Retryable(http.StatusTooManyRequests, api.CodeLimited, "the customer's limit is used up: "+string(refused.Reason), refused.RetryAfter)
	}
	exchange.releaseLimits = func() { g.limits.release(limitRequest, exchange.result.tokens) }
	return nil
}

func (l *limits) release(limitRequest limit.Request, usedTokens ident.Tokens) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.Release(time.Now(), limitRequest, usedTokens)
}

// jitterRetryAfter spreads the return of callers whom one cause refuses together; other refusals name their own time.
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

// jitter draws refused callers apart, so that they don't come back at once.
func jitter(delay time.Duration, request ident.Request) time.Duration {
	const steps = 1000
	step := xxhash.Sum64String(string(request)) % steps
	return delay + delay*maxJitterFactor*time.Duration(step)/steps
}
