package forward

import (
	"slices"

	"vanillapond/internal/connection/servers"
	"vanillapond/internal/process/origin"
	"vanillapond/pkg/ident"
	"vanillapond/platform"
)

// takesUp reports whether the caller takes up a stream of which it has events.
func (c *call) takesUp() bool {
	return c.mayBeTakenUp() &&
		(c.request.Header.Get(platform.HeaderResumes) != "" || c.request.Header.Get(platform.HeaderLastEventID) != "")
}

// findOrigin determines at which software version the stream that the caller takes up began, and has it go on at the service that began it
// while the route leads there. It refuses the request if the version is not certain: another instance may know.
func (c *call) findOrigin() *refusal {
	if !c.takesUp() {
		return nil
	}
	c.stream = ident.Request(c.request.Header.Get(platform.HeaderResumes))
	began, found := c.forwarder.config.Origins.Find(c.ctx, c.stream, c.service)
	if !found {
		return unavailable("version that began the stream is not known", noServerRetryAfter)
	}
	c.begun, c.software = true, began.Software
	if began.Service != c.service && routesTo(c.route, began.Service) {
		c.service, c.record.Service = began.Service, began.Service
		c.prepareQuery()
	}
	return nil
}

// beginStream records the software version of the server that sends the first event of the stream, or goes on with it.
func (c *call) beginStream(server *servers.Server) {
	if !c.begun {
		c.begun, c.software, c.stream = true, server.Software, ident.Request(c.record.ID)
	}
	if c.stream != "" && c.mayRunTwice() {
		c.forwarder.config.Origins.Begin(origin.Origin{Stream: c.stream, Service: c.service, Software: c.software})
	}
}

// excludeServers excludes the servers that must not get the request now: those to which this instance has no turn, those with another
// software version than the one that began the stream, and, while there are others, those at which no stream should begin yet.
func (c *call) excludeServers(ready []*servers.Server) {
	withoutTurn := c.forwarder.config.Servers.WithoutTurn()
	c.query.Exclude, c.query.Later = withoutTurn, withoutTurn
	otherVersions := c.otherVersions(ready)
	if len(otherVersions) == 0 {
		return
	}
	c.query.Exclude = slices.Concat(withoutTurn, otherVersions)
	c.query.Later = slices.DeleteFunc(withoutTurn, func(id ident.Endpoint) bool { return slices.Contains(otherVersions, id) })
}

// otherVersions returns the servers whose software version the request should not get, or whose version is not certain.
func (c *call) otherVersions(ready []*servers.Server) []ident.Endpoint {
	if !c.mayBeTakenUp() {
		return nil
	}
	uncertain := c.forwarder.config.Servers.WithUncertainSoftware()
	if c.begun {
		return append(uncertain, serversWith(ready, func(software ident.Software) bool { return software != c.software })...)
	}
	unstored := c.forwarder.config.Origins.Unstored(c.service)
	others := serversWith(ready, func(software ident.Software) bool { return slices.Contains(unstored, software) })
	if len(others) == len(ready) {
		// No server has a version that the store knows: it accepts no writes, or the service is new.
		return uncertain
	}
	return append(uncertain, others...)
}

// serversWith returns the servers whose software version matches.
func serversWith(list []*servers.Server, matches func(ident.Software) bool) []ident.Endpoint {
	var matching []ident.Endpoint
	for _, server := range list {
		if matches(server.Software) {
			matching = append(matching, server.ID)
		}
	}
	return matching
}

// mayBeTakenUp reports whether the request brings a stream that may go on at another server, or over another request.
func (c *call) mayBeTakenUp() bool { return c.route.Kind == platform.Streaming && c.mayRunTwice() }

// isUncertain reports whether a server must not get the request because its software version is not certain.
func (c *call) isUncertain(server *servers.Server) bool {
	return c.mayBeTakenUp() && slices.Contains(c.forwarder.config.Servers.WithUncertainSoftware(), server.ID)
}

// noServerReason returns why no server takes the request.
func (c *call) noServerReason(ready []*servers.Server) string {
	switch {
	case c.begun && !c.headWritten:
		return "no server of the version that began the stream takes work"
	case c.mayHaveRun:
		return "server gave no whole answer and no other takes work"
	case len(ready) > 0 && len(c.query.Exclude) > 0:
		return "servers take no more requests a second"
	default:
		return "no server takes work"
	}
}
