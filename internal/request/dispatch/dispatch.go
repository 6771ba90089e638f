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

// settleTime is how long an abandoned attempt waits for the sidecar's word on whether it ran.
const settleTime = time.Second

// Questions after a link has ended.
const (
	// askTime bounds the wait for a new link and its answer.
	askTime = 2 * time.Second
	// askInterval is the time between two looks for a new link.
	askInterval = 20 * time.Millisecond
)

// noEndpointRetry is when coming back may help while no endpoint takes work.
const noEndpointRetry = time.Second

// Call is one request to be sent.
type Call struct {
	// Open is the request as the sidecar will see it.
	Open *link.Open
	Pool ident.Pool
	// FirstBy is when the first byte of the answer is due.
	FirstBy time.Time
	// Prefix is a digest of the prompt's beginning; 0 means none.
	Prefix uint64
	// Streamed says that the answer's parts come as they are made.
	Streamed bool
	// Tried holds the endpoints that had the request; it grows with each attempt.
	Tried map[ident.Endpoint]bool
	// Ran holds those of Tried where it may have run.
	Ran map[ident.Endpoint]bool
	// Begin opens an attempt in the ledger.
	Begin func() *ledger.Ticket
	// Recheck decides again before each attempt, because the one before may have waited.
	Recheck func() *refusal.Error
}

// Answer is an endpoint's answer of which the head has come.
type Answer struct {
	Head     *link.Head
	Stream   *link.Stream
	Endpoint *fleet.Endpoint
	// Ticket is the attempt that the answer belongs to; Close voids it unless it was served.
	Ticket *ledger.Ticket
	// dispatcher, open and accepted are what a loss is held against.
	dispatcher *Dispatcher
	open       *link.Open
	accepted   bool
	// sent is when the attempt began.
	sent clock.Reading
	// release ends a suspect's turn.
	release func()
	tracker *tracker
}

// Next returns the next frame, and notes what the end of the answer says of the request.
func (a *Answer) Next(ctx context.Context) (link.Frame, error) {
	frame, err := a.Stream.Next(ctx)
	a.tracker.note(frame, err)
	if errors.Is(err, link.ErrClosed) && a.accepted {
		a.dispatcher.vanished(a.open, a.Endpoint, a.Stream.Peer())
	}
	switch frame := frame.(type) {
	case *link.Accept:
		a.accepted = true
	case *link.Deny:
		if frame.Loss != "" {
			a.dispatcher.crashed(a.open, frame.Loss)
		}
	case *link.End:
		if err == nil {
			a.dispatcher.config.Suspects.Forgive(a.open.Digest)
		}
	}
	return frame, err
}

// Close gives the endpoint's place free.
func (a *Answer) Close() {
	a.tracker.end()
	a.Ticket.Void()
	a.Stream.Close()
	a.release()
	a.Endpoint.Outstanding.Add(-1)
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
func (d *Dispatcher) Send(ctx context.Context, call Call) (*Answer, *refusal.Error) {
	var last *refusal.Error
	for len(call.Tried) < maxAttempts {
		if refused := call.Recheck(); refused != nil {
			last = worse(last, refused)
			break
		}
		open := copyOpen(call.Open)
		release, refused := d.admitSuspect(open)
		if refused != nil {
			last = worse(last, refused)
			break
		}
		chosen := d.balancers.pool(call.Pool).pick(call)
		if chosen == nil {
			release()
			break
		}
		call.Tried[chosen.attempt.Endpoint] = true
		open.Attempt = len(call.Tried)
		answer, failure := d.attempt(ctx, call, chosen, open, release)
		if failure == nil {
			return answer, nil
		}
		if !failure.NotRun {
			call.Ran[chosen.attempt.Endpoint] = true
		}
		last = worse(last, failure)
		if !d.mayRepeat(ctx, call, failure) {
			break
		}
	}
	if last != nil {
		return nil, last
	}
	return nil, refusal.Retryable(http.StatusServiceUnavailable, api.CodeNoEndpoint, "no endpoint takes this request now", noEndpointRetry)
}

// worse returns the later failure, but for an earlier one after which the request may have run.
func worse(earlier, later *refusal.Error) *refusal.Error {
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

// mayRepeat reports whether a failed attempt may be followed by another.
func (d *Dispatcher) mayRepeat(ctx context.Context, call Call, failure *refusal.Error) bool {
	if ctx.Err() != nil || time.Now().After(call.FirstBy) {
		return false
	}
	if failure.NotRun && failure.Code != api.CodeOverloaded {
		return true
	}
	return failure.NotRun && d.budget.spend() || d.MayRepeat(call)
}

// MayRepeat reports whether a request whose run is in doubt may run again, and takes that from the budget.
func (d *Dispatcher) MayRepeat(call Call) bool {
	return call.Open.Idempotent && len(call.Ran) < maxRuns && d.budget.spend()
}

// Served notes a whole answer.
func (d *Dispatcher) Served() { d.budget.earn() }

// attempt sends the request to one endpoint and waits for the head; release follows the end of the attempt.
func (d *Dispatcher) attempt(
	ctx context.Context, call Call, chosen *tracker, open *link.Open, release func(),
) (*Answer, *refusal.Error) {
	answer, failure := d.sendTo(ctx, call, chosen, open)
	if failure != nil {
		chosen.end()
		release()
		return nil, failure
	}
	answer.release = release
	answer.tracker = chosen
	if failure := d.awaitHead(ctx, open, answer); failure != nil {
		answer.Close()
		return nil, failure
	}
	return answer, nil
}

// sendTo hands the request to the endpoint's link.
func (d *Dispatcher) sendTo(ctx context.Context, call Call, chosen *tracker, open *link.Open) (*Answer, *refusal.Error) {
	endpoint := chosen.endpoint
	endpoint.Outstanding.Add(1)
	client := endpoint.Client()
	if client == nil {
		endpoint.Outstanding.Add(-1)
		return nil, refusal.Retryable(http.StatusServiceUnavailable, api.CodeNoEndpoint, "the endpoint's link has ended", noEndpointRetry)
	}
	open.BudgetMS = max(time.Until(call.FirstBy).Milliseconds(), 0)
	d.sent(open, endpoint, chosen.attempt.Grounds)
	ticket := call.Begin()
	open.Tag = ticket.Tag()
	began := clock.Boot()
	stream, err := client.Open(ctx, open)
	if err != nil {
		ticket.Void()
		endpoint.Outstanding.Add(-1)
		return nil, d.lost(open, endpoint, outcome.NotRun)
	}
	return &Answer{Stream: stream, Endpoint: endpoint, Ticket: ticket, dispatcher: d, open: open, sent: began}, nil
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

func (d *Dispatcher) awaitHead(ctx context.Context, open *link.Open, answer *Answer) *refusal.Error {
	for {
		frame, err := answer.Next(ctx)
		if err != nil {
			return d.lost(open, answer.Endpoint, d.settle(ctx, answer))
		}
		switch frame := frame.(type) {
		case *link.Head:
			answer.Head = frame
			return nil
		case *link.Deny:
			d.record("request_denied", open, answer.Endpoint, string(frame.Code))
			return Denied(frame)
		}
	}
}

// settle ends an attempt that gets no answer and returns what is known of it.
func (d *Dispatcher) settle(ctx context.Context, answer *Answer) outcome.Outcome {
	given, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTime)
	defer cancel()
	known := answer.Stream.Abandon(given, "the entry has given up")
	if known != outcome.Unknown || answer.accepted {
		return known
	}
	return ask(ctx, answer)
}

// ask waits for a new link to the same run of the sidecar and asks it whether the request was started.
func ask(ctx context.Context, answer *Answer) outcome.Outcome {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), askTime)
	defer cancel()
	earlier := answer.Stream.Peer().Incarnation
	for {
		client := answer.Endpoint.Client()
		if client != nil && !ended(client) {
			if client.Peer().Incarnation != earlier {
				return outcome.Unknown
			}
			return client.Ask(ctx, answer.open.Request, clock.Boot().Sub(answer.sent))
		}
		select {
		case <-time.After(askInterval):
		case <-ctx.Done():
			return outcome.Unknown
		}
	}
}

func ended(client *link.Client) bool {
	select {
	case <-client.Done():
		return true
	default:
		return false
	}
}

func (d *Dispatcher) lost(open *link.Open, endpoint *fleet.Endpoint, known outcome.Outcome) *refusal.Error {
	d.record("request_lost", open, endpoint, known.String())
	if known == outcome.NotRun {
		return refusal.Retryable(http.StatusServiceUnavailable, api.CodeNoEndpoint, "no endpoint answered; the request did not run", noEndpointRetry)
	}
	return refusal.OutcomeUnknown(api.CodeUnknownOutcome, "the endpoint was lost; the request may have run")
}

// Denied returns the final answer that a sidecar's denial stands for.
func Denied(deny *link.Deny) *refusal.Error {
	if !deny.NotRun {
		return refusal.OutcomeUnknown(api.CodeEndpointFailed, "the endpoint failed; the request may have run")
	}
	after := max(time.Duration(deny.RetryAfterMS)*time.Millisecond, noEndpointRetry)
	switch deny.Code {
	case link.DenyBusy, link.DenyLate:
		return refusal.Retryable(http.StatusServiceUnavailable, api.CodeOverloaded, "no place for this request within its target", after)
	default:
		return refusal.Retryable(http.StatusServiceUnavailable, api.CodeNoEndpoint, "the endpoint does not take this request now", after)
	}
}

// Cut reports whether an error means that the answer broke off at the endpoint's side.
func Cut(err error) bool {
	return errors.Is(err, link.ErrClosed) || errors.Is(err, link.ErrTruncated)
}

// sent records an attempt and why it goes to this endpoint.
func (d *Dispatcher) sent(open *link.Open, endpoint *fleet.Endpoint, grounds choice.Grounds) {
	d.config.Events.Record(event.Event{
		Name: "request_sent", Request: open.Request, Customer: open.Customer, Class: open.Class,
		Endpoint: endpoint.Configuration.ID, Version: open.Version,
		Pairs: []event.Pair{
			{Key: "attempt", Value: strconv.Itoa(open.Attempt)},
			{Key: "usable", Value: strconv.Itoa(grounds.Usable)},
			{Key: "by", Value: string(grounds.By)},
			{Key: "load", Value: share(grounds.Load)},
			{Key: "other", Value: string(grounds.Other)},
			{Key: "other_load", Value: share(grounds.OtherLoad)},
		},
	})
}

// share returns a load with two digits after the point.
func share(load float64) string { return strconv.FormatFloat(load, 'f', 2, 64) }

func (d *Dispatcher) record(name event.Name, open *link.Open, endpoint *fleet.Endpoint, detail string) {
	d.config.Events.Record(event.Event{
		Name: name, Request: open.Request, Customer: open.Customer, Class: open.Class,
		Endpoint: endpoint.Configuration.ID, Version: open.Version, Detail: detail,
	})
}
