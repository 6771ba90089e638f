// Package gateway serves the callers' HTTP API at an entry.
//
// An entry is a process that accepts callers' requests and sends them to endpoints. A request passes through a sequence of
// stages, from the check of its API key to the response.
package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"vanillapond/internal/body"
	"vanillapond/internal/connection/link"
	"vanillapond/internal/process/event"
	"vanillapond/internal/process/grace"
	"vanillapond/internal/process/holdings"
	"vanillapond/internal/process/ledger"
	"vanillapond/internal/process/metrics"
	"vanillapond/internal/process/scaling"
	"vanillapond/internal/process/suspect"
	"vanillapond/internal/request/claim"
	"vanillapond/internal/request/credential"
	"vanillapond/internal/request/dispatch"
	"vanillapond/internal/request/limit"
	"vanillapond/internal/request/refusal"
	"vanillapond/internal/request/withdrawal"
	"vanillapond/internal/version/snapshot"
	"vanillapond/pkg/api"
	"vanillapond/pkg/configuration"
	"vanillapond/pkg/ident"
)

// DefaultMaxBodySize is the default limit on the size of a request body, in bytes.
const DefaultMaxBodySize = 8 << 20

// DefaultBodyReadTimeout is the default limit on the time in which a caller must send its body.
const DefaultBodyReadTimeout = 30 * time.Second

// Freshness reports whether this process's configuration is recent enough to authenticate callers.
type Freshness interface {
	// Open reports whether keys may be accepted now.
	Open() bool
}

// notReadyRetryAfter is the Retry-After value until this process has its first configuration.
const notReadyRetryAfter = time.Second

// Stage is one step in the handling of a request; it returns a refusal, or nil to continue with the next stage.
type Stage func(*Exchange) *refusal.Error

// Dispatcher sends requests to endpoints.
type Dispatcher interface {
	Send(ctx context.Context, call dispatch.Call) (*dispatch.Response, *refusal.Error)
	// TakeRetry reports whether a request whose response was interrupted may run again, and takes the retry from the budget.
	TakeRetry(call dispatch.Call) bool
	// RecordSuccess records a complete response, which adds to the retry budget.
	RecordSuccess()
}

// Config holds the dependencies and limits of a gateway.
type Config struct {
	Snapshots  *snapshot.Holder
	Dispatcher Dispatcher
	Ledger     *ledger.Ledger
	Events     *event.Recorder
	// Freshness is checked before a key is accepted; nil means that keys are always accepted.
	Freshness Freshness
	// Meter counts requests for scaling decisions; nil means that the counts are not used.
	Meter *scaling.Meter
	// Metrics counts ended requests; nil means that the metrics are not exported.
	Metrics *metrics.Metrics
	Claims  Claims
	// Entries returns the number of live entries that share the customers' limits; nil means 1.
	Entries func() int
	// Holdings bounds what all callers hold, and Responses what is kept of all responses before it is passed on; nil bounds nothing.
	Holdings, Responses *holdings.Account
	// Grace is the period in which this process stops; nil never begins.
	Grace *grace.Period
	// MaxBodySize is the limit on the size of a request body, in bytes; 0 means DefaultMaxBodySize.
	MaxBodySize int64
	// BodyReadTimeout is the limit on the time in which a caller must send its body; 0 means DefaultBodyReadTimeout.
	BodyReadTimeout time.Duration
}

// Gateway is the HTTP handler of the callers' API.
type Gateway struct {
	config Config
	// activeRequests holds the requests in progress of each API key.
	activeRequests *withdrawal.Registry
	// stages are executed in this order.
	stages []Stage
	limits limits
}

// New returns a gateway.
func New(config Config) *Gateway {
	if config.MaxBodySize == 0 {
		config.MaxBodySize = DefaultMaxBodySize
	}
	if config.Meter == nil {
		config.Meter = scaling.NewMeter()
	}
	if config.Metrics == nil {
		config.Metrics = metrics.New(metrics.Config{})
	}
	if config.BodyReadTimeout == 0 {
		config.BodyReadTimeout = DefaultBodyReadTimeout
	}
	g := &Gateway{config: config, activeRequests: withdrawal.New(config.Snapshots)}
	g.limits = limits{entries: config.Entries, limiter: limit.New()}
	g.stages = []Stage{g.authenticate, g.listModels, g.readBody, g.classify, g.limit, g.recheck, g.send}
	return g
}

// Exchange is one request with its response and the state that the stages share.
type Exchange struct {
	ID         ident.Request
	Started    time.Time
	writer     http.ResponseWriter
	request    *http.Request
	snapshot   *snapshot.Snapshot
	credential credential.Credential
	key        configuration.Key
	customer   configuration.Customer
	class      configuration.Class
	pool       configuration.Pool
	completion api.CompletionRequest
	body       []byte
	// held is the body with the room that it takes; nil if it is empty or was not read.
	held *body.Body
	// claim is the claim in which the outcome is recorded; nil if the request has none.
	claim *claim.Handle
	// responded is set when a stage has written the response, so that no further stage runs.
	responded bool
	// unregister removes the request from the active requests of its key; nil until the key was accepted.
	unregister func()
	// releaseLimits returns what the request uses of its customer's limits; nil until the request was admitted.
	releaseLimits func()
	result        result
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	exchange := &Exchange{ID: ident.Request(strings.ToLower(ulid.Make().String())), Started: time.Now(), writer: w, request: r}
	defer exchange.removeFromActive()
	defer func() { exchange.held.Release() }()
	defer func() {
		if exchange.releaseLimits != nil {
			exchange.releaseLimits()
		}
	}()
	defer g.recordMetrics(exchange)
	for _, stage := range g.stages {
		if failure := stage(exchange); failure != nil {
			g.refuse(exchange, failure)
			return
		}
		if exchange.responded {
			return
		}
	}
}

func (g *Gateway) refuse(exchange *Exchange, failure *refusal.Error) {
	if exchange.keyWithdrawn() {
		failure = withdrawnRefusal(failure.NotRun)
	}
	failure = jitterRetryAfter(failure, exchange.ID)
	exchange.result.failure = failure
	g.record("request_refused", exchange, failure.Error())
	failure.Write(exchange.writer, exchange.ID)
}

func (g *Gateway) record(name event.Name, exchange *Exchange, detail string) {
	recorded := event.Event{
		Name: name, Request: exchange.ID, Customer: exchange.customer.ID, Class: exchange.class.ID, Detail: detail,
	}
	if exchange.snapshot != nil {
		recorded.Version = exchange.snapshot.Version()
	}
	if exchange.class.ID != "" {
		recorded.Attributes = exchange.eventAttributes()
	}
	g.config.Events.Record(recorded)
}

// send passes the request to the dispatcher and relays the response.
func (g *Gateway) send(exchange *Exchange) *refusal.Error {
	metered := g.config.Meter.Begin(exchange.pool.ID, exchange.class.Tier)
	defer func() { metered.End(exchange.metTargets()) }()
	ctx, cancel := context.WithDeadline(exchange.request.Context(), exchange.Started.Add(exchange.class.Deadline()))
	defer cancel()
	// Callers whose requests still run at the end get an answer.
	defer context.AfterFunc(g.config.Grace.Ended(), cancel)()
	call := dispatch.Call{
		Open:              g.newOpenFrame(exchange),
		Pool:              exchange.pool.ID,
		FirstByteDeadline: exchange.Started.Add(exchange.class.FirstToken()),
		Prefix:            promptPrefixDigest(exchange.completion),
		Streamed:          exchange.completion.Stream,
		Tried:             make(map[ident.Endpoint]bool),
		MayHaveRun:        make(map[ident.Endpoint]bool),
		BeginAttempt:      func() *ledger.Attempt { return g.config.Ledger.BeginAttempt(exchange.customer.Partner) },
		Recheck:           func() *refusal.Error { return g.recheck(exchange) },
	}
	if exchange.needsClaim() {
		return g.sendWithClaim(ctx, exchange, call)
	}
	return g.sendWithRetries(ctx, exchange, call)
}

// sendWithRetries sends a request and retries it if the response was interrupted before the caller got any of it.
//
// Only requests of idempotent classes are retried, within the dispatcher's retry budget.
func (g *Gateway) sendWithRetries(ctx context.Context, exchange *Exchange, call dispatch.Call) *refusal.Error {
	if failure := g.checkFreshness(); failure != nil {
		return failure
	}
	var last *refusal.Error
	for {
		failure, retryable := g.sendOnce(ctx, exchange, call)
		if failure != nil {
			failure = dispatch.FinalFailure(last, failure)
			last = failure
		}
		if failure == nil || !retryable || ctx.Err() != nil || g.checkFreshness() != nil || !g.config.Dispatcher.TakeRetry(call) {
			return failure
		}
		g.record("answer_repeated", exchange, failure.Error())
		call.FirstByteDeadline = time.Now().Add(exchange.class.FirstToken())
	}
}

// sendOnce sends a request once and relays its response.
//
// If it fails, retryable says whether the response was interrupted before any of it was written to the caller.
func (g *Gateway) sendOnce(ctx context.Context, exchange *Exchange, call dispatch.Call) (failure *refusal.Error, retryable bool) {
	response, failure := g.config.Dispatcher.Send(ctx, call)
	if failure != nil {
		return failure, false
	}
	defer response.Close()
	kept := g.config.Responses.OpenResponse(string(exchange.pool.ID), func() {})
	defer kept.Close()
	relay := &relay{gateway: g, exchange: exchange, response: response, kept: kept}
	failure = relay.run(ctx)
	call.MayHaveRun[response.Endpoint.Configuration.ID] = true
	return failure, true
}

func (g *Gateway) newOpenFrame(exchange *Exchange) *link.Open {
	open := &link.Open{
		Request:      exchange.ID,
		Customer:     exchange.customer.ID,
		Class:        exchange.class.ID,
		Tier:         exchange.class.Tier,
		Method:       exchange.request.Method,
		Path:         exchange.request.URL.EscapedPath(),
		Query:        exchange.request.URL.RawQuery,
		Header:       forwardedHeader(exchange.request.Header),
		Body:         exchange.body,
		Idempotent:   exchange.class.Idempotent,
		DeadlineMS:   max(time.Until(exchange.Started.Add(exchange.class.Deadline())).Milliseconds(), 0),
		Weight:       exchange.customer.Weight,
		FloorPercent: exchange.class.FloorPercent,
		Version:      exchange.snapshot.Version(),
	}
	open.Digest = suspect.NewDigest(open.Customer, claim.RequestDigest(open))
	return open
}
