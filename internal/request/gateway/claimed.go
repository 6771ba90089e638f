package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"vanillapond/internal/connection/link"
	"vanillapond/internal/process/outcome"
	"vanillapond/internal/request/claim"
	"vanillapond/internal/request/dispatch"
	"vanillapond/internal/request/refusal"
	"vanillapond/internal/request/withdrawal"
	"vanillapond/pkg/api"
)

// Retry-After values of requests that do not get their claim.
const (
	// inProgressRetryAfter applies while another request with the same idempotency key is in progress.
	inProgressRetryAfter = time.Second
	// tableRetryAfter applies while the table service is unavailable.
	tableRetryAfter = 2 * time.Second
)

// Claims ensures that requests with an idempotency key run at most once.
type Claims interface {
	// Acquire returns the result, with a handle if the claim was acquired and with the stored response if there is one.
	Acquire(ctx context.Context, request claim.Request) (claim.Result, *claim.Handle, *claim.Response)
}

// needsClaim reports whether the request must acquire a claim before it is sent.
//
// Requests of idempotent classes may run more than once and need none.
func (e *Exchange) needsClaim() bool {
	return !e.class.Idempotent && e.request.Header.Get(api.HeaderIdempotencyKey) != ""
}

// sendWithClaim sends a request if this process acquires its claim, and responds to a repeated request from the claim's record.
func (g *Gateway) sendWithClaim(ctx context.Context, exchange *Exchange, call dispatch.Call) *refusal.Error {
	key := exchange.request.Header.Get(api.HeaderIdempotencyKey)
	if len(key) > claim.MaxKeyLength {
		return refusal.New(http.StatusBadRequest, api.CodeBadRequest, "the idempotency key is too long")
	}
	result, handle, response := g.config.Claims.Acquire(ctx, claim.Request{
		ID: exchange.ID, Customer: exchange.customer.ID, IdempotencyKey: key,
		RequestDigest: claim.RequestDigest(call.Open), Timeout: exchange.class.Deadline(),
	})
	if result == claim.ResultRecorded {
		return g.replay(exchange, response)
	}
	if result != claim.ResultAcquired {
		return claimRefusal(result)
	}
	exchange.claim = handle
	ctx, release := detachFromCaller(ctx)
	defer release()
	ctx, cancel := context.WithDeadline(ctx, exchange.Started.Add(exchange.class.Deadline()))
	defer cancel()
	runOutcome := outcome.Unknown
	defer func() { handle.Fail(ctx, runOutcome) }()
	failure := g.sendWithRetries(ctx, exchange, call)
	if failure != nil {
		runOutcome = outcome.FromNotRun(failure.NotRun)
	}
	return failure
}

// detachFromCaller returns a context that outlives the caller's connection.
//
// A caller that loses its connection can repeat the request with the same idempotency key and gets the stored response.
// While the caller is connected, the withdrawal of its key cancels the context. The function release must be called at the end.
func detachFromCaller(caller context.Context) (ctx context.Context, release func()) {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(caller))
	stop := context.AfterFunc(caller, func() {
		if cause := context.Cause(caller); errors.Is(cause, withdrawal.ErrKeyWithdrawn) {
			cancel(cause)
		}
	})
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// claimRefusal returns the refusal of a request that did not acquire its claim and has no stored response.
func claimRefusal(result claim.Result) *refusal.Error {
	switch result {
	case claim.ResultInProgress:
		return &refusal.Error{
			Status: http.StatusConflict, Code: api.CodeInProgress, RetryAfter: inProgressRetryAfter,
			Message: "a request with this idempotency key may be running",
		}
	case claim.ResultMismatch:
		return refusal.New(http.StatusUnprocessableEntity, api.CodeConflict, "the idempotency key belongs to a request with another body")
	case claim.ResultUnknown:
		return &refusal.Error{
			Status: http.StatusConflict, Code: api.CodeUnknownOutcome,
			Message: "a request with this idempotency key may have run; it will not run again",
		}
	default:
		return refusal.Retryable(http.StatusServiceUnavailable, api.CodeTableUnavailable,
			"this request did not run; whether an earlier one with its idempotency key ran is not known now", tableRetryAfter)
	}
}

// replay writes the stored response of an earlier request with the same idempotency key.
func (g *Gateway) replay(exchange *Exchange, response *claim.Response) *refusal.Error {
	if response.BodyDropped {
		return &refusal.Error{
			Status: http.StatusConflict, Code: api.CodeResponseNotStored,
			Message: "the request with this idempotency key ran; its answer was too large to be kept",
		}
	}
	exchange.writer.Header().Set(api.HeaderReplayed, "true")
	writeHead(exchange, response.Status, response.Header)
	_, _ = exchange.writer.Write(response.Body)
	g.record("answer_replayed", exchange, "")
	return nil
}

// writeHead writes the status and header of a response.
func writeHead(exchange *Exchange, status int, fields []link.Header) {
	header := exchange.writer.Header()
	for _, field := range fields {
		header.Add(field.Name, field.Value)
	}
	header.Set(api.HeaderRequestID, string(exchange.ID))
	exchange.writer.WriteHeader(status)
}
