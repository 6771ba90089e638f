package servers

import (
	"vanillapond/internal/process/clock"
	"vanillapond/pkg/ident"
	"vanillapond/platform"
)

// LimitStatement is what a response of a server says about the rate of requests that it accepts from all router instances together.
type LimitStatement struct {
	Server Incarnation
	// Limited is false if the response names no limit. PerSecond is the limit otherwise.
	Limited   bool
	PerSecond float64
	// SentAt and ReceivedAt are when the request was sent and its response received; the server made its statement between them.
	SentAt, ReceivedAt clock.Reading
}

// ObserveLimit applies a statement from a response to this instance.
func (r *Registry) ObserveLimit(statement LimitStatement) {
	if !statement.Limited && !r.namedLimit(statement.Server.ID) {
		return
	}
	r.applyLimit(statement)
}

// namedLimit reports whether the server has ever named a limit.
func (r *Registry) namedLimit(id ident.Endpoint) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	known := r.announcements[id]
	return known != nil && known.limit != nil
}

// applyLimit applies a statement unless a later one is known.
func (r *Registry) applyLimit(statement LimitStatement) {
	r.mu.Lock()
	known := r.announcementOf(statement.Server)
	if known == nil || known.limit == nil && !statement.Limited || known.limit != nil && !supersedes(statement, *known.limit) {
		r.mu.Unlock()
		return
	}
	changed := known.limit == nil || known.limit.Limited != statement.Limited || known.limit.PerSecond != statement.PerSecond
	known.limit = &statement
	event := Event{Name: "limited", Server: platform.Server{ID: statement.Server.ID, StartedUnixMS: statement.Server.StartedUnixMS}, PerSecond: statement.PerSecond}
	if !statement.Limited {
		event.Name = "limit_ended"
	}
	if current := r.servers[statement.Server.ID]; current != nil {
		event.Server = current.Server
	}
	r.mu.Unlock()
	if changed {
		r.config.OnEvent(event)
	}
}

// supersedes reports whether a server made a statement after a known one. A limit ends only by the response to a request that was sent after
// the limit was last named, since responses on different connections overtake each other.
func supersedes(statement, known LimitStatement) bool {
	switch {
	case !statement.Limited:
		return known.Limited && statement.SentAt >= known.ReceivedAt
	case known.Limited:
		return statement.ReceivedAt > known.ReceivedAt
	default:
		return statement.ReceivedAt > known.SentAt
	}
}
