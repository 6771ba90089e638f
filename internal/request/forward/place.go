package forward

import (
	"slices"
	"time"

	"vanillapond/internal/connection/servers"
	"vanillapond/internal/request/placement"
)

// placed is a server that was picked for the request, where its load is counted already.
type placed struct {
	at      time.Time
	choice  placement.Choice
	server  *servers.Server
	attempt *placement.Attempt
	// hasTurn means that the request has a turn at a server with a rate limit.
	hasTurn bool
}

// place picks the best server, has admission decide, and counts the request in the server's load. It returns neither a server nor a refusal if the
// server that it picked cannot be used any more.
func (c *call) place(now time.Time) (*placed, *refusal) {
	balancer := c.forwarder.config.Balancer(c.service)
	ready, generation := c.forwarder.config.Servers.Ready(c.service)
	table := c.forwarder.config.Current.Table()
	configured := settings(table, c.service)
	if configured.SharedHealth {
		configured.Process = c.forwarder.config.Process
	}
	balancer.Configure(configured)
	balancer.Update(placement.Generation{Servers: generation, Version: table.Version()}, func() []placement.Candidate {
		return c.candidates(ready, table)
	})
	c.excludeServers(ready)
	choice, found := c.pick(now, balancer)
	if !found {
		reason := c.noServerReason(ready)
		if choice.Unproven > 0 {
			reason = "connections to servers broke or were refused"
		}
		retryAfter := c.serversRetryAfter()
		if c.reachedServer {
			retryAfter = c.fullRetryAfter()
		}
		refused := lacksCapacity(reason, retryAfter)
		// A server that was tried takes the request no more, so that waiting for it is in vain.
		untried := func(server *servers.Server) bool { return !slices.Contains(c.query.Avoid, server.ID) }
		refused.mayWait, refused.capacityIn = slices.ContainsFunc(ready, untried), c.forwarder.config.Servers.TurnInterval(c.service)
		return nil, refused
	}
	if refused := c.checkAdmission(now, choice); refused != nil {
		refused.choice = &choice
		return nil, refused
	}
	server := findServer(ready, choice.Server)
	if server == nil || !c.forwarder.config.Servers.Accepts(server) || c.begun && server.Software != c.software || c.isUncertain(server) {
		// The server was removed or stopped accepting requests since the list was read, or may have started again.
		return nil, nil
	}
	hasTurn, ok := c.forwarder.config.Servers.TakeTurn(server.ID)
	if !ok {
		// Another request of this instance took the turn.
		return nil, nil
	}
	c.query.Avoid = append(c.query.Avoid, choice.Server)
	return &placed{at: now, choice: choice, server: server, attempt: balancer.StartAttempt(now, c.query, choice), hasTurn: hasTurn}, nil
}
