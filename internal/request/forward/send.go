package forward

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"syscall"
	"time"

	"vanillapond/internal/connection/direct"
	"vanillapond/internal/connection/servers"
	"vanillapond/internal/httpresponse"
	"vanillapond/internal/process/holdings"
	"vanillapond/internal/process/outcome"
	"vanillapond/internal/request/admission"
	"vanillapond/internal/request/placement"
	"vanillapond/internal/request/retry"
	"vanillapond/internal/version/routes"
	"vanillapond/pkg/ident"
	"vanillapond/platform"
)

// maxUndelivered is the number of attempts that did not reach their server, because it was unreachable or no longer at its
// address, after which the request is refused.
const maxUndelivered = 4

// noServerRetryAfter is the Retry-After of requests that no server accepts.
const noServerRetryAfter = time.Second

// attemptResult is the result of one attempt.
type attemptResult int

// Results of attempts.
const (
	// done means that the caller has the final response.
	done attemptResult = iota
	// undelivered means that the request did not reach the picked server.
	undelivered
	// refusedByServer means that the server got the request and did not run it.
	refusedByServer
	// lost means that the server may have run the request, but gave no complete or valid response.
	lost
	// failedByServer means that the server ran the request and returned an error response.
	failedByServer
	// interrupted means that a stream was interrupted after events of it were relayed.
	interrupted
)

// run sends the request to servers until the caller has a final response.
func (c *call) run() {
	for undeliveredCount := 0; ; {
		refused := c.recheck()
		if refused == nil && c.trial && c.reachedServer {
			refused = unavailable(reasonQuarantined, suspectRetryAfter)
		}
		if refused != nil {
			c.refuse(refused)
			return
		}
		switch result := c.attempt(); result {
		case done:
			return
		case undelivered:
			if c.retryRefused {
				c.refuse(retryBudgetUsedUp())
				return
			}
			if undeliveredCount++; undeliveredCount >= maxUndelivered {
				c.refuse(unavailable("servers cannot be reached", noServerRetryAfter))
				return
			}
		default:
			if !c.mayRetry(result) {
				c.refuseAfter(result)
				return
			}
			c.query.AfterError = c.query.AfterError || result == failedByServer
		}
	}
}

// recheck checks before each attempt whether the caller still waits, enough time remains and the request is still authorized.
func (c *call) recheck() *refusal {
	if c.request.Context().Err() != nil {
		return unavailable("caller has left", 0)
	}
	if time.Until(c.deadline) < minRemaining {
		return c.timedOut()
	}
	if refused := c.checkGrace(); refused != nil {
		return refused
	}
	if refused := c.recheckCrashes(); refused != nil {
		return refused
	}
	service := c.service
	refused := c.authorize()
	if refused == nil && c.service != service {
		c.prepareQuery()
	}
	return refused
}

func (c *call) timedOut() *refusal {
	if c.mayHaveRun {
		return &refusal{status: http.StatusGatewayTimeout, reason: "time is up"}
	}
	return unavailable("time is up before a server ran the request", noServerRetryAfter)
}

// mayRetry reports whether the request may be sent to another server after an attempt with this result.
func (c *call) mayRetry(result attemptResult) bool {
	if c.serversTried >= max(c.route.MaxServers, 1) || c.request.Context().Err() != nil || c.body.IsReleased() {
		return false
	}
	switch result {
	case refusedByServer:
		return true
	case lost, failedByServer, interrupted:
		if c.headWritten {
			// Otherwise the server that resumes the stream would send the events behind lastEventID again.
			return c.route.Resumable && c.lastEventHasID
		}
		return c.mayRunTwice()
	default:
		return false
	}
}

// mayRunTwice reports whether it is safe to run the request more than once.
func (c *call) mayRunTwice() bool {
	return c.route.Kind == platform.Idempotent || c.route.Kind == platform.Streaming && c.route.Resumable
}

// refuseAfter ends the request after an attempt that is not retried.
func (c *call) refuseAfter(result attemptResult) {
	switch {
	case c.request.Context().Err() != nil:
		c.refuse(unavailable("caller has left", 0))
	case time.Until(c.deadline) < minRemaining:
		c.refuse(c.timedOut())
	case c.isGraceOver():
		c.refuse(stopping())
	case result == refusedByServer:
		c.refuse(lacksCapacity("servers are full", c.fullRetryAfter()))
	default:
		c.refuse(&refusal{status: http.StatusBadGateway, reason: "server gave no whole answer"})
	}
}

// attempt has the request placed on a server, sends it there and relays the response.
func (c *call) attempt() attemptResult {
	placed, refused := c.admitOrWait(time.Now())
	if refused != nil {
		c.refuse(refused)
		return done
	}
	if placed == nil {
		return undelivered
	}
	if c.reachedServer && !c.budget().Allows(c.forwarder.config.Now()) {
		placed.attempt.End(time.Now(), placement.Neutral)
		c.refuse(retryBudgetUsedUp())
		return done
	}
	c.breakCause, c.attemptAt, c.firstEventAt, c.serverFailedAt = nil, placed.at, time.Time{}, placed.choice.FailedAt
	result, serverResult := c.exchange(placed.server, placed.attempt, placed.hasTurn)
	now := time.Now()
	placed.attempt.End(now, serverResult)
	c.queue().AttemptEnded(now, serverResult == placement.Succeeded)
	c.record.Attempts = append(c.record.Attempts, Attempt{
		Choice: placed.choice, Software: placed.server.Software, Outcome: attemptResultNames[result], Duration: now.Sub(placed.at), Cause: c.breakCause,
	})
	return result
}

// checkAdmission refuses a request whose caller can't use the response any more when the best engine starts it, or that has to make way for requests of
// higher priority. Retries are not checked again, and neither are streams that go on: their caller waits for the rest of what it has.
func (c *call) checkAdmission(now time.Time, choice placement.Choice) *refusal {
	if !c.query.Engine || c.serversTried > 0 || c.begun {
		return nil
	}
	share := c.checkShare(now, choice)
	if share.Refuse {
		return unavailable(reasonOverShare, share.RetryAfter)
	}
	decision := c.forwarder.config.Admission(c.service).Decide(now, admission.PriorityLevel(c.priority()), admission.Request{
		QueueDelay: choice.QueueDelay, StartIn: c.latestStart(choice.Work).Sub(now), SecondLook: c.wait.decided,
	})
	c.wait.decided = true
	c.countShare(now, choice, decision)
	switch {
	case decision.Admit:
		return nil
	case decision.Blocked:
		return lacksCapacity("more urgent requests come first", decision.RetryAfter)
	default:
		return lacksCapacity("servers are too busy", decision.RetryAfter)
	}
}

var attemptResultNames = [...]string{"done", "unreached", "refused", "lost", "failed", "interrupted"}

func (c *call) candidates(ready []*servers.Server, table *routes.Table) []placement.Candidate {
	candidates := make([]placement.Candidate, len(ready))
	var kvCapacity ident.Tokens
	if service := table.Service(c.service); service != nil && service.Engine != nil {
		kvCapacity = service.Engine.KVCacheTokens
	}
	for index, server := range ready {
		candidates[index] = placement.Candidate{
			ServerStart: server.Start(), Domain: server.Domain, SameDomain: server.Domain == c.forwarder.config.Domain, Slots: server.Slots, KVCapacity: kvCapacity,
		}
	}
	return candidates
}

// settings returns the settings of a service's balancer.
func settings(table *routes.Table, service ident.Pool) placement.Settings {
	if !table.LoadAware(service) {
		return placement.Settings{}
	}
	settings := placement.Settings{LoadAware: true, ShortestPause: table.ShortestPause(service)}
	switch known := table.Service(service); {
	case known == nil:
	case known.Engine != nil:
		settings.TokensPerEvent = known.Engine.TokensPerEvent
	default:
		settings.SharedHealth = true
	}
	return settings
}

func findServer(list []*servers.Server, id ident.Endpoint) *servers.Server {
	for _, server := range list {
		if server.ID == id {
			return server
		}
	}
	return nil
}

// exchange sends the request to a server and relays the response. hasTurn means that the request has a turn at a server with a rate limit.
func (c *call) exchange(server *servers.Server, attempt *placement.Attempt, hasTurn bool) (attemptResult, placement.Result) {
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	c.kept = c.forwarder.config.Responses.OpenResponse(server.Address, cancel)
	defer c.kept.Close()
	c.sentAt = c.forwarder.config.Now()
	response, err := server.Pool.Send(ctx, &direct.Request{
		Reserve: c.kept.KeepHead,
		Method:  c.request.Method, Target: c.request.RequestURI, Host: c.request.Host, Header: c.serverHeader(server), Body: c.body.Blocks(),
		ID: c.record.ID, IDHeader: platform.HeaderRequestID, RefusalHeaders: []string{platform.HeaderNotExecuted},
		AtMostOnce: !c.mayRunTwice(), IdleSince: c.serverFailedAt,
		Confirm: func() bool { return c.confirm(server, hasTurn) },
	})
	if err != nil {
		return c.handleSendError(err, server)
	}
	defer response.Close()
	c.reachedServer, c.openedAt = true, response.OpenedAt
	if response.Status == http.StatusMisdirectedRequest {
		return undelivered, placement.Unreachable
	}
	c.applyAnnouncements(response, server)
	c.reportLoad(response, server, attempt)
	c.serversTried++
	if response.Header.Get(platform.HeaderNotExecuted) != "" {
		return refusedByServer, placement.Overloaded
	}
	c.mayHaveRun = true
	return c.relay(response, server, attempt)
}

// confirm reports whether the request may still be sent to a server, which may have changed while the request waited for a connection. A retry draws
// on the budget only now, when it is certain to be sent.
func (c *call) confirm(server *servers.Server, hasTurn bool) bool {
	if !c.forwarder.config.Servers.Accepts(server) || c.isUncertain(server) {
		return false
	}
	if !hasTurn {
		if _, hasTurn = c.forwarder.config.Servers.TakeTurn(server.ID); !hasTurn {
			return false
		}
	}
	c.retryRefused = c.reachedServer && !c.budget().Take(c.forwarder.config.Now())
	return !c.retryRefused
}

// budget returns the retry budget of the service that the request goes to now.
func (c *call) budget() *retry.Budget { return c.forwarder.config.Budget(c.service) }

func retryBudgetUsedUp() *refusal {
	return unavailable("budget of repeats is used up", noServerRetryAfter)
}

// handleSendError returns the results of an attempt that ended without a response head.
func (c *call) handleSendError(err error, server *servers.Server) (attemptResult, placement.Result) {
	var failure *direct.Error
	if !errors.As(err, &failure) {
		failure = &direct.Error{Outcome: outcome.Unknown, Cause: err}
	}
	if failure.Outcome == outcome.NotRun {
		if errors.Is(failure.Cause, syscall.ECONNREFUSED) {
			c.forwarder.config.Servers.MarkRefused(server.Start())
		}
		if errors.Is(failure.Cause, direct.ErrNotConfirmed) {
			// The server got nothing, so that the request may wait for its next turn there.
			c.query.Avoid = slices.DeleteFunc(c.query.Avoid, func(id ident.Endpoint) bool { return id == server.ID })
		}
		if failure.Unreachable {
			return undelivered, placement.Unreachable
		}
		return undelivered, placement.Neutral
	}
	c.serversTried++
	c.mayHaveRun, c.reachedServer = true, true
	if !c.query.Engine {
		// A plain server probably started to run the request at once; an engine starts with the first event.
		c.countStart()
	}
	if !failure.ConnectionFailed || errors.Is(failure.Cause, holdings.ErrNoRoom) {
		return lost, placement.Neutral
	}
	if errors.Is(failure.Cause, httpresponse.ErrTooLong) {
		c.forwarder.config.OnTooLong(server.ID)
	}
	c.recordBreak(server, failure.OpenedAt, failure.Cause)
	return lost, placement.Failed
}

// serverHeader returns the header fields of the request to a server.
func (c *call) serverHeader(server *servers.Server) http.Header {
	header := platform.ForwardHeaders(c.request.Header)
	header[platform.HeaderDeadline] = []string{platform.FormatDeadline(time.Until(c.deadline))}
	header[platform.HeaderExpectedServer] = []string{string(server.ID)}
	if c.customer != nil {
		header[platform.HeaderCustomer] = []string{string(c.customer.Name)}
	}
	if c.query.Engine {
		header[platform.HeaderPriority] = []string{c.enginePriority()}
	}
	if c.lastEventID != "" {
		header[platform.HeaderLastEventID] = []string{c.lastEventID}
	}
	return header
}

// countStart counts the request as started in the usage of its customer, once.
func (c *call) countStart() {
	if c.customer != nil && !c.startCounted {
		c.startCounted = true
		c.forwarder.config.Usage.RequestStarted(c.customer.Name)
	}
}
