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

// spreadSteps is how many times the wait a refused caller may be sent away for, at most, beyond the wait itself.
const spreadSteps = 3

// limits holds customers to this entry's share of their limits.
type limits struct {
	// entries returns how many entries share them; nil means 1.
	entries func() int
	mu      sync.Mutex
	// table is guarded by mu.
	table *limit.Limiter
}

// limit takes the request from its customer's limits.
func (g *Gateway) limit(exchange *Exchange) *refusal.Error {
	ask := limit.Request{
		Customer: exchange.customer.ID, Limits: exchange.customer.Limits, Instances: 1,
		WindowSeconds: exchange.snapshot.Configuration.Billing.WindowSeconds,
	}
	if g.limits.entries != nil {
		ask.Instances = g.limits.entries()
	}
	g.limits.mu.Lock()
	defer g.limits.mu.Unlock()
	if refused := g.limits.table.Acquire(time.Now(), ask); refused != nil {
		return refusal.Retryable(http.StatusTooManyRequests, api.CodeLimited, "the customer's limit is used up: "+string(refused.Reason), refused.RetryAfter)
	}
	exchange.giveBack = func() { g.limits.giveBack(ask, exchange.result.tokens) }
	return nil
}

func (l *limits) giveBack(ask limit.Request, spent ident.Tokens) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Release(time.Now(), ask, spent)
}

// sendAway spreads the return of callers whom one cause refuses together; other refusals name their own time.
func sendAway(failure *refusal.Error, request ident.Request) *refusal.Error {
	switch failure.Code {
	case api.CodeOverloaded, api.CodeLimited, api.CodeNoEndpoint, api.CodeNotReady:
		away := *failure
		away.RetryAfter = spread(failure.RetryAfter, request)
		return &away
	default:
		return failure
	}
}

// spread draws refused callers apart, so that they don't come back at once.
func spread(after time.Duration, request ident.Request) time.Duration {
	const steps = 1000
	step := xxhash.Sum64String(string(request)) % steps
	return after + after*spreadSteps*time.Duration(step)/steps
}
