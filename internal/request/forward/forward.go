// Package forward is the router's HTTP handler. A request passes these stages, each in a file of its own: it is authorized (authorize.go), admitted
// or made to wait (wait.go), placed on a server (place.go), sent (send.go, which also retries it where that is safe), and its response is relayed
// (relay.go, stream.go).
package forward

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"vanillapond/internal/body"
	"vanillapond/internal/connection/servers"
	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/grace"
	"vanillapond/internal/process/holdings"
	"vanillapond/internal/process/origin"
	"vanillapond/internal/process/quarantine"
	"vanillapond/internal/request/admission"
	"vanillapond/internal/request/fairshare"
	"vanillapond/internal/request/placement"
	"vanillapond/internal/request/retry"
	"vanillapond/internal/request/servermodel"
	"vanillapond/internal/request/waiting"
	"vanillapond/internal/version/routes"
	"vanillapond/pkg/ident"
	"vanillapond/platform"
)

// minRemaining is the least remaining time with which a request is still sent to a server: a round trip within a region
// and a short execution.
const minRemaining = 10 * time.Millisecond

// UsageCounter counts, per customer, the requests that started to run.
type UsageCounter interface {
	RequestStarted(customer ident.Customer)
}

// Suspects tracks requests that may crash the servers they run on, by the digest of the request.
type Suspects interface {
	// Blocked reports whether so many servers were lost while they ran the request that it must be refused.
	Blocked(now time.Time, digest uint64) bool
	// RecordLoss records that a server crashed while it ran the request.
	RecordLoss(now time.Time, digest uint64, crash Crash)
	// Clear removes the recorded losses of a request that got a complete response, which shows that it did not cause them.
	Clear(digest uint64)
}

// Origins knows at which software versions streams began, also those that began at other instances.
type Origins interface {
	// Begin records that a stream began, or goes on, at this instance.
	Begin(stream origin.Origin)
	// Unstored returns the software versions of a service's servers of which instances that start anew would not know.
	Unstored(service ident.Pool) []ident.Software
	// Find returns where a stream began, false if that is not certain. A stream that is not known may have begun only at the given service. It
	// may ask other instances for a short time.
	Find(ctx context.Context, stream ident.Request, service ident.Pool) (origin.Origin, bool)
}

// Config holds the dependencies and limits of a Forwarder.
type Config struct {
	Domain ident.FailureDomain
	// Process is this instance.
	Process ident.Process
	Current *routes.Current
	Servers *servers.Registry
	// Balancer returns the balancer that picks the servers of a service.
	Balancer func(ident.Pool) *placement.Balancer
	// Admission returns the priority admission control of a service's requests.
	Admission func(ident.Pool) *admission.Controller
	// Waiting returns the queue of a load-aware service; nil means one queue for all services.
	Waiting func(ident.Pool) *waiting.Controller
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
	// PeersCurrent reports whether most other instances have a configuration that is new enough to accept keys; nil means that this is not known.
	PeersCurrent func() bool
	// Observe is called once at the end of each request.
	Observe func(Record)
	// OnInvalidPause receives the error of a server's response that asks for an invalid pause, OnInvalidLimit that of one that names an
	// invalid rate limit, and OnInvalidLoad that of one with an invalid load; those that are nil are not called.
	// OnInvalidLoad is called once per start of a server with a server model.
	OnInvalidPause, OnInvalidLimit, OnInvalidLoad func(server ident.Endpoint, err error)
	// OnFalseLoad receives each false load header of a server; nil is not called.
	OnFalseLoad func(server ident.Endpoint, finding servermodel.Finding)
	// Holdings bounds what all callers hold, and Responses what is kept of all servers' responses before it is passed on; nil bounds nothing.
	Holdings, Responses *holdings.Account
	// OnTooLong is called for each response that was given up because a head or an event of it did not end; nil is not called.
	OnTooLong func(server ident.Endpoint)
	// Grace is the period in which this instance stops; nil never begins.
	Grace *grace.Period
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
	if config.OnTooLong == nil {
		config.OnTooLong = func(ident.Endpoint) {}
	}
	if config.PeersCurrent == nil {
		config.PeersCurrent = func() bool { return false }
	}
	if config.Waiting == nil {
		queue := &waiting.Controller{}
		config.Waiting = func(ident.Pool) *waiting.Controller { return queue }
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
	// Waited is how long the request waited for capacity, and WaitOutcome why it stopped waiting, or why it did not wait; empty if it was sent, or
	// refused for another reason, at once.
	Waited      time.Duration
	WaitOutcome waiting.Outcome
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
	body     *body.Body
	prompt   platform.Prompt
	query    placement.Query
	digest   uint64
	// parts are the parts of the prompt that other requests may share.
	parts []quarantine.Part
	// trial is set for a request that is let through although one of its parts is quarantined.
	trial  bool
	record Record
	wait   waitState
	// headWritten is set once the status line and headers of a server's response were written to the caller, and responded once those of any were.
	headWritten, responded bool
	// headSent is headWritten for other goroutines.
	headSent atomic.Bool
	// mayHaveRun is set once a server may have run the request.
	mayHaveRun bool
	// kept is what is kept of the response to the current attempt.
	kept *holdings.ResponseHolding
	// breakCause is why the connection of the current attempt broke, nil if it did not.
	breakCause error
	// attemptAt is when the current attempt began, and openedAt when its connection was opened.
	attemptAt, openedAt time.Time
	// completed is set once the request got a complete response.
	completed atomic.Bool
	// sentAt is when the current attempt was about to be sent.
	sentAt clock.Reading
	// serverFailedAt is when a connection to the server of the current attempt last broke or was refused, at any instance; zero if that is not
	// known.
	serverFailedAt time.Time
	// firstEventAt is when the first event came from the server of the current attempt, zero before.
	firstEventAt time.Time
	// startCounted is set once the request was counted as started.
	startCounted bool
	// reachedServer is set once a server got the request, or may have got it, whatever it did with it.
	reachedServer bool
	// retryRefused is set if the retry budget did not allow to send the request again.
	retryRefused bool
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
	}()
	defer func() { c.body.Release() }()
	c.serve()
	if c.record.Outcome == outcomeTruncated || !c.responded {
		// Aborts the connection without the end of the response, so that the caller can't take it for complete. Where nothing was written, net/http would
		// write an empty success.
		panic(http.ErrAbortHandler)
	}
}

// serve handles the request; where it ends without a response, or with a part of one, the caller's connection must be aborted.
func (c *call) serve() {
	if len(c.request.TransferEncoding) > 0 {
		// Guards against request smuggling: an intermediary that frames a chunked body in another way may take the bytes after
		// it for another request.
		c.writer.Header().Set("Connection", "close")
	}
	if refused := c.admit(); refused != nil {
		c.refuse(refused)
		return
	}
	ctx, cancel := context.WithDeadline(c.request.Context(), c.deadline)
	defer cancel()
	defer c.cancelAtEndOfGrace(cancel)()
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
	// A request that is not authorized holds no room for its body.
	if refused := c.authorize(); refused != nil {
		return refused
	}
	if refused := c.readBody(limits); refused != nil {
		return refused
	}
	// The configuration may have changed while the body arrived.
	if refused := c.authorize(); refused != nil {
		return refused
	}
	c.deadline = c.arrived.Add(c.timeout())
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
	c.budget().RecordRequest(c.forwarder.config.Now())
	if c.forwarder.config.Suspects.Blocked(c.arrived, c.digest) {
		return unavailable(reasonBlocked, suspectRetryAfter)
	}
	return c.admitParts()
}

// prepareQuery computes the request's digest and the properties by which a server is picked.
func (c *call) prepareQuery() {
	c.query = placement.Query{
		Objective: c.route.Objective.Duration(), MaxPause: c.route.MaxPause.Duration(),
		MayRunTwice: c.mayRunTwice() && c.route.MaxServers > 1,
	}
	table := c.forwarder.config.Current.Table()
	service := table.Service(c.service)
	if prompt, ok := platform.ParsePrompt(c.request.Header); ok && service != nil && service.Engine != nil {
		c.prompt = prompt
		c.query.Engine = true
		c.query.Prompt = prompt.Tokens
		c.query.Output = expectedOutput(prompt)
		c.query.Parts = hashPrefixes(prompt.Parts)
		c.query.PriorityLevel = c.engineLevel(false)
	}
	c.digest = requestDigest(c.request.Method, c.request.RequestURI, c.key, c.body.Blocks())
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
	return strconv.Itoa(min(max(int(c.query.PriorityLevel), platform.HighestPriority), platform.LowestPriority))
}
