// Package gateway takes callers' requests through the stages from key to answer.
package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"vanillapond/internal/connection/link"
	"vanillapond/internal/process/event"
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

// DefaultMaxBodySize is the greatest size of a request body, in bytes.
const DefaultMaxBodySize = 8 << 20

// DefaultBodyReadTimeout is how long a caller may take to send a body.
const DefaultBodyReadTimeout = 30 * time.Second

// Freshness says whether the configuration in force may still be trusted.
type Freshness interface {
	// Open reports whether keys may be taken now.
	Open() bool
}

// notReadyRetry is when coming back may help before the first configuration.
const notReadyRetry = time.Second

// Stage is one step on a request's way; it returns the final refusal, or nil to go on.
type Stage func(*Exchange) *refusal.Error

// Dispatcher sends a request to an endpoint.
type Dispatcher interface {
	Send(ctx context.Context, call dispatch.Call) (*dispatch.Response, *refusal.Error)
	// TakeRetry reports whether a request whose answer broke off may run again.
	TakeRetry(call dispatch.Call) bool
	// RecordSuccess notes a whole answer.
	RecordSuccess()
}

// Config says what a gateway works with.
type Config struct {
	Snapshots  *snapshot.Holder
	Dispatcher Dispatcher
	Ledger     *ledger.Ledger
	Events     *event.Recorder
	// Freshness is asked before a key is taken; nil means that keys are always taken.
	Freshness Freshness
	// Meter counts requests for scaling; nil means that none are counted.
	Meter *scaling.Meter
	// Metrics counts ended requests; nil means that nobody reads the counters.
	Metrics *metrics.Metrics
	Claims  Claims
	// Entries returns how many live entries share the customers' limits; nil means that this is the only one.
	Entries func() int
	// MaxBodySize bounds request bodies, in bytes; 0 means DefaultMaxBody.
	MaxBodySize int64
	// BodyReadTimeout bounds how long a caller may take to send a body; 0 means DefaultBodyTime.
	BodyReadTimeout time.Duration
}

// Gateway is the callers' API.
type Gateway struct {
	config Config
	// running holds the requests of each key.
	running *withdrawal.Registry
	// stages run in this order.
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
	g := &Gateway{config: config, running: withdrawal.New(config.Snapshots)}
	g.limits = limits{entries: config.Entries, table: limit.New()}
	g.stages = []Stage{g.authenticate, g.listModels, g.readBody, g.classify, g.limit, g.recheck, g.send}
	return g
}

// Exchange is one request and what the stages know of it.
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
	// held is the claim that the answer is bound to; nil without one.
	held *claim.Handle
	// answered says that the answer was written and no stage is left.
	answered bool
	// leave ends the key's hold on the request; nil before the key was taken.
	leave func()
	// giveBack returns the request to its customer's limits; nil before it was taken from them.
	giveBack func()
	result   result
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	exchange := &Exchange{ID: ident.Request(strings.ToLower(ulid.Make().String())), Started: time.Now(), writer: w, request: r}
	defer exchange.end()
	defer func() {
		if exchange.giveBack != nil {
			exchange.giveBack()
		}
	}()
	defer g.count(exchange)
	for _, stage := range g.stages {
		if failure := stage(exchange); failure != nil {
			g.refuse(exchange, failure)
			return
		}
		if exchange.answered {
			return
		}
	}
}

func (g *Gateway) refuse(exchange *Exchange, failure *refusal.Error) {
	if exchange.withdrawn() {
		failure = withdrawn(failure.NotRun)
	}
	failure = sendAway(failure, exchange.ID)
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
		recorded.Attributes = exchange.figures()
	}
	g.config.Events.Record(recorded)
}

// send hands the request to the dispatcher and relays the answer.
func (g *Gateway) send(exchange *Exchange) *refusal.Error {
	counted := g.config.Meter.Begin(exchange.pool.ID, exchange.class.Tier)
	defer func() { counted.End(exchange.attained()) }()
	ctx, cancel := context.WithDeadline(exchange.request.Context(), exchange.Started.Add(exchange.class.Deadline()))
	defer cancel()
	call := dispatch.Call{
		Open:              g.open(exchange),
		Pool:              exchange.pool.ID,
		FirstByteDeadline: exchange.Started.Add(exchange.class.FirstToken()),
		Prefix:            prefix(exchange.completion),
		Streamed:          exchange.completion.Stream,
		Tried:             make(map[ident.Endpoint]bool),
		MayHaveRun:        make(map[ident.Endpoint]bool),
		BeginAttempt:      func() *ledger.Attempt { return g.config.Ledger.BeginAttempt(exchange.customer.Partner) },
		Recheck:           func() *refusal.Error { return g.recheck(exchange) },
	}
	if exchange.claims() {
		return g.sendClaimed(ctx, exchange, call)
	}
	return g.sendCall(ctx, exchange, call)
}

// sendCall sends a request, again where an answer of an idempotent class broke off unseen.
func (g *Gateway) sendCall(ctx context.Context, exchange *Exchange, call dispatch.Call) *refusal.Error {
	if failure := g.fresh(); failure != nil {
		return failure
	}
	for {
		failure, repeat := g.try(ctx, exchange, call)
		if failure == nil || !repeat || ctx.Err() != nil || g.fresh() != nil || !g.config.Dispatcher.TakeRetry(call) {
			return failure
		}
		g.record("answer_repeated", exchange, failure.Error())
		call.FirstByteDeadline = time.Now().Add(exchange.class.FirstToken())
	}
}

// try sends a request once and relays its answer; repeat says that an answer broke off before its caller saw a part.
func (g *Gateway) try(ctx context.Context, exchange *Exchange, call dispatch.Call) (failure *refusal.Error, repeat bool) {
	answer, failure := g.config.Dispatcher.Send(ctx, call)
	if failure != nil {
		return failure, false
	}
	defer answer.Close()
	relay := &relay{gateway: g, exchange: exchange, answer: answer}
	failure = relay.run(ctx)
	call.MayHaveRun[answer.Endpoint.Configuration.ID] = true
	return failure, true
}

func (g *Gateway) open(exchange *Exchange) *link.Open {
	open := &link.Open{
		Request:      exchange.ID,
		Customer:     exchange.customer.ID,
		Class:        exchange.class.ID,
		Tier:         exchange.class.Tier,
		Method:       exchange.request.Method,
		Path:         exchange.request.URL.EscapedPath(),
		Query:        exchange.request.URL.RawQuery,
		Header:       passedHeader(exchange.request.Header),
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
