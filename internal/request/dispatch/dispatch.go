// Package dispatch sends a request to an endpoint and tries again where that is safe.
package dispatch

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/sync/singleflight"

	"vanillapond/internal/connection/fleet"
	"vanillapond/internal/connection/link"
	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/event"
	"vanillapond/internal/process/ledger"
	"vanillapond/internal/process/outcome"
	"vanillapond/internal/process/suspect"
	"vanillapond/internal/request/choice"
	"vanillapond/internal/request/refusal"
	"vanillapond/pkg/api"
	"vanillapond/pkg/ident"
)

// Bounds of one request.
const (
	// maxRuns is at how many endpoints a request may run.
	maxRuns = 3
	// maxAttempts is to how many endpoints it is sent; those that refuse it without running it cost little.
	maxAttempts = 8
)

// abandonTimeout is how long an abandoned attempt waits for the sidecar's word on whether it ran.
const abandonTimeout = time.Second

// Questions after a link has ended.
const (
	// askTimeout bounds the wait for a new link and its answer.
	askTimeout = 2 * time.Second
	// askInterval is the time between two looks for a new link.
	askInterval = 20 * time.Millisecond
)

// noEndpointRetryAfter is when coming back may help while no endpoint takes work.
const noEndpointRetryAfter = time.Second

// Call is one request to be sent.
type Call struct {
	// Open is the request as the sidecar will see it.
	Open *link.Open
	Pool ident.Pool
	// FirstByteDeadline is when the first byte of the answer is due.
	FirstByteDeadline time.Time
	// Prefix is a digest of the prompt's beginning; 0 means none.
	Prefix uint64
	// Streamed says that the answer's parts come as they are made.
	Streamed bool
	// Tried holds the endpoints that had the request; it grows with each attempt.
	Tried map[ident.Endpoint]bool
	// MayHaveRun holds those of Tried where it may have run.
	MayHaveRun map[ident.Endpoint]bool
	// BeginAttempt opens an attempt in the ledger.
	BeginAttempt func() *ledger.Ticket
	// Recheck decides again before each attempt, because the one before may have waited.
	Recheck func() *refusal.Error
}

// Response is an endpoint's answer of which the head has come.
type Response struct {
	Head     *link.Head
	Stream   *link.Stream
	Endpoint *fleet.Endpoint
	// Ticket is the attempt that the answer belongs to; Close voids it unless it was served.
	Ticket *ledger.Ticket
	// dispatcher, open and accepted are what a loss is held against.
	dispatcher *Dispatcher
	open       *link.Open
	accepted   bool
	// sentAt is when the attempt began.
	sentAt clock.Reading
	// releaseSuspect ends a suspect's turn.
	releaseSuspect func()
	tracker        *tracker
}

// Next returns the next frame, and notes what the end of the answer says of the request.
func (r *Response) Next(ctx context.Context) (link.Frame, error) {
	frame, err := r.Stream.Next(ctx)
	r.tracker.observe(frame, err)
	if errors.Is(err, link.ErrClosed) && r.accepted {
		r.dispatcher.recordIfGone(r.open, r.Endpoint, r.Stream.Peer())
	}
	switch frame := frame.(type) {
	case *link.Accept:
		r.accepted = true
	case *link.Deny:
		if frame.Loss != "" {
			r.dispatcher.recordLoss(r.open, frame.Loss)
		}
	case *link.End:
		if err == nil {
			r.dispatcher.config.Suspects.Forgive(r.open.Digest)
		}
	}
	return frame, err
}

// Close gives the endpoint's place free.
func (r *Response) Close() {
	r.tracker.end()
	r.Ticket.Void()
	r.Stream.Close()
	r.releaseSuspect()
	r.Endpoint.Outstanding.Add(-1)
}

// Config says what a dispatcher works with.
type Config struct {
	// Process names the entry; its part of each pool follows from it.
	Process ident.Process
	Fleet   *fleet.Fleet
	Events  *event.Recorder
	// Suspects knows the requests that endpoints crashed on.
	Suspects *suspect.Registry
}

// Dispatcher sends requests.
type Dispatcher struct {
	config    Config
	budget    *budget
	balancers *balancers
	// probes lets the lost requests of one endpoint share one look at it.
	probes singleflight.Group
}

// New returns a dispatcher.
func New(config Config) *Dispatcher {
	return &Dispatcher{config: config, budget: newBudget(), balancers: newBalancers(config)}
}

// Send returns the first answer whose head comes, or the final refusal.
func (d *Dispatcher) Send(ctx context.Context, call Call) (*Response, *refusal.Error) {
	var last *refusal.Error
	for len(call.Tried) < maxAttempts {
		if refused := call.Recheck(); refused != nil {
			last = finalFailure(last, refused)
			break
		}
		open := copyOpen(call.Open)
		releaseSuspect, refused := d.admitSuspect(open)
		if refused != nil {
			last = finalFailure(last, refused)
			break
		}
		chosen := d.balancers.pool(call.Pool).pick(call)
		if chosen == nil {
			releaseSuspect()
			break
		}
		call.Tried[chosen.attempt.Endpoint] = true
		open.Attempt = len(call.Tried)
		response, failure := d.attempt(ctx, call, chosen, open, releaseSuspect)
		if failure == nil {
			return response, nil
		}
		if !failure.NotRun {
			call.MayHaveRun[chosen.attempt.Endpoint] = true
		}
		last = finalFailure(last, failure)
		if !d.mayRetry(ctx, call, failure) {
			break
		}
	}
	if last != nil {
		return nil, last
	}
	return nil, refusal.Retryable(http.StatusServiceUnavailable, api.CodeNoEndpoint, "no endpoint takes this request now", noEndpointRetryAfter)
}

// finalFailure returns the later failure, but for an earlier one after which the request may have run.
func finalFailure(earlier, later *refusal.Error) *refusal.Error {
	if earlier == nil || earlier.NotRun {
		return later
	}
	if later.Code != api.CodePoisoned {
		return earlier
	}
	fatal := *later
	fatal.NotRun = false
	return &fatal
}

// mayRetry reports whether a failed attempt may be followed by another.
func (d *Dispatcher) mayRetry(ctx context.Context, call Call, failure *refusal.Error) bool {
	if ctx.Err() != nil || time.Now().After(call.FirstByteDeadline) {
		return false
	}
	if failure.NotRun && failure.Code != api.CodeOverloaded {
		return true
	}
	return failure.NotRun && d.budget.take() || d.TakeRetry(call)
}

// TakeRetry reports whether a request whose run is in doubt may run again, and takes that from the budget.
func (d *Dispatcher) TakeRetry(call Call) bool {
	return call.Open.Idempotent && len(call.MayHaveRun) < maxRuns && d.budget.take()
}

// RecordSuccess notes a whole answer.
func (d *Dispatcher) RecordSuccess() { d.budget.credit() }

// attempt sends the request to one endpoint and waits for the head; release follows the end of the attempt.
func (d *Dispatcher) attempt(
	ctx context.Context, call Call, tracker *tracker, open *link.Open, releaseSuspect func(),
) (*Response, *refusal.Error) {
	response, failure := d.openStream(ctx, call, tracker, open)
	if failure != nil {
		tracker.end()
		releaseSuspect()
		return nil, failure
	}
	response.releaseSuspect = releaseSuspect
	response.tracker = tracker
	if failure := d.awaitHead(ctx, open, response); failure != nil {
		response.Close()
		return nil, failure
	}
	return response, nil
}

// openStream hands the request to the endpoint's link.
func (d *Dispatcher) openStream(ctx context.Context, call Call, chosen *tracker, open *link.Open) (*Response, *refusal.Error) {
	endpoint := chosen.endpoint
	endpoint.Outstanding.Add(1)
	client := endpoint.Client()
	if client == nil {
		endpoint.Outstanding.Add(-1)
		return nil, refusal.Retryable(http.StatusServiceUnavailable, api.CodeNoEndpoint, "the endpoint's link has ended", noEndpointRetryAfter)
	}
	open.BudgetMS = max(time.Until(call.FirstByteDeadline).Milliseconds(), 0)
	d.recordAttempt(open, endpoint, chosen.attempt.Rationale)
	ticket := call.BeginAttempt()
	open.Tag = ticket.Tag()
	sentAt := clock.Boot()
	stream, err := client.Open(ctx, open)
	if err != nil {
		ticket.Void()
		endpoint.Outstanding.Add(-1)
		return nil, d.lostError(open, endpoint, outcome.NotRun)
	}
	return &Response{Stream: stream, Endpoint: endpoint, Ticket: ticket, dispatcher: d, open: open, sentAt: sentAt}, nil
}

// copyOpen returns a request frame of its own for one attempt.
func copyOpen(open *link.Open) *link.Open {
	return &link.Open{
		Request: open.Request, Customer: open.Customer, Class: open.Class, Tier: open.Tier,
		Method: open.Method, Path: open.Path, Query: open.Query, Header: open.Header, Body: open.Body,
		Idempotent: open.Idempotent, DeadlineMS: open.DeadlineMS, Digest: open.Digest,
		Weight: open.Weight, FloorPercent: open.FloorPercent, Version: open.Version,
	}
}

func (d *Dispatcher) awaitHead(ctx context.Context, open *link.Open, response *Response) *refusal.Error {
	for {
		frame, err := response.Next(ctx)
		if err != nil {
			return d.lostError(open, response.Endpoint, d.abandon(ctx, response))
		}
		switch frame := frame.(type) {
		case *link.Head:
			response.Head = frame
			return nil
		case *link.Deny:
			d.recordEvent("request_denied", open, response.Endpoint, string(frame.Code))
			return RefusalFor(frame)
		}
	}
}

// abandon ends an attempt that gets no answer and returns what is known of it.
func (d *Dispatcher) abandon(ctx context.Context, response *Response) outcome.Outcome {
	abandonCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), abandonTimeout)
	defer cancel()
	result := response.Stream.Abandon(abandonCtx, "the entry has given up")
	if result != outcome.Unknown || response.accepted {
		return result
	}
	return askOutcome(ctx, response)
}

// askOutcome waits for a new link to the same run of the sidecar and asks it whether the request was started.
func askOutcome(ctx context.Context, response *Response) outcome.Outcome {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), askTimeout)
	defer cancel()
	incarnation := response.Stream.Peer().Incarnation
	for {
		client := response.Endpoint.Client()
		if client != nil && !isClosed(client) {
			if client.Peer().Incarnation != incarnation {
				return outcome.Unknown
			}
			return client.Ask(ctx, response.open.Request, clock.Boot().Sub(response.sentAt))
		}
		select {
		case <-time.After(askInterval):
		case <-ctx.Done():
			return outcome.Unknown
		}
	}
}

func isClosed(client *link.Client) bool {
	select {
	case <-client.Done():
		return true
	default:
		return false
	}
}

func (d *Dispatcher) lostError(open *link.Open, endpoint *fleet.Endpoint, result outcome.Outcome) *refusal.Error {
	d.recordEvent("request_lost", open, endpoint, result.String())
	if result == outcome.NotRun {
		return refusal.Retryable(http.StatusServiceUnavailable, api.CodeNoEndpoint, "no endpoint answered; the request did not run", noEndpointRetryAfter)
	}
	return refusal.OutcomeUnknown(api.CodeUnknownOutcome, "the endpoint was lost; the request may have run")
}

// RefusalFor returns the final answer that a sidecar's denial stands for.
func RefusalFor(deny *link.Deny) *refusal.Error {
	if !deny.NotRun {
		return refusal.OutcomeUnknown(api.CodeEndpointFailed, "the endpoint failed; the request may have run")
	}
	retryAfter := max(time.Duration(deny.RetryAfterMS)*time.Millisecond, noEndpointRetryAfter)
	switch deny.Code {
	case link.DenyBusy, link.DenyLate:
		return refusal.Retryable(http.StatusServiceUnavailable, api.CodeOverloaded, "no place for this request within its target", retryAfter)
	default:
		return refusal.Retryable(http.StatusServiceUnavailable, api.CodeNoEndpoint, "the endpoint does not take this request now", retryAfter)
	}
}

// IsInterrupted reports whether an error means that the answer broke off at the endpoint's side.
func IsInterrupted(err error) bool {
	return errors.Is(err, link.ErrClosed) || errors.Is(err, link.ErrTruncated)
}

// recordAttempt records an attempt and why it goes to this endpoint.
func (d *Dispatcher) recordAttempt(open *link.Open, endpoint *fleet.Endpoint, grounds choice.Rationale) {
	d.config.Events.Record(event.Event{
		Name: "request_sent", Request: open.Request, Customer: open.Customer, Class: open.Class,
		Endpoint: endpoint.Configuration.ID, Version: open.Version,
		Pairs: []event.Pair{
			{Key: "attempt", Value: strconv.Itoa(open.Attempt)},
			{Key: "usable", Value: strconv.Itoa(grounds.Usable)},
			{Key: "by", Value: string(grounds.Criterion)},
			{Key: "load", Value: formatLoad(grounds.Load)},
			{Key: "other", Value: string(grounds.Alternative)},
			{Key: "other_load", Value: formatLoad(grounds.AlternativeLoad)},
		},
	})
}

// formatLoad returns a load with two digits after the point.
func formatLoad(load float64) string { return strconv.FormatFloat(load, 'f', 2, 64) }

func (d *Dispatcher) recordEvent(name event.Name, open *link.Open, endpoint *fleet.Endpoint, detail string) {
	d.config.Events.Record(event.Event{
		Name: name, Request: open.Request, Customer: open.Customer, Class: open.Class,
		Endpoint: endpoint.Configuration.ID, Version: open.Version, Detail: detail,
	})
}
