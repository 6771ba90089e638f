package gateway

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"vanillapond/internal/connection/link"
	"vanillapond/internal/eventstream"
	"vanillapond/internal/httpresponse"
	"vanillapond/internal/process/holdings"
	"vanillapond/internal/process/ledger"
	"vanillapond/internal/process/outcome"
	"vanillapond/internal/request/claim"
	"vanillapond/internal/request/dispatch"
	"vanillapond/internal/request/refusal"
	"vanillapond/pkg/api"
)

// maxBufferedBytes is the size up to which a response that is not streamed is buffered until it is complete, in bytes.
const maxBufferedBytes = 8 << 20

// relay copies one response to its caller.
type relay struct {
	gateway  *Gateway
	exchange *Exchange
	response *dispatch.Response
	// buffered is the part of the body received so far, until the head is written, and kept accounts for it.
	buffered []byte
	kept     *holdings.ResponseHolding
	// headWritten is set when the status and header were written to the caller.
	headWritten bool
	// position is that of the caller in an event stream.
	position eventstream.Position
}

// run relays the response until its end; it returns a refusal only if nothing was written to the caller yet.
func (r *relay) run(ctx context.Context) *refusal.Error {
	// Sidecars of earlier versions pass on such heads of backends.
	for _, field := range r.response.Head.Header {
		if err := httpresponse.CheckField(field.Name, field.Value); err != nil {
			return r.abort(refusal.OutcomeUnknown(api.CodeEndpointFailed, "the endpoint sent a broken answer; the request may have run"))
		}
	}
	r.replaceUnprovenRefusal()
	for {
		frame, err := r.response.Next(ctx)
		if err != nil {
			return r.interrupted(ctx, err)
		}
		switch frame := frame.(type) {
		case *link.Data:
			if err := r.writeData(frame.Bytes); err != nil {
				return r.interrupted(ctx, err)
			}
		case *link.Deny:
			return r.abort(refusal.OutcomeUnknown(api.CodeEndpointFailed, "the endpoint failed; the request may have run"))
		case *link.End:
			r.complete(ctx, frame)
			return nil
		}
	}
}

// replaceUnprovenRefusal replaces the status of a response that states that the request did not run: an endpoint that knows this denies the request
// instead. Callers repeat a request of an idempotent class after any failure, so it keeps the status.
func (r *relay) replaceUnprovenRefusal() {
	head := r.response.Head
	status := outcome.Unknown.Status(head.Status)
	if r.exchange.class.Idempotent || status == head.Status {
		return
	}
	header := slices.DeleteFunc(slices.Clone(head.Header), func(field link.Header) bool { return strings.EqualFold(field.Name, api.HeaderRetryAfter) })
	r.response.Head = &link.Head{Stream: head.Stream, Status: status, Header: header}
}

// isEventStream reports whether the caller gets an event stream, and not an error response that is declared as one.
func (r *relay) isEventStream() bool {
	if r.response.Head.Status >= http.StatusMultipleChoices {
		return false
	}
	for _, field := range r.response.Head.Header {
		if field.Name == "Content-Type" {
			return strings.HasPrefix(field.Value, "text/event-stream")
		}
	}
	return false
}

func (r *relay) writeData(data []byte) error {
	r.exchange.result.tokens++
	if !r.headWritten && (r.isEventStream() || !r.hasRoom(len(r.buffered)+len(data))) {
		r.flushHead()
	}
	if !r.headWritten {
		r.buffered = append(r.buffered, data...)
		return nil
	}
	r.position.Advance(data)
	if _, err := r.exchange.writer.Write(data); err != nil {
		return err
	}
	if !r.response.Stream.Empty() {
		return nil
	}
	return http.NewResponseController(r.exchange.writer).Flush()
}

// hasRoom reports whether so many bytes of the body may be buffered.
func (r *relay) hasRoom(length int) bool {
	return length <= cap(r.buffered) || length <= maxBufferedBytes && r.kept.TryKeep(holdings.BufferGrowth*length)
}

// flushHead writes the head and the buffered part of the body.
func (r *relay) flushHead() {
	r.headWritten = true
	r.exchange.result.headWrittenAt = time.Now()
	writeHead(r.exchange, r.response.Head.Status, r.response.Head.Header)
	_, _ = r.exchange.writer.Write(r.buffered)
	r.buffered = nil
	_ = r.kept.Keep(0)
}

// complete records a complete response in its claim before the caller gets the last part of it.
func (r *relay) complete(ctx context.Context, end *link.End) {
	if r.exchange.claim != nil {
		r.exchange.claim.Complete(ctx, claim.Response{
			Status: r.response.Head.Status, Header: r.response.Head.Header, Body: r.buffered, BodyDropped: r.headWritten,
		})
	}
	r.response.Attempt.RecordUsage(r.exchange.customer.ID, ledger.Usage{
		Requests: end.Usage.Requests, Prompt: end.Usage.Prompt, Completion: end.Usage.Completion,
	})
	r.exchange.result.tokens = end.Usage.Completion
	r.gateway.config.Dispatcher.RecordSuccess()
	r.gateway.record("request_served", r.exchange, "")
	if !r.headWritten {
		r.exchange.writer.Header().Set("Content-Length", strconv.Itoa(len(r.buffered)))
		r.flushHead()
	}
	r.exchange.result.completedAt = time.Now()
}

// interrupted ends a response that cannot be completed.
func (r *relay) interrupted(ctx context.Context, err error) *refusal.Error {
	if ctx.Err() != nil && !dispatch.IsInterrupted(err) {
		return r.abort(refusal.OutcomeUnknown(api.CodeUnknownOutcome, "the time for the request has run out"))
	}
	return r.abort(refusal.OutcomeUnknown(api.CodeUnknownOutcome, "the answer broke off; the request may have run"))
}

// abort returns the refusal, or if part of the response was already written, aborts the caller's connection.
//
// The caller of an event stream gets the error as a last event first, unless it has got a part of an event, which the error would
// complete. Without the abort, the caller could take a partial response for a complete one.
func (r *relay) abort(failure *refusal.Error) *refusal.Error {
	if r.exchange.keyWithdrawn() {
		failure = withdrawnRefusal(failure.NotRun)
	}
	if !r.headWritten {
		return failure
	}
	r.exchange.result.failure = failure
	r.gateway.record("answer_cut", r.exchange, failure.Error())
	if r.isEventStream() && !r.position.InsideEvent() {
		event := append([]byte("data: "), failure.Body(r.exchange.ID)...)
		_, _ = r.exchange.writer.Write(append(event, '\n'))
	}
	// The abort discards what is not flushed.
	_ = http.NewResponseController(r.exchange.writer).Flush()
	panic(http.ErrAbortHandler)
}
