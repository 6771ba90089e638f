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

// When coming back may help.
const (
	// inProgressRetry is the wait for another request with the same key.
	inProgressRetry = time.Second
	// tableRetry is the wait for the table service.
	tableRetry = 2 * time.Second
)

// Claims make requests with an idempotency key run at most once.
type Claims interface {
	// Acquire returns the verdict, with the claim where it is held and the kept answer where there is one.
	Acquire(ctx context.Context, request claim.Request) (claim.Result, *claim.Handle, *claim.Response)
}

// claims reports whether the request needs a claim before it is sent.
func (e *Exchange) claims() bool {
	return !e.class.Idempotent && e.request.Header.Get(api.HeaderIdempotencyKey) != ""
}

// sendClaimed sends a request whose claim this entry holds, and answers every repeat from the claim.
func (g *Gateway) sendClaimed(ctx context.Context, exchange *Exchange, call dispatch.Call) *refusal.Error {
	key := exchange.request.Header.Get(api.HeaderIdempotencyKey)
	if len(key) > claim.MaxKeyLength {
		return refusal.New(http.StatusBadRequest, api.CodeBadRequest, "the idempotency key is too long")
	}
	verdict, held, answer := g.config.Claims.Acquire(ctx, claim.Request{
		ID: exchange.ID, Customer: exchange.customer.ID, IdempotencyKey: key,
		RequestDigest: claim.RequestDigest(call.Open), Timeout: exchange.class.Deadline(),
	})
	if verdict == claim.ResultRecorded {
		return g.replay(exchange, answer)
	}
	if verdict != claim.ResultAcquired {
		return claimRefusal(verdict)
	}
	exchange.held = held
	ctx, leave := untilWithdrawn(ctx)
	defer leave()
	ctx, cancel := context.WithDeadline(ctx, exchange.Started.Add(exchange.class.Deadline()))
	defer cancel()
	known := outcome.Unknown
	defer func() { held.Fail(ctx, known) }()
	failure := g.sendCall(ctx, exchange, call)
	if failure != nil {
		known = outcome.FromNotRun(failure.NotRun)
	}
	return failure
}

// untilWithdrawn returns a context that outlives the caller's connection, because a caller that comes back finds the answer.
//
// While the caller is there, the withdrawal of its key ends the context.
func untilWithdrawn(caller context.Context) (ctx context.Context, leave func()) {
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

// claimRefusal returns the final answer to a request that does not hold its claim.
func claimRefusal(verdict claim.Result) *refusal.Error {
	switch verdict {
	case claim.ResultInProgress:
		return &refusal.Error{
			Status: http.StatusConflict, Code: api.CodeInProgress, RetryAfter: inProgressRetry,
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
		return refusal.Retryable(http.StatusServiceUnavailable, api.CodeTableOut,
			"this request did not run; whether an earlier one with its idempotency key ran is not known now", tableRetry)
	}
}

// replay gives out the answer that an earlier request with the key got.
func (g *Gateway) replay(exchange *Exchange, answer *claim.Response) *refusal.Error {
	if answer.BodyDropped {
		return &refusal.Error{
			Status: http.StatusConflict, Code: api.CodeAnswerNotKept,
			Message: "the request with this idempotency key ran; its answer was too large to be kept",
		}
	}
	exchange.writer.Header().Set(api.HeaderReplayed, "true")
	writeHead(exchange, answer.Status, answer.Header)
	_, _ = exchange.writer.Write(answer.Body)
	g.record("answer_replayed", exchange, "")
	return nil
}

// writeHead writes the status and header of an answer.
func writeHead(exchange *Exchange, status int, fields []link.Header) {
	header := exchange.writer.Header()
	for _, field := range fields {
		header.Add(field.Name, field.Value)
	}
	header.Set(api.HeaderRequestID, string(exchange.ID))
	exchange.writer.WriteHeader(status)
}
