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
	// defaultDeadline is how long a caller waits who does not say.
	defaultDeadline = 30 * time.Second
	// minLeft is the least time for which a request is still sent: a round trip within a region and a little work.
	minLeft = 10 * time.Millisecond
)

// Usage counts requests that began to run.
type Usage interface {
	Began(customer ident.Customer)
}

// Suspects knows requests that crash servers.
type Suspects interface {
	// Fatal reports whether a request has crashed so many servers that it goes nowhere.
	Fatal(now time.Time, digest uint64) bool
	// Lost notes that a server broke off while it ran the request.
	Lost(now time.Time, digest uint64, server ident.Endpoint)
	// Served notes that the request got a whole answer, so that it is not to blame.
	Served(digest uint64)
}

// Config says what a forwarder works with.
type Config struct {
	Domain  ident.FailureDomain
	Current *routes.Current
	Servers *servers.Registry
	// Board returns what is known of the work of a service's servers.
	Board func(ident.Pool) *placement.Balancer
	// Precedence returns what the ranks of a service's requests owe each other.
	Precedence func(ident.Pool) *admission.Controller
	// Budget returns the budget of repeats to a service.
	Budget   func(ident.Pool) *repeat.Budget
	Suspects Suspects
	Usage    Usage
	// KeyAge is how old the knowledge of the configuration may be where a key is trusted.
	KeyAge func() time.Duration
	// DenyAge is how old it may be where a caller is told that a route or key does not exist.
	DenyAge func() time.Duration
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
	Rank     routes.Rank
	Version  ident.Version
	// ConfigAge is how old the knowledge of the version was when the request was admitted.
	ConfigAge time.Duration
	// Outcome is served, passed, refused, denied, failed, cut or left.
	Outcome string
	// Reason says why, in a few words.
	Reason string
	Status int
	// Sends says to which servers the request went.
	Sends []Sent
	// First is the time to the first bytes for the caller, 0 where there were none; Took is the time to the end.
	First, Took time.Duration
	Objective   time.Duration
	// Pause is the longest time between two events of a stream, and MaxPause what the route allows.
	Pause, MaxPause time.Duration
}

// Unsent is the outcome of a choice after which the request was refused instead of sent.
const Unsent = "unsent"

// Sent is one send of a request to a server.
type Sent struct {
	Choice  placement.Choice
	Outcome string
	Took    time.Duration
}

// call is one request on its way.
type call struct {
	forwarder *Forwarder
	writer    http.ResponseWriter
	request   *http.Request
	// ctx ends when the caller leaves or the time is up.
	ctx     context.Context //nolint:containedctx // It lives as long as the request.
	arrived time.Time
	// until is when the caller or the route gives up.
	until    time.Time
	route    *platform.Route
	service  ident.Pool
	customer *platform.Customer
	key      string
	body     []byte
	prompt   platform.Prompt
	query    placement.Query
	digest   uint64
	record   Record
	// committed says that the head of an answer was written.
	committed bool
	// ran says that a server may have run the request.
	ran bool
	// counted says that the request was counted as begun.
	counted bool
	// servers counts the servers to which the request was sent.
	servers int
	// lastEvent is the id of the last event that was passed on.
	lastEvent   string
	lastEventAt time.Time
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{forwarder: f, writer: w, request: r, arrived: time.Now(), record: Record{
		ID: r.Header.Get(platform.HeaderRequest), Host: shorten(r.Host), Path: shorten(r.URL.EscapedPath()),
	}}
	defer func() {
		c.record.Took = time.Since(c.arrived)
		f.config.Observe(c.record)
		if c.record.Outcome == outcomeCut {
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
	ctx, cancel := context.WithDeadline(r.Context(), c.until)
	defer cancel()
	c.ctx = ctx
	c.run()
}

// maxLogged bounds, in bytes, what a caller can put into a log line.
const maxLogged = 120

func shorten(text string) string { return text[:min(len(text), maxLogged)] }

// admit reads the request and finds its route, customer and time.
func (c *call) admit() *refusal {
	known := c.forwarder.config.Current.Table()
	if known == nil {
		return retryLater("no configuration yet", time.Second)
	}
	limits := known.Limits()
	c.record.Version = known.Version()
	c.record.ConfigAge = c.forwarder.config.Current.Age(c.forwarder.config.Now())
	if refused := c.checkHead(limits); refused != nil {
		return refused
	}
	if refused := c.readBody(limits); refused != nil {
		return refused
	}
	if refused := c.authorize(); refused != nil {
		return refused
	}
	c.bound()
	c.record.Rank = known.Rank(c.route, c.customer)
	c.describe()
	if c.customer != nil {
		c.record.Customer = c.customer.Name
	}
	c.record.Route, c.record.Service, c.record.Objective = c.route.Name, c.service, c.route.Objective.Duration()
	c.record.MaxPause = c.route.MaxPause.Duration()
	c.forwarder.config.Budget(c.service).RecordRequest(c.arrived)
	if c.forwarder.config.Suspects.Fatal(c.arrived, c.digest) {
		return retryLater("request crashed servers before", suspectRetry)
	}
	return nil
}

func (c *call) checkHead(limits platform.Limits) *refusal {
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
		limit = maxBody
	}
	if c.request.ContentLength > limit {
		return deny(http.StatusRequestEntityTooLarge, "body is larger than allowed")
	}
	if c.request.ContentLength == 0 {
		return nil
	}
	// A body that is not in when the caller gives up is of no use; later reads watch for the caller leaving.
	control := http.NewResponseController(c.writer)
	_ = control.SetReadDeadline(c.arrived.Add(c.patience()))
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

// maxBody bounds a body where the configuration does not.
const maxBody = 8 << 20

// authorize finds the route and the customer by the newest configuration; it is asked again before each send.
func (c *call) authorize() *refusal {
	config := c.forwarder.config
	age := config.Current.Age(config.Now())
	known := config.Current.Table()
	route := known.Match(c.request.Host, c.request.URL.EscapedPath())
	if route == nil {
		if age > config.DenyAge() {
			return retryLater("route is unknown and the configuration is old", time.Second)
		}
		return deny(http.StatusNotFound, "no such route")
	}
	if c.route == nil || route.Name != c.route.Name || !serves(route, c.service) {
		c.service = routes.Pick(route)
	}
	c.route = route
	c.customer = nil
	if !known.NeedsKey(route) {
		return nil
	}
	customer := known.Customer(c.key)
	switch {
	case customer == nil && age > config.DenyAge(), customer != nil && age > config.KeyAge():
		return retryLater("keys cannot be checked while the configuration is old", time.Second)
	case customer == nil:
		return deny(http.StatusUnauthorized, "no such key")
	}
	c.customer = customer
	return nil
}

// serves reports whether a service may still get a route's requests.
func serves(route *platform.Route, service ident.Pool) bool {
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

// patience returns how long the caller waits, from the arrival of the request.
func (c *call) patience() time.Duration {
	if left, stated := platform.Deadline(c.request.Header); stated {
		return left
	}
	return defaultDeadline
}

// bound sets when the request is given up.
func (c *call) bound() {
	left := c.patience()
	if timeout := c.route.Timeout.Duration(); timeout > 0 {
		left = min(left, timeout)
	}
	c.until = c.arrived.Add(left)
}

// describe works out what the choice of a server needs to know.
func (c *call) describe() {
	c.query = placement.Query{Objective: c.route.Objective.Duration(), MaxPause: c.route.MaxPause.Duration()}
	known := c.forwarder.config.Current.Table()
	service := known.Service(c.service)
	if prompt, ok := platform.ParsePrompt(c.request.Header); ok && service != nil && service.Engine != nil {
		c.prompt = prompt
		c.query.Engine = true
		c.query.Prompt = prompt.Tokens
		c.query.Output = expectedOutput(prompt)
		c.query.Parts = chain(prompt.Parts)
		c.query.PriorityLevel = placement.PriorityLevel(min(max(int(c.record.Rank), 0), placement.PriorityLevels-1))
	}
	c.digest = digest(c.request.Method, c.request.RequestURI, c.key, c.body)
}

// expectedOutput returns how long the answer will likely be.
func expectedOutput(prompt platform.Prompt) ident.Tokens {
	if prompt.ExpectedOutput > 0 {
		return min(prompt.ExpectedOutput, prompt.MaxOutput)
	}
	return prompt.MaxOutput
}

// urgency returns the rank of the request at an engine.
func (c *call) urgency() string {
	return strconv.Itoa(min(max(int(c.record.Rank), platform.MostUrgent), platform.LeastUrgent))
}
