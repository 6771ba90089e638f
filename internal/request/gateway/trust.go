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
	// notFreshRetryAfter is when coming back may help while the configuration may be old.
	notFreshRetryAfter = 2 * time.Second
	// withdrawnWriteTimeout bounds how long a slow caller may take for the last part of an answer whose key was withdrawn.
	withdrawnWriteTimeout = time.Second
)

// checkFreshness refuses while a key might have been withdrawn elsewhere without this process knowing.
func (g *Gateway) checkFreshness() *refusal.Error {
	if g.config.Freshness == nil || g.config.Freshness.Open() {
		return nil
	}
	return refusal.Retryable(http.StatusServiceUnavailable, api.CodeNotFresh, "the configuration here may be old", notFreshRetryAfter)
}

// registerForWithdrawal ties the request to its key: a withdrawal ends it.
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

// removeFromActive gives the key's hold on the request free.
func (e *Exchange) removeFromActive() {
	if e.unregister != nil {
		e.unregister()
	}
}

// keyWithdrawn reports whether the request's key was withdrawn while it ran.
func (e *Exchange) keyWithdrawn() bool {
	return errors.Is(context.Cause(e.request.Context()), withdrawal.ErrKeyWithdrawn)
}

// withdrawnRefusal returns the final answer to a request whose key was withdrawn.
func withdrawnRefusal(notRun bool) *refusal.Error {
	return &refusal.Error{
		Status: http.StatusUnauthorized, Code: api.CodeKeyWithdrawn, Message: withdrawal.ErrKeyWithdrawn.Error(), NotRun: notRun,
	}
}

// recheck decides again by the configuration in force, because the stages before may have waited.
func (g *Gateway) recheck(exchange *Exchange) *refusal.Error {
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
