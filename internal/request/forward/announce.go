package forward

import (
	"net/http"
	"time"

	"vanillapond/internal/connection/direct"
	"vanillapond/internal/connection/servers"
	"vanillapond/internal/process/sharedrate"
	"vanillapond/internal/request/placement"
	"vanillapond/internal/request/servermodel"
	"vanillapond/internal/request/waiting"
	"vanillapond/platform"
)

// applyAnnouncements applies what a server says about itself in a response: that it leaves, how many requests it takes, or that it wants none for a while.
func (c *call) applyAnnouncements(response *direct.Response, server *servers.Server) {
	config := c.forwarder.config
	incarnation := server.Start()
	if platform.Leaving(response.Header) {
		config.Servers.MarkLeaving(incarnation)
	}
	c.observeLimit(response, server)
	if response.Status != http.StatusServiceUnavailable {
		return
	}
	pause, err := platform.Pause(response.Header)
	if err != nil {
		config.OnInvalidPause(server.ID, err)
	}
	if pause > 0 {
		config.Servers.Pause(incarnation, pause)
	}
}

// reportLoad passes what a server says about its load on to the balancer of a load-aware service.
func (c *call) reportLoad(response *direct.Response, server *servers.Server, attempt *placement.Attempt) {
	config := c.forwarder.config
	if !config.Current.Table().LoadAware(c.service) {
		return
	}
	load, found, err := platform.Load(response.Header)
	switch {
	case err != nil:
		c.reportFalseLoad(server, attempt.RejectLoad(), err)
	case found:
		c.reportFalseLoad(server, attempt.ReportLoad(time.Now(), placement.ReportedLoad{
			Running: load.Running, Waiting: load.Waiting, Slots: load.Slots, WorkPercent: load.WorkPercent,
		}), nil)
	}
}

// reportFalseLoad reports in which ways the load header of a server is false; err is the error of one that cannot be read.
func (c *call) reportFalseLoad(server *servers.Server, findings []servermodel.Finding, err error) {
	config := c.forwarder.config
	for _, finding := range findings {
		if finding.Cause == servermodel.Malformed && finding.First {
			config.OnInvalidLoad(server.ID, err)
		}
		if config.OnFalseLoad != nil {
			config.OnFalseLoad(server.ID, finding)
		}
	}
}

// observeLimit records the rate limit that a response names. A refusal without one says nothing: the server may write it without regard to
// its limit.
func (c *call) observeLimit(response *direct.Response, server *servers.Server) {
	config := c.forwarder.config
	rate, named, err := platform.RateLimit(response.Header)
	switch {
	case err != nil:
		config.OnInvalidLimit(server.ID, err)
	case named || response.Header.Get(platform.HeaderNotExecuted) == "":
		config.Servers.ObserveLimit(servers.LimitStatement{
			Server: server.Start(), Limited: named, Rate: sharedrate.Rate(rate), SentAt: c.sentAt, ReceivedAt: config.Now(),
		})
	}
}

// fullRetryAfter returns the Retry-After of a request that full servers refused. Where they are neither paused nor limited, they take another one once one that
// runs there has ended; the queue of the service knows how often that happens.
func (c *call) fullRetryAfter() time.Duration {
	registry := c.forwarder.config.Servers
	if ready, _ := registry.Ready(c.service); len(ready) > 0 && registry.TurnInterval(c.service) == 0 {
		return waiting.MinRetryAfter
	}
	return c.serversRetryAfter()
}

// serversRetryAfter returns the Retry-After of a request that no server accepts. If servers have asked for a pause, callers return
// after the first one has ended; if all have rate limits, not before the service takes another request. The queue of
// the service spreads the callers.
func (c *call) serversRetryAfter() time.Duration {
	registry := c.forwarder.config.Servers
	remaining := registry.TurnInterval(c.service)
	if ready, _ := registry.Ready(c.service); len(ready) == 0 {
		remaining = registry.UntilResumed(c.service)
	}
	if remaining <= noServerRetryAfter {
		return noServerRetryAfter
	}
	return remaining
}
