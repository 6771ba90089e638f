package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"vanillapond/internal/connection/direct"
	"vanillapond/internal/connection/servers"
	"vanillapond/internal/process/outcome"
	"vanillapond/internal/request/admission"
	"vanillapond/internal/request/placement"
	"vanillapond/internal/version/routes"
	"vanillapond/pkg/ident"
	"vanillapond/platform"
)

// maxUnreached is how many servers are tried that cannot be reached or are no longer at their address.
const maxUnreached = 4

// noServerRetry is when coming back may help while no server takes the work.
const noServerRetry = time.Second

// verdict says how a send ended.
type verdict int

// Verdicts of sends.
const (
	// done says that the request has its final answer.
	done verdict = iota
	// unreached says that no server got the request.
	unreached
	// refusedByServer says that a server got the request and did not run it.
	refusedByServer
	// lost says that a server may have run the request and gave no answer.
	lost
	// failedByServer says that a server ran the request and answered with a failure.
	failedByServer
	// interrupted says that a stream broke off after events that were passed on.
	interrupted
)

// run sends the request until it has a final answer.
func (c *call) run() {
	budget := c.forwarder.config.Budget(c.service)
	for unreachable := 0; ; {
		if refused := c.mayGoOn(); refused != nil {
			c.refuse(refused)
			return
		}
		if c.servers > 0 && !budget.Take(time.Now()) {
			c.refuse(retryLater("budget of repeats is used up", noServerRetry))
			return
		}
		switch result := c.send(); result {
		case done:
			return
		case unreached:
			if unreachable++; unreachable >= maxUnreached {
				c.refuse(retryLater("servers cannot be reached", noServerRetry))
				return
			}
		default:
			if !c.mayRepeat(result) {
				c.giveUp(result)
				return
			}
		}
	}
}

// mayGoOn looks again at what may have changed while the request waited.
func (c *call) mayGoOn() *refusal {
	if c.request.Context().Err() != nil {
		return retryLater("caller has left", 0)
	}
	if time.Until(c.until) < minLeft {
		return c.timedOut()
	}
	service := c.service
	refused := c.authorize()
	if refused == nil && c.service != service {
		c.describe()
	}
	return refused
}

func (c *call) timedOut() *refusal {
	if c.ran {
		return &refusal{status: http.StatusGatewayTimeout, reason: "time is up"}
	}
	return retryLater("time is up before a server ran the request", noServerRetry)
}

// mayRepeat reports whether the request may go to another server.
func (c *call) mayRepeat(result verdict) bool {
	if c.servers >= max(c.route.MaxServers, 1) || c.request.Context().Err() != nil {
		return false
	}
	switch result {
	case refusedByServer:
		return true
	case lost, failedByServer:
		return !c.committed && c.repeatable()
	case interrupted:
		return c.route.Resumable && c.lastEvent != ""
	default:
		return false
	}
}

// repeatable reports whether the request may run more than once.
func (c *call) repeatable() bool {
	return c.route.Kind == platform.Idempotent || c.route.Kind == platform.Streaming && c.route.Resumable
}

// giveUp gives the final answer after a send that is not repeated.
func (c *call) giveUp(result verdict) {
	switch {
	case c.request.Context().Err() != nil:
		c.refuse(retryLater("caller has left", 0))
	case time.Until(c.until) < minLeft:
		c.refuse(c.timedOut())
	case result == refusedByServer:
		c.refuse(retryLater("servers are full", noServerRetry))
	default:
		c.refuse(&refusal{status: http.StatusBadGateway, reason: "server gave no whole answer"})
	}
}

// send sends the request to the best server and relays its answer.
func (c *call) send() verdict {
	now := time.Now()
	board := c.forwarder.config.Board(c.service)
	ready, generation := c.forwarder.config.Servers.Ready(c.service)
	known := c.forwarder.config.Current.Table()
	board.Update(placement.Generation{Servers: generation, Version: known.Version()}, func() []placement.Candidate {
		return c.candidates(ready, known)
	})
	choice, found := board.Pick(now, c.query)
	if !found {
		reason := "no server takes work"
		if c.ran {
			reason = "server gave no whole answer and no other takes work"
		}
		c.refuse(retryLater(reason, noServerRetry))
		return done
	}
	if refused := c.tooBusy(now, choice); refused != nil {
		c.record.Sends = append(c.record.Sends, Sent{Choice: choice, Outcome: Unsent})
		c.refuse(refused)
		return done
	}
	server := byID(ready, choice.Server)
	if server == nil || !c.forwarder.config.Servers.Takes(server) {
		// The list has changed since it was read.
		return unreached
	}
	c.query.Avoid = append(c.query.Avoid, choice.Server)
	ticket := board.StartAttempt(now, c.query, choice)
	result, blame := c.exchange(server, ticket)
	ticket.End(time.Now(), blame)
	c.record.Sends = append(c.record.Sends, Sent{Choice: choice, Outcome: verdictNames[result], Took: time.Since(now)})
	return result
}

// tooBusy refuses a new request that would be late at the best engine.
func (c *call) tooBusy(now time.Time, choice placement.Choice) *refusal {
	if !c.query.Engine || c.servers > 0 {
		return nil
	}
	decided := c.forwarder.config.Precedence(c.service).Decide(now, admission.PriorityLevel(c.query.PriorityLevel), admission.Request{
		QueueDelay: choice.QueueDelay, Objective: c.query.Objective, Waited: now.Sub(c.arrived),
		Random: rand.Float64(), //nolint:gosec // Spreads load only.
	})
	switch {
	case decided.Admit:
		return nil
	case decided.Blocked:
		return retryLater("more urgent requests come first", decided.RetryAfter)
	default:
		return retryLater("servers are too busy", decided.RetryAfter)
	}
}

var verdictNames = [...]string{"done", "unreached", "refused", "lost", "failed", "interrupted"}

func (c *call) candidates(ready []*servers.Server, known *routes.Table) []placement.Candidate {
	candidates := make([]placement.Candidate, len(ready))
	var memory ident.Tokens
	if service := known.Service(c.service); service != nil && service.Engine != nil {
		memory = service.Engine.MemoryTokens
	}
	for index, server := range ready {
		candidates[index] = placement.Candidate{
			ID: server.ID, SameDomain: server.Domain == c.forwarder.config.Domain, Slots: server.Slots, KVCapacity: memory,
		}
	}
	return candidates
}

func byID(list []*servers.Server, id ident.Endpoint) *servers.Server {
	for _, server := range list {
		if server.ID == id {
			return server
		}
	}
	return nil
}

// exchange sends the request to a server and relays the answer.
func (c *call) exchange(server *servers.Server, ticket *placement.Attempt) (verdict, placement.Result) {
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	response, err := server.Pool.Send(ctx, &direct.Request{
		Method: c.request.Method, Target: c.request.RequestURI, Host: c.request.Host, Header: c.header(server), Body: c.body,
		ID: c.record.ID, IDHeader: platform.HeaderRequest, Refusals: []string{platform.HeaderNotRun}, Once: !c.repeatable(),
	})
	if err != nil {
		return c.withoutAnswer(err, server)
	}
	defer response.Close()
	if response.Status == http.StatusMisdirectedRequest {
		return unreached, placement.Unreachable
	}
	c.servers++
	if response.Header.Get(platform.HeaderNotRun) != "" {
		return refusedByServer, placement.Overloaded
	}
	c.ran = true
	return c.relay(response, server, ticket)
}

// withoutAnswer judges a send that brought no head.
func (c *call) withoutAnswer(err error, server *servers.Server) (verdict, placement.Result) {
	var failure *direct.Error
	if !errors.As(err, &failure) {
		failure = &direct.Error{Outcome: outcome.Unknown, Cause: err}
	}
	if failure.Outcome == outcome.NotRun {
		if failure.Unreachable {
			return unreached, placement.Unreachable
		}
		return unreached, placement.Neutral
	}
	c.servers++
	c.ran = true
	if !c.query.Engine {
		// A plain server has likely begun at once; an engine begins with the first event.
		c.began()
	}
	if !failure.Broken {
		return lost, placement.Neutral
	}
	c.forwarder.config.Suspects.Lost(time.Now(), c.digest, server.ID)
	return lost, placement.Failed
}

// header returns the headers for a server.
func (c *call) header(server *servers.Server) http.Header {
	header := platform.ForwardHeaders(c.request.Header)
	header[platform.HeaderDeadline] = []string{platform.FormatDeadline(time.Until(c.until))}
	header[platform.HeaderExpect] = []string{string(server.ID)}
	if c.customer != nil {
		header[platform.HeaderCustomer] = []string{string(c.customer.Name)}
	}
	if c.query.Engine {
		header[platform.HeaderUrgency] = []string{c.urgency()}
	}
	if c.lastEvent != "" {
		header[platform.HeaderResume] = []string{c.lastEvent}
	}
	return header
}

// began counts the request as begun, once.
func (c *call) began() {
	if c.customer != nil && !c.counted {
		c.counted = true
		c.forwarder.config.Usage.Began(c.customer.Name)
	}
}
