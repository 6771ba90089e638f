// Package forward is the router's HTTP handler: it authorizes a caller's request, sends it to a server of the route's service,
// retries it where that is safe, and relays the response.
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
	"vanillapond/internal/process/origin"
	"vanillapond/internal/process/quarantine"
	"vanillapond/internal/request/admission"
	"vanillapond/internal/request/fairshare"
	"vanillapond/internal/request/placement"
	"vanillapond/internal/request/retry"
	"vanillapond/internal/version/routes"
	"vanillapond/pkg/ident"
	"vanillapond/platform"
)

// Request timeouts.
const (
	// defaultTimeout is the timeout of requests without a deadline header.
	defaultTimeout = 30 * time.Second
	// minRemaining is the least remaining time with which a request is still sent to a server: a round trip within a region
	// and a short execution.
	minRemaining = 10 * time.Millisecond
)

// UsageCounter counts, per customer, the requests that started to run.
type UsageCounter interface {
	RequestStarted(customer ident.Customer)
}

// Suspects tracks requests that may crash the servers they run on, by the digest of the request.
type Suspects interface {
	// Blocked reports whether so many servers were lost while they ran the request that it must be refused.
	Blocked(now time.Time, digest uint64) bool
	// RecordLoss records that the connection to a server broke while the server ran the request.
	RecordLoss(now time.Time, digest uint64, server ident.Endpoint)
	// Clear removes the recorded losses of a request that got a complete response, which shows that it did not cause them.
	Clear(digest uint64)
}

// Origins knows at which software versions streams began, also those that began at other instances.
type Origins interface {
	// Begin records that a stream began, or goes on, at this instance.
	Begin(stream origin.Origin)
	// Find returns where a stream began, false if that is not certain. A stream that is not known may have begun only at the given service. It
	// may ask other instances for a short time.
	Find(ctx context.Context, stream ident.Request, service ident.Pool) (origin.Origin, bool)
}

// Config holds the dependencies and limits of a Forwarder.
type Config struct {
	Domain  ident.FailureDomain
	Current *routes.Current
	Servers *servers.Registry
	// Balancer returns the balancer that picks the servers of a service.
	Balancer func(ident.Pool) *placement.Balancer
	// Admission returns the priority admission control of a service's requests.
	Admission func(ident.Pool) *admission.Controller
	// Shares returns what shares a load-aware engine service between its customers, and Instances the number of router instances, 0 if it is
	// not known; nil for Shares means that customers have no shares.
	Shares    func(ident.Pool) *fairshare.Controller
	Instances func() int
	// Budget returns the retry budget of a service.
	Budget   func(ident.Pool) *retry.Budget
	Suspects Suspects
	// Quarantine holds the prompt parts that crash servers; nil means one of its own.
	Quarantine *quarantine.Registry
	// HasCrashed reports whether a server to which a connection broke, for this cause, has crashed. It may take a second. nil means that
	// no server does.
	HasCrashed func(server *servers.Server, cause error) bool
	Usage      UsageCounter
	// Origins holds where streams began.
	Origins Origins
	// MaxKeyAge returns the greatest age of the configuration at which a key that it lists is still accepted, because the key may
	// have been withdrawn since.
	MaxKeyAge func() time.Duration
	// MaxDenyAge returns the greatest age of the configuration at which a request is denied for an unknown route or key, because
	// either may have been added since.
	MaxDenyAge func() time.Duration
	// Observe is called once at the end of each request.
	Observe func(Record)
	// OnInvalidPause receives the error of a server's response that asks for an invalid pause, OnInvalidLimit that of one that names an
	// invalid rate limit, and OnInvalidLoad that of one with an invalid load; those that are nil are not called.
	OnInvalidPause, OnInvalidLimit, OnInvalidLoad func(server ident.Endpoint, err error)
	// Now reads a clock that advances while the machine is suspended; nil means clock.Boot.
	Now func() clock.Reading
}

// Forwarder is an http.Handler that forwards requests to servers.
type Forwarder struct{ config Config }

// New returns a forwarder.
func New(config Config) *Forwarder {
	if config.Now == nil {
		config.Now = clock.Boot
	}
	if config.Quarantine == nil {
		config.Quarantine = quarantine.New(quarantine.Config{})
	}
	if config.HasCrashed == nil {
		config.HasCrashed = func(*servers.Server, error) bool { return false }
	}
	for _, report := range []*func(ident.Endpoint, error){&config.OnInvalidPause, &config.OnInvalidLimit, &config.OnInvalidLoad} {
		if *report == nil {
			*report = func(ident.Endpoint, error) {}
		}
	}
	return &Forwarder{config: config}
}

// Record describes a finished request for logs and metrics.
type Record struct {
	ID string
	// Host and Path are those of the request, truncated to a bounded length; Path has no query.
	Host, Path string
	// Route is empty if none matched.
	Route    string
	Service  ident.Pool
	Customer ident.Customer
	Priority routes.Priority
	Version  ident.Version
	// ConfigAge is the age of the configuration at the admission of the request: the time since Version was last confirmed.
	ConfigAge time.Duration
	// Outcome is one of served, passed, refused, denied, failed, cut and left; see the outcome constants.
	Outcome string
	// Reason says why the request was not served; it is a metric label, so it has few values.
	Reason string
	Status int
	// Attempts lists the attempts in order. If admission control refused the request after a server was picked, this is the last
	// one, with the outcome Unsent.
	Attempts []Attempt
	// TimeToFirstByte is the time until the first bytes of the response were available for the caller, 0 if there were none;
	// Duration is the time until the request ended.
	TimeToFirstByte, Duration time.Duration
	Objective                 time.Duration
	// ShareFraction is the customer's use in relation to its share of the service, 0 if the service was not short of capacity.
	ShareFraction float64
	// Parts are the ids of the first shared parts of the prompt, at most maxLoggedParts.
	Parts []quarantine.Part
	// QuarantinedPart is the part for which the request was refused, or let through as a trial; 0 if it has none.
	QuarantinedPart quarantine.Part
	// Key is the digest of a key that is not valid, and Withdrawal what is known of it; empty for other requests.
	Key        routes.KeyDigest
	Withdrawal routes.Withdrawal
	// Resumes is the id of the caller's request that began the stream which this one takes up; empty if it takes up none.
	Resumes string
	// LongestPause is the longest time between two events of a stream, and MaxPause the route's limit for it.
	LongestPause, MaxPause time.Duration
}

// Unsent is the outcome of an attempt whose server was picked, but admission control then refused the request.
const Unsent = "unsent"

// Attempt is one attempt to run a request on a server.
type Attempt struct {
	Choice placement.Choice
	// Software is the version of the server's software; empty if the request was not sent.
	Software ident.Software
	Outcome  string
	Duration time.Duration
	// Cause is why the server's connection broke, nil if it did not.
	Cause error
}

// call is the state of one request while it is handled.
type call struct {
	forwarder *Forwarder
	writer    http.ResponseWriter
	request   *http.Request
	// ctx is canceled when the caller disconnects or the deadline passes.
	ctx     context.Context //nolint:containedctx // The call has the lifetime of the request.
	arrived time.Time
	// deadline is the earlier of the caller's deadline and the route's timeout.
	deadline time.Time
	route    *platform.Route
	service  ident.Pool
	customer *platform.Customer
	key      string
	body     []byte
	prompt   platform.Prompt
	query    placement.Query
	digest   uint64
	// parts are the parts of the prompt that other requests may share.
	parts []quarantine.Part
	// trial is set for a request that is let through although one of its parts is quarantined.
	trial  bool
	record Record
	// headWritten is set once the status line and headers of a response were written to the caller.
	headWritten bool
	// mayHaveRun is set once a server may have run the request.
	mayHaveRun bool
	// breakCause is why the connection of the current attempt broke, nil if it did not.
	breakCause error
	// attemptAt is when the current attempt began.
	attemptAt time.Time
	// sentAt is when the current attempt was about to be sent.
	sentAt clock.Reading
	// firstEventAt is when the first event came from the server of the current attempt, zero before.
	firstEventAt time.Time
	// startCounted is set once the request was counted as started.
	startCounted bool
	// reachedServer is set once a server got the request, or may have got it, whatever it did with it.
	reachedServer bool
	// serversTried counts the servers that got the request or may have got it.
	serversTried int
	// lastEventID is the id of the last event that was relayed to the caller.
	lastEventID string
	// lastEventHasID means that the last event that was relayed is the one with lastEventID.
	lastEventHasID bool
	lastEventAt    time.Time
	// begun is set once the caller has an event of the stream, and software is then the version of the software of the server that sent
	// its first event: events of different versions don't fit together.
	begun    bool
	software ident.Software
	// stream is the id of the caller's request that brought the first event; empty if it is not known.
	stream ident.Request
	// shares is where the request was counted as admitted at sharedAt, nil if it was not, and shareRequest how. awaitsEvent is set until its first
	// event has arrived.
	shares       *fairshare.Controller
	sharedAt     time.Time
	shareRequest fairshare.Request
	awaitsEvent  bool
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{forwarder: f, writer: w, request: r, arrived: time.Now(), record: Record{
		ID: r.Header.Get(platform.HeaderRequestID), Host: truncate(r.Host), Path: truncate(r.URL.EscapedPath()),
		Resumes: truncate(r.Header.Get(platform.HeaderResumes)),
	}}
	defer func() {
		c.record.Duration = time.Since(c.arrived)
		f.config.Observe(c.record)
		if c.record.Outcome == outcomeTruncated {
			// Aborts the connection without the end of the response, so that the caller can't take it for complete.
			panic(http.ErrAbortHandler)
		}
	}()
	if len(r.TransferEncoding) > 0 {
		// Guards against request smuggling: an intermediary that frames a chunked body in another way may take the bytes after
		// it for another request.
		w.Header().Set("Connection", "close")
	}
	if refused := c.admit(); refused != nil {
		c.refuse(refused)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	c.ctx = ctx
	refused := c.findOrigin()
	if refused == nil {
		refused = c.admitToService()
	}
	if refused != nil {
		c.refuse(refused)
	} else {
		c.run()
	}
	c.endShare()
	c.endTrial()
}

// maxLogged bounds each value from the caller that goes into a log line, in bytes.
const maxLogged = 120

func truncate(text string) string { return text[:min(len(text), maxLogged)] }

// admit reads and checks the request and determines its route, service, customer, priority and deadline.
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
	c.record.Priority = table.Priority(c.route, c.customer)
	c.prepareQuery()
	if c.customer != nil {
		c.record.Customer = c.customer.Name
	}
	c.record.Route, c.record.Service, c.record.Objective = c.route.Name, c.service, c.route.Objective.Duration()
	c.record.MaxPause = c.route.MaxPause.Duration()
	return nil
}

// admitToService counts the request for the retry budget of its service, and refuses it if it may crash servers.
func (c *call) admitToService() *refusal {
	c.forwarder.config.Budget(c.service).RecordRequest(c.arrived)
	if c.forwarder.config.Suspects.Blocked(c.arrived, c.digest) {
		return unavailable("request crashed servers before", suspectRetryAfter)
	}
	return c.admitParts()
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

// readBody reads the complete body into memory, so that the request can be retried.
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
	// A body that arrives after the deadline is of no use. The read deadline is cleared afterwards, because net/http then reads
	// from the connection to detect that the caller disconnects.
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
		// net/http detects that the caller disconnects only after the body was read to EOF.
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

// defaultMaxBody bounds the body in bytes if the configuration sets no limit.
const defaultMaxBody = 8 << 20

// authorize determines the route and the customer from the newest configuration. It runs again before each attempt, because
// the configuration may have changed since.
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
		c.record.Key = routes.Digest(c.key)
		c.record.Withdrawal, _ = table.Withdrawal(c.record.Key)
		return deny(http.StatusUnauthorized, "no such key")
	}
	c.customer = customer
	return nil
}

// routesTo reports whether the route sends requests to the service.
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

// callerTimeout returns how long the caller waits for the response, from the arrival of the request.
func (c *call) callerTimeout() time.Duration {
	if timeout, stated := platform.Deadline(c.request.Header); stated {
		return timeout
	}
	return defaultTimeout
}

// setDeadline sets the deadline from the caller's timeout and the route's.
func (c *call) setDeadline() {
	remaining := c.callerTimeout()
	if timeout := c.route.Timeout.Duration(); timeout > 0 {
		remaining = min(remaining, timeout)
	}
	c.deadline = c.arrived.Add(remaining)
}

// prepareQuery computes the request's digest and the properties by which a server is picked.
func (c *call) prepareQuery() {
	c.query = placement.Query{Objective: c.route.Objective.Duration(), MaxPause: c.route.MaxPause.Duration()}
	table := c.forwarder.config.Current.Table()
	service := table.Service(c.service)
	if prompt, ok := platform.ParsePrompt(c.request.Header); ok && service != nil && service.Engine != nil {
		c.prompt = prompt
		c.query.Engine = true
		c.query.Prompt = prompt.Tokens
		c.query.Output = expectedOutput(prompt)
		c.query.Parts = hashPrefixes(prompt.Parts)
		c.query.PriorityLevel = placement.PriorityLevel(min(max(int(c.record.Priority), 0), placement.PriorityLevels-1))
	}
	c.digest = requestDigest(c.request.Method, c.request.RequestURI, c.key, c.body)
}

// expectedOutput returns the expected length of the response in tokens; without a hint this is the maximum.
func expectedOutput(prompt platform.Prompt) ident.Tokens {
	if prompt.ExpectedOutput > 0 {
		return min(prompt.ExpectedOutput, prompt.MaxOutput)
	}
	return prompt.MaxOutput
}

// enginePriority returns the header value of the request's priority for an engine.
func (c *call) enginePriority() string {
	return strconv.Itoa(min(max(int(c.record.Priority), platform.HighestPriority), platform.LowestPriority))
}
