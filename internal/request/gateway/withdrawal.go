package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"vanillapond/internal/request/refusal"
	"vanillapond/internal/request/withdrawal"
	"vanillapond/pkg/api"
)

const (
	// notFreshRetryAfter is the Retry-After value while the configuration may be stale.
	notFreshRetryAfter = 2 * time.Second
	// withdrawnWriteTimeout limits how long a slow caller may take to read the rest of a response after its key was withdrawn.
	withdrawnWriteTimeout = time.Second
)

// checkFreshness refuses requests while this process may not know of a key's withdrawal at another process.
func (g *Gateway) checkFreshness() *refusal.Error {
	if g.config.Freshness == nil || g.config.Freshness.Open() {
		return nil
	}
	return refusal.Retryable(
		http.StatusServiceUnavailable, api.CodeConfigurationStale, "the configuration here may be old", notFreshRetryAfter)
}

// registerForWithdrawal registers the request with its key, so that the withdrawal of the key cancels it.
func (g *Gateway) registerForWithdrawal(exchange *Exchange) {
	ctx, unregister := g.activeRequests.Register(exchange.request.Context(), exchange.key)
	exchange.request = exchange.request.WithContext(ctx)
	writer := http.NewResponseController(exchange.writer)
	stop := context.AfterFunc(ctx, func() {
		if exchange.keyWithdrawn() {
			_ = writer.SetWriteDeadline(time.Now().Add(withdrawnWriteTimeout))
		}
	})
	exchange.unregister = func() {
		stop()
		unregister()
	}
}

// removeFromActive removes the request from the active requests of its key.
func (e *Exchange) removeFromActive() {
	if e.unregister != nil {
		e.unregister()
	}
}

// keyWithdrawn reports whether the request's key was withdrawn while it ran.
func (e *Exchange) keyWithdrawn() bool {
	return errors.Is(context.Cause(e.request.Context()), withdrawal.ErrKeyWithdrawn)
}

// withdrawnRefusal returns the refusal of a request whose key was withdrawn.
func withdrawnRefusal(notRun bool) *refusal.Error {
	return &refusal.Error{
		Status: http.StatusUnauthorized, Code: api.CodeKeyWithdrawn, Message: withdrawal.ErrKeyWithdrawn.Error(), NotRun: notRun,
	}
}

// recheck checks the request against the current configuration, which may have changed since the earlier stages.
func (g *Gateway) recheck(exchange *Exchange) *refusal.Error {
	if !g.config.Grace.Accepts(time.Now(), exchange.Started.Add(exchange.class.Deadline()), 0) {
		return stopping()
	}
	if failure := g.checkFreshness(); failure != nil {
		return failure
	}
	if exchange.keyWithdrawn() {
		return withdrawnRefusal(true)
	}
	current := g.config.Snapshots.Current()
	if current == exchange.snapshot {
		return nil
	}
	key, _ := current.Key(exchange.key.Digest)
	if !slices.Contains(key.Classes, exchange.class.ID) {
		return refusal.New(http.StatusForbidden, api.CodeForbidden, "the key may no longer use this class")
	}
	exchange.snapshot = current
	exchange.key = key
	exchange.customer, _ = current.Customer(key.Customer)
	exchange.class, _ = current.Class(exchange.class.ID)
	exchange.pool, _ = current.Pool(exchange.class.Pool)
	return nil
}
