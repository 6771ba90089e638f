package forward

import (
	"vanillapond/internal/connection/servers"
	"vanillapond/pkg/ident"
)

// beginStream records the software version of the server that sent the first event of the stream.
func (c *call) beginStream(server *servers.Server) {
	if !c.begun {
		c.begun, c.software = true, server.Software
	}
}

// excluded returns the servers that must not get the request now: those to which this instance has no turn, and those with another
// software version than the one that began the stream.
func (c *call) excluded(ready []*servers.Server) []ident.Endpoint {
	excluded := c.forwarder.config.Servers.WithoutTurn()
	if !c.begun {
		return excluded
	}
	for _, server := range ready {
		if server.Software != c.software {
			excluded = append(excluded, server.ID)
		}
	}
	return excluded
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
