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
	// notFreshRetry is when coming back may help while the configuration may be old.
	notFreshRetry = 2 * time.Second
	// lastWrite bounds how long a slow caller may take for the last part of an answer whose key was withdrawn.
	lastWrite = time.Second
)

// fresh refuses while a key might have been withdrawn elsewhere without this process knowing.
func (g *Gateway) fresh() *refusal.Error {
	if g.config.Freshness == nil || g.config.Freshness.Open() {
		return nil
	}
	return refusal.Retryable(http.StatusServiceUnavailable, api.CodeNotFresh, "the configuration here may be old", notFreshRetry)
}

// enter ties the request to its key: a withdrawal ends it.
func (g *Gateway) enter(exchange *Exchange) {
	ctx, leave := g.running.Register(exchange.request.Context(), exchange.key)
	exchange.request = exchange.request.WithContext(ctx)
	writer := http.NewResponseController(exchange.writer)
	stop := context.AfterFunc(ctx, func() {
		if exchange.withdrawn() {
			_ = writer.SetWriteDeadline(time.Now().Add(lastWrite))
		}
	})
	exchange.leave = func() {
		stop()
		leave()
	}
}

// end gives the key's hold on the request free.
func (e *Exchange) end() {
	if e.leave != nil {
		e.leave()
	}
}

// withdrawn reports whether the request's key was withdrawn while it ran.
func (e *Exchange) withdrawn() bool {
	return errors.Is(context.Cause(e.request.Context()), withdrawal.ErrKeyWithdrawn)
}

// withdrawn returns the final answer to a request whose key was withdrawn.
func withdrawn(notRun bool) *refusal.Error {
	return &refusal.Error{
		Status: http.StatusUnauthorized, Code: api.CodeKeyWithdrawn, Message: withdrawal.ErrKeyWithdrawn.Error(), NotRun: notRun,
	}
}

// recheck decides again by the configuration in force, because the stages before may have waited.
func (g *Gateway) recheck(exchange *Exchange) *refusal.Error {
	if failure := g.fresh(); failure != nil {
		return failure
	}
	if exchange.withdrawn() {
		return withdrawn(true)
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
