package gateway

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"vanillapond/internal/connection/link"
	"vanillapond/internal/process/ledger"
	"vanillapond/internal/request/claim"
	"vanillapond/internal/request/dispatch"
	"vanillapond/internal/request/refusal"
	"vanillapond/pkg/api"
)

// maxHeld is the size up to which an answer that is not streamed is held until it is whole, in bytes.
const maxHeld = 8 << 20

// relay copies one answer to its caller.
type relay struct {
	gateway  *Gateway
	exchange *Exchange
	answer   *dispatch.Response
	// held is the answer so far, until its head is written.
	held []byte
	// started says that the head was written.
	started bool
}

// run returns a refusal only while nothing was written to the caller.
func (r *relay) run(ctx context.Context) *refusal.Error {
	for {
		frame, err := r.answer.Next(ctx)
		if err != nil {
			return r.broken(ctx, err)
		}
		switch frame := frame.(type) {
		case *link.Data:
			if err := r.data(frame.Bytes); err != nil {
				return r.broken(ctx, err)
			}
		case *link.Deny:
			return r.fail(refusal.OutcomeUnknown(api.CodeEndpointFailed, "the endpoint failed; the request may have run"))
		case *link.End:
			r.end(ctx, frame)
			return nil
		}
	}
}

func (r *relay) streamed() bool {
	for _, field := range r.answer.Head.Header {
		if field.Name == "Content-Type" {
			return strings.HasPrefix(field.Value, "text/event-stream")
		}
	}
	return false
}

func (r *relay) data(part []byte) error {
	r.exchange.result.tokens++
	if !r.started && (r.streamed() || len(r.held)+len(part) > maxHeld) {
		r.start()
	}
	if !r.started {
		r.held = append(r.held, part...)
		return nil
	}
	if _, err := r.exchange.writer.Write(part); err != nil {
		return err
	}
	if !r.answer.Stream.Empty() {
		return nil
	}
	return http.NewResponseController(r.exchange.writer).Flush()
}

// start writes the head and what was held.
func (r *relay) start() {
	r.started = true
	r.exchange.result.headAt = time.Now()
	writeHead(r.exchange, r.answer.Head.Status, r.answer.Head.Header)
	_, _ = r.exchange.writer.Write(r.held)
	r.held = nil
}

// end binds a whole answer to its claim before the caller gets the last of it.
func (r *relay) end(ctx context.Context, end *link.End) {
	if r.exchange.held != nil {
		r.exchange.held.Complete(ctx, claim.Response{
			Status: r.answer.Head.Status, Header: r.answer.Head.Header, Body: r.held, BodyDropped: r.started,
		})
	}
	r.answer.Ticket.RecordUsage(r.exchange.customer.ID, ledger.Usage{
		Requests: end.Usage.Requests, Prompt: end.Usage.Prompt, Completion: end.Usage.Completion,
	})
	r.exchange.result.tokens = end.Usage.Completion
	r.gateway.config.Dispatcher.RecordSuccess()
	r.gateway.record("request_served", r.exchange, "")
	if !r.started {
		r.exchange.writer.Header().Set("Content-Length", strconv.Itoa(len(r.held)))
		r.start()
	}
	r.exchange.result.endAt = time.Now()
}

// broken ends an answer that cannot be completed.
func (r *relay) broken(ctx context.Context, err error) *refusal.Error {
	if ctx.Err() != nil && !dispatch.IsInterrupted(err) {
		return r.fail(refusal.OutcomeUnknown(api.CodeUnknownOutcome, "the time for the request has run out"))
	}
	return r.fail(refusal.OutcomeUnknown(api.CodeUnknownOutcome, "the answer broke off; the request may have run"))
}

// fail makes sure that a part is never taken for the whole.
func (r *relay) fail(failure *refusal.Error) *refusal.Error {
	if r.exchange.withdrawn() {
		failure = withdrawn(failure.NotRun)
	}
	if !r.started {
		return failure
	}
	r.exchange.result.failure = failure
	r.gateway.record("answer_cut", r.exchange, failure.Error())
	if r.streamed() {
		event := append([]byte("data: "), failure.Body(r.exchange.ID)...)
		_, _ = r.exchange.writer.Write(append(event, '\n'))
		_ = http.NewResponseController(r.exchange.writer).Flush()
	}
	panic(http.ErrAbortHandler)
}
