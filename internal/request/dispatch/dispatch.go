// Package dispatch sends a request over a link to the sidecar of an endpoint, and retries it at other endpoints where that is
// safe.
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

// Limits of one request.
const (
	// maxRuns is the number of endpoints at which a request may run.
	maxRuns = 3
	// maxAttempts is the number of endpoints to which it is sent. It is greater than maxRuns because an endpoint that refuses
	// the request without running it costs little.
	maxAttempts = 8
)

// abandonTimeout is how long to wait after the cancellation of an attempt for the sidecar to report whether it ran.
const abandonTimeout = time.Second

// Queries to a sidecar about a request whose link has ended.
const (
	// outcomeQueryTimeout bounds the wait for a new link and for the reply to the query.
	outcomeQueryTimeout = 2 * time.Second
	// linkPollInterval is the interval at which a new link is polled for.
	linkPollInterval = 20 * time.Millisecond
)

// noEndpointRetryAfter is the Retry-After while no endpoint accepts requests.
const noEndpointRetryAfter = time.Second

// Call is a request to send.
type Call struct {
	// Open is the request frame for the sidecar; each attempt sends a copy.
	Open *link.Open
	Pool ident.Pool
	// FirstByteDeadline is the time by which the first byte of the response is due.
	FirstByteDeadline time.Time
	// Prefix is a hash of the beginning of the prompt; 0 means none.
	Prefix uint64
	// Streamed is set if the response is sent while it is generated, so that the timing of its frames shows the endpoint's speed.
	Streamed bool
	// Tried holds the endpoints to which the request was sent; each attempt adds one.
	Tried map[ident.Endpoint]bool
	// MayHaveRun holds the endpoints of Tried at which the request may have run.
	MayHaveRun map[ident.Endpoint]bool
	// BeginAttempt opens an attempt in the usage ledger.
	BeginAttempt func() *ledger.Attempt
	// Recheck repeats the admission checks before each attempt, because their result may have changed while the attempt before
	// waited. It returns a refusal, or nil to continue.
	Recheck func() *refusal.Error
}

// Response is an endpoint's response whose head has arrived.
type Response struct {
	Head     *link.Head
	Stream   *link.Stream
	Endpoint *fleet.Endpoint
	// Attempt is the attempt in the usage ledger; Close voids it unless it was recorded as served.
	Attempt *ledger.Attempt
	// dispatcher, open and accepted are needed to record the loss of the endpoint against the request. accepted is set once the
	// sidecar has passed the request to its backend.
	dispatcher *Dispatcher
	open       *link.Open
	accepted   bool
	// sentAt is the time at which the attempt began.
	sentAt clock.Reading
	// releaseSuspect lets the same request run again if it is a suspect; otherwise it does nothing.
	releaseSuspect func()
	tracker        *tracker
}

// Next returns the next frame. It updates the attempt and, at the end of the response, the record of the request as a suspect.
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
			r.dispatcher.config.Suspects.Clear(r.open.Digest)
		}
	}
	return frame, err
}

// Close ends the attempt and releases what it holds.
func (r *Response) Close() {
	r.tracker.end()
	r.Attempt.Void()
	r.Stream.Close()
	r.releaseSuspect()
	r.Endpoint.Outstanding.Add(-1)
}

// Config holds the dependencies of a Dispatcher.
type Config struct {
	// Process is the id of this entry process; it determines the subset of each pool to which the process sends.
	Process ident.Process
	Fleet   *fleet.Fleet
	Events  *event.Recorder
	// Suspects tracks the requests that were running when an endpoint crashed.
	Suspects *suspect.Registry
}

// Dispatcher sends requests to endpoints.
type Dispatcher struct {
	config    Config
	budget    *budget
	balancers *balancers
	// probes merges the probes of one endpoint on behalf of all requests that were lost with it.
	probes singleflight.Group
}

// New returns a dispatcher.
func New(config Config) *Dispatcher {
	return &Dispatcher{config: config, budget: newBudget(), balancers: newBalancers(config)}
}

// Send sends the request until an endpoint returns the head of a response, and returns that response or the final refusal.
func (d *Dispatcher) Send(ctx context.Context, call Call) (*Response, *refusal.Error) {
	var last *refusal.Error
	for len(call.Tried) < maxAttempts {
		if refused := call.Recheck(); refused != nil {
			last = FinalFailure(last, refused)
			break
		}
		open := copyOpen(call.Open)
		releaseSuspect, refused := d.admitSuspect(open)
		if refused != nil {
			last = FinalFailure(last, refused)
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
		last = FinalFailure(last, failure)
		if !d.mayRetry(ctx, call, failure) {
			break
		}
	}
	if last != nil {
		return nil, last
	}
	return nil, refusal.Retryable(
		http.StatusServiceUnavailable, api.CodeNoEndpoint, "no endpoint takes this request now", noEndpointRetryAfter)
}

// FinalFailure returns which of two failures to report: the later one, unless the request may have run in the earlier one. Then
// it is the earlier one, or, if the later one refuses the request because it crashed endpoints, a copy of the later one that does
// not state that the request did not run.
func FinalFailure(earlier, later *refusal.Error) *refusal.Error {
	if earlier == nil || earlier.NotRun {
		return later
	}
	if later.Code != api.CodePoisoned {
		return earlier
	}
	blocked := *later
	blocked.NotRun = false
	return &blocked
}

// mayRetry reports whether the request may be sent again after a failed attempt, and takes the retry from the budget. Retries of
// requests that did not run and were refused for another reason than overload are free.
func (d *Dispatcher) mayRetry(ctx context.Context, call Call, failure *refusal.Error) bool {
	if ctx.Err() != nil || time.Now().After(call.FirstByteDeadline) {
		return false
	}
	if failure.NotRun && failure.Code != api.CodeOverloaded {
		return true
	}
	return failure.NotRun && d.budget.take() || d.TakeRetry(call)
}

// TakeRetry reports whether a request that may have run may run again, and takes the retry from the budget.
func (d *Dispatcher) TakeRetry(call Call) bool {
	return call.Open.Idempotent && len(call.MayHaveRun) < maxRuns && d.budget.take()
}

// RecordSuccess credits the retry budget with a complete response.
func (d *Dispatcher) RecordSuccess() { d.budget.credit() }

// attempt sends the request to one endpoint and waits for the head of the response. It calls releaseSuspect at the
// end of the attempt.
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

// openStream opens a stream for the request on the link to the endpoint's sidecar.
func (d *Dispatcher) openStream(ctx context.Context, call Call, chosen *tracker, open *link.Open) (*Response, *refusal.Error) {
	endpoint := chosen.endpoint
	endpoint.Outstanding.Add(1)
	client := endpoint.Client()
	if client == nil {
		endpoint.Outstanding.Add(-1)
		return nil, refusal.Retryable(
			http.StatusServiceUnavailable, api.CodeNoEndpoint, "the endpoint's link has ended", noEndpointRetryAfter)
	}
	open.BudgetMS = max(time.Until(call.FirstByteDeadline).Milliseconds(), 0)
	d.recordAttempt(open, endpoint, chosen.attempt.Rationale)
	attempt := call.BeginAttempt()
	open.Tag = attempt.Tag()
	sentAt := clock.Boot()
	stream, err := client.Open(ctx, open)
	if err != nil {
		attempt.Void()
		endpoint.Outstanding.Add(-1)
		return nil, d.lostRefusal(open, endpoint, outcome.NotRun)
	}
	return &Response{Stream: stream, Endpoint: endpoint, Attempt: attempt, dispatcher: d, open: open, sentAt: sentAt}, nil
}

// copyOpen returns a copy of the request frame for one attempt, without the fields that are set for each attempt.
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
			return d.lostRefusal(open, response.Endpoint, d.abandon(ctx, response))
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

// abandon cancels an attempt that got no response and returns whether it ran, as far as this can be learned from the sidecar.
func (d *Dispatcher) abandon(ctx context.Context, response *Response) outcome.Outcome {
	abandonCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), abandonTimeout)
	defer cancel()
	result := response.Stream.Abandon(abandonCtx, "the entry has given up")
	if result != outcome.Unknown || response.accepted {
		return result
	}
	return queryOutcome(ctx, response)
}

// queryOutcome waits for a new link to the sidecar and queries whether the request was started. The outcome stays unknown if the
// sidecar has restarted since.
func queryOutcome(ctx context.Context, response *Response) outcome.Outcome {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), outcomeQueryTimeout)
	defer cancel()
	incarnation := response.Stream.Peer().Incarnation
	for {
		client := response.Endpoint.Client()
		if client != nil && !isClosed(client) {
			if client.Peer().Incarnation != incarnation {
				return outcome.Unknown
			}
			return client.QueryOutcome(ctx, response.open.Request, clock.Boot().Sub(response.sentAt))
		}
		select {
		case <-time.After(linkPollInterval):
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

func (d *Dispatcher) lostRefusal(open *link.Open, endpoint *fleet.Endpoint, result outcome.Outcome) *refusal.Error {
	d.recordEvent("request_lost", open, endpoint, result.String())
	if result == outcome.NotRun {
		return refusal.Retryable(
			http.StatusServiceUnavailable, api.CodeNoEndpoint, "no endpoint answered; the request did not run", noEndpointRetryAfter)
	}
	return refusal.OutcomeUnknown(api.CodeUnknownOutcome, "the endpoint was lost; the request may have run")
}

// RefusalFor returns the refusal for the caller that a sidecar's denial leads to.
func RefusalFor(deny *link.Deny) *refusal.Error {
	if !deny.NotRun {
		return refusal.OutcomeUnknown(api.CodeEndpointFailed, "the endpoint failed; the request may have run")
	}
	retryAfter := max(time.Duration(deny.RetryAfterMS)*time.Millisecond, noEndpointRetryAfter)
	switch deny.Code {
	case link.DenyBusy, link.DenyLate:
		return refusal.Retryable(
			http.StatusServiceUnavailable, api.CodeOverloaded, "no place for this request within its target", retryAfter)
	default:
		return refusal.Retryable(
			http.StatusServiceUnavailable, api.CodeNoEndpoint, "the endpoint does not take this request now", retryAfter)
	}
}

// IsInterrupted reports whether an error means that the response was interrupted on the endpoint's side or on the link to it,
// rather than by the caller.
func IsInterrupted(err error) bool {
	return errors.Is(err, link.ErrClosed) || errors.Is(err, link.ErrTruncated)
}

// recordAttempt records an event that describes an attempt and why its endpoint was picked.
func (d *Dispatcher) recordAttempt(open *link.Open, endpoint *fleet.Endpoint, rationale choice.Rationale) {
	d.config.Events.Record(event.Event{
		Name: "request_sent", Request: open.Request, Customer: open.Customer, Class: open.Class,
		Endpoint: endpoint.Configuration.ID, Version: open.Version,
		Attributes: []event.Attribute{
			{Key: "attempt", Value: strconv.Itoa(open.Attempt)},
			{Key: "usable", Value: strconv.Itoa(rationale.Usable)},
			{Key: "by", Value: string(rationale.Criterion)},
			{Key: "load", Value: formatLoad(rationale.Load)},
			{Key: "other", Value: string(rationale.Alternative)},
			{Key: "other_load", Value: formatLoad(rationale.AlternativeLoad)},
		},
	})
}

// formatLoad formats a load with two decimal places.
func formatLoad(load float64) string { return strconv.FormatFloat(load, 'f', 2, 64) }

func (d *Dispatcher) recordEvent(name event.Name, open *link.Open, endpoint *fleet.Endpoint, detail string) {
	d.config.Events.Record(event.Event{
		Name: name, Request: open.Request, Customer: open.Customer, Class: open.Class,
		Endpoint: endpoint.Configuration.ID, Version: open.Version, Detail: detail,
	})
}
