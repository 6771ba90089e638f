// Package forward takes a caller's request to a server of its route and brings back the answer.
package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"vanillapond/internal/connection/servers"
	"vanillapond/internal/process/clock"
	"vanillapond/internal/request/admission"
	"vanillapond/internal/request/placement"
	"vanillapond/internal/request/repeat"
	"vanillapond/internal/version/routes"
	"vanillapond/pkg/ident"
	"vanillapond/platform"
)

// Times of requests.
const (
	// defaultTimeout is how long a caller waits who does not say.
	defaultTimeout = 30 * time.Second
	// minRemaining is the least time for which a request is still sent: a round trip within a region and a little work.
	minRemaining = 10 * time.Millisecond
)

// UsageCounter counts requests that began to run.
type UsageCounter interface {
	RequestStarted(customer ident.Customer)
}

// Suspects knows requests that crash servers.
type Suspects interface {
	// Blocked reports whether a request has crashed so many servers that it goes nowhere.
	Blocked(now time.Time, digest uint64) bool
	// RecordLoss notes that a server broke off while it ran the request.
	RecordLoss(now time.Time, digest uint64, server ident.Endpoint)
	// Clear notes that the request got a whole answer, so that it is not to blame.
	Clear(digest uint64)
}

// Config says what a forwarder works with.
type Config struct {
	Domain  ident.FailureDomain
	Current *routes.Current
	Servers *servers.Registry
	// Balancer returns what is known of the work of a service's servers.
	Balancer func(ident.Pool) *placement.Balancer
	// Admission returns what the ranks of a service's requests owe each other.
	Admission func(ident.Pool) *admission.Controller
	// Budget returns the budget of repeats to a service.
	Budget   func(ident.Pool) *repeat.Budget
	Suspects Suspects
	Usage    UsageCounter
	// MaxKeyAge is how old the knowledge of the configuration may be where a key is trusted.
	MaxKeyAge func() time.Duration
	// MaxDenyAge is how old it may be where a caller is told that a route or key does not exist.
	MaxDenyAge func() time.Duration
	// Observe is told of each ended request.
	Observe func(Record)
	// Now reads a clock that counts suspended time; nil means clock.Boot.
	Now func() clock.Reading
}

// Forwarder is an http.Handler.
type Forwarder struct{ config Config }

// New returns a forwarder.
func New(config Config) *Forwarder {
	if config.Now == nil {
		config.Now = clock.Boot
	}
	return &Forwarder{config: config}
}

// Record is what became of a request.
type Record struct {
	ID string
	// Host and Path are what the caller asked for, cut to a bounded length; the path has no query.
	Host, Path string
	// Route is empty where none was found.
	Route    string
	Service  ident.Pool
	Customer ident.Customer
	Priority routes.Rank
	Version  ident.Version
	// ConfigAge is how old the knowledge of the version was when the request was admitted.
	ConfigAge time.Duration
	// Outcome is served, passed, refused, denied, failed, cut or left.
	Outcome string
	// Reason says why, in a few words.
	Reason string
	Status int
	// Attempts says to which servers the request went.
	Attempts []Attempt
	// TimeToFirstByte is the time to the first bytes for the caller, 0 where there were none; Took is the time to the end.
	TimeToFirstByte, Duration time.Duration
	Objective                 time.Duration
	// LongestPause is the longest time between two events of a stream, and MaxPause what the route allows.
	LongestPause, MaxPause time.Duration
}

// Unsent is the outcome of a choice after which the request was refused instead of sent.
const Unsent = "unsent"

// Attempt is one send of a request to a server.
type Attempt struct {
	Choice   placement.Choice
	Outcome  string
	Duration time.Duration
}

// call is one request on its way.
type call struct {
	forwarder *Forwarder
	writer    http.ResponseWriter
	request   *http.Request
	// ctx ends when the caller leaves or the time is up.
	ctx     context.Context //nolint:containedctx // It lives as long as the request.
	arrived time.Time
	// deadline is when the caller or the route gives up.
	deadline time.Time
	route    *platform.Route
	service  ident.Pool
	customer *platform.Customer
	key      string
	body     []byte
	prompt   platform.Prompt
	query    placement.Query
	digest   uint64
	record   Record
	// headWritten says that the head of an answer was written.
	headWritten bool
	// mayHaveRun says that a server may have run the request.
	mayHaveRun bool
	// startCounted says that the request was counted as begun.
	startCounted bool
	// serversTried counts the servers to which the request was sent.
	serversTried int
	// lastEventID is the id of the last event that was passed on.
	lastEventID string
	lastEventAt time.Time
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{forwarder: f, writer: w, request: r, arrived: time.Now(), record: Record{
		ID: r.Header.Get(platform.HeaderRequest), Host: truncate(r.Host), Path: truncate(r.URL.EscapedPath()),
	}}
	defer func() {
		c.record.Duration = time.Since(c.arrived)
		f.config.Observe(c.record)
		if c.record.Outcome == outcomeTruncated {
			// The connection ends without the end of the answer, so that the answer does not look whole.
			panic(http.ErrAbortHandler)
		}
	}()
	if len(r.TransferEncoding) > 0 {
		// Bytes after a body in chunks may be meant as another request by a caller that counts otherwise.
		w.Header().Set("Connection", "close")
	}
	if refused := c.admit(); refused != nil {
		c.refuse(refused)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	c.ctx = ctx
	c.run()
}

// maxLogged bounds, in bytes, what a caller can put into a log line.
const maxLogged = 120

func truncate(text string) string { return text[:min(len(text), maxLogged)] }

// admit reads the request and finds its route, customer and time.
func (c *call) admit() *refusal {
	table := c.forwarder.config.Current.Table()
	if table == nil {
		return unavailable("no configuration yet", time.Second)
	}
	limits := table.Limits()
	c.record.Version = table.Version()
	c.record.ConfigAge = c.forwarder.config.Current.Age(c.forwarder.config.Now())
	if refused := c.checkHeaders(limits); refused != nil {
		return refused
	}
	if refused := c.readBody(limits); refused != nil {
		return refused
	}
	if refused := c.authorize(); refused != nil {
		return refused
	}
	c.setDeadline()
	c.record.Priority = table.Rank(c.route, c.customer)
	c.prepareQuery()
	if c.customer != nil {
		c.record.Customer = c.customer.Name
	}
	c.record.Route, c.record.Service, c.record.Objective = c.route.Name, c.service, c.route.Objective.Duration()
	c.record.MaxPause = c.route.MaxPause.Duration()
	c.forwarder.config.Budget(c.service).RecordRequest(c.arrived)
	if c.forwarder.config.Suspects.Blocked(c.arrived, c.digest) {
		return unavailable("request crashed servers before", suspectRetryAfter)
	}
	return nil
}

func (c *call) checkHeaders(limits platform.Limits) *refusal {
	size := len(c.request.RequestURI) + len(c.request.Host)
	for name, values := range c.request.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	if limits.HeaderBytes > 0 && size > limits.HeaderBytes {
		return deny(http.StatusRequestHeaderFieldsTooLarge, "head is larger than allowed")
	}
	key, ok := platform.Key(c.request.Header)
	if !ok {
		return deny(http.StatusBadRequest, "more than one key or a malformed one")
	}
	c.key = key
	return nil
}

// readBody reads the whole body, so that it can be sent again.
func (c *call) readBody(limits platform.Limits) *refusal {
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if c.request.ContentLength > limit {
		return deny(http.StatusRequestEntityTooLarge, "body is larger than allowed")
	}
	if c.request.ContentLength == 0 {
		return nil
	}
	// A body that is not in when the caller gives up is of no use; later reads watch for the caller leaving.
	control := http.NewResponseController(c.writer)
	_ = control.SetReadDeadline(c.arrived.Add(c.callerTimeout()))
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	var err error
	if c.request.ContentLength > 0 {
		c.body = make([]byte, c.request.ContentLength)
		_, err = io.ReadFull(c.request.Body, c.body)
	} else {
		c.body, err = io.ReadAll(http.MaxBytesReader(c.writer, c.request.Body, limit))
	}
	if err == nil {
		// Reading to the end lets the server watch for the caller leaving.
		_, err = c.request.Body.Read(make([]byte, 1))
		if errors.Is(err, io.EOF) {
			return nil
		}
	}
	if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
		return deny(http.StatusRequestEntityTooLarge, "body is larger than allowed")
	}
	return deny(http.StatusBadRequest, "body is not whole")
}

// defaultMaxBody bounds a body where the configuration does not.
const defaultMaxBody = 8 << 20

// authorize finds the route and the customer by the newest configuration; it is asked again before each send.
func (c *call) authorize() *refusal {
	config := c.forwarder.config
	age := config.Current.Age(config.Now())
	table := config.Current.Table()
	route := table.Match(c.request.Host, c.request.URL.EscapedPath())
	if route == nil {
		if age > config.MaxDenyAge() {
			return unavailable("route is unknown and the configuration is old", time.Second)
		}
		return deny(http.StatusNotFound, "no such route")
	}
	if c.route == nil || route.Name != c.route.Name || !routesTo(route, c.service) {
		c.service = routes.Pick(route)
	}
	c.route = route
	c.customer = nil
	if !table.NeedsKey(route) {
		return nil
	}
	customer := table.Customer(c.key)
	switch {
	case customer == nil && age > config.MaxDenyAge(), customer != nil && age > config.MaxKeyAge():
		return unavailable("keys cannot be checked while the configuration is old", time.Second)
	case customer == nil:
		return deny(http.StatusUnauthorized, "no such key")
	}
	c.customer = customer
	return nil
}

// routesTo reports whether a service may still get a route's requests.
func routesTo(route *platform.Route, service ident.Pool) bool {
	if len(route.Split) == 0 {
		return route.Service == service
	}
	for _, share := range route.Split {
		if share.Service == service && share.Weight > 0 {
			return true
		}
	}
	return false
}

// callerTimeout returns how long the caller waits, from the arrival of the request.
func (c *call) callerTimeout() time.Duration {
	if timeout, stated := platform.Deadline(c.request.Header); stated {
		return timeout
	}
	return defaultTimeout
}

// setDeadline sets when the request is given up.
func (c *call) setDeadline() {
	remaining := c.callerTimeout()
	if timeout := c.route.Timeout.Duration(); timeout > 0 {
		remaining = min(remaining, timeout)
	}
	c.deadline = c.arrived.Add(remaining)
}

// prepareQuery works out what the choice of a server needs to know.
func (c *call) prepareQuery() {
	c.query = placement.Query{Objective: c.route.Objective.Duration(), MaxPause: c.route.MaxPause.Duration()}
	table := c.forwarder.config.Current.Table()
	service := table.Service(c.service)
	if prompt, ok := platform.ParsePrompt(c.request.Header); ok && service != nil && service.Engine != nil {
		c.prompt = prompt
		c.query.Engine = true
		c.query.Prompt = prompt.Tokens
		c.query.Output = expectedOutput(prompt)
		c.query.Parts = chainParts(prompt.Parts)
		c.query.PriorityLevel = placement.PriorityLevel(min(max(int(c.record.Priority), 0), placement.PriorityLevels-1))
	}
	c.digest = requestDigest(c.request.Method, c.request.RequestURI, c.key, c.body)
}

// expectedOutput returns how long the answer will likely be.
func expectedOutput(prompt platform.Prompt) ident.Tokens {
	if prompt.ExpectedOutput > 0 {
		return min(prompt.ExpectedOutput, prompt.MaxOutput)
	}
	return prompt.MaxOutput
}

// enginePriority returns the rank of the request at an engine.
func (c *call) enginePriority() string {
	return strconv.Itoa(min(max(int(c.record.Priority), platform.MostUrgent), platform.LeastUrgent))
}
