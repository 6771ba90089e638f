package servers

import (
	"time"

	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/sharedrate"
	"vanillapond/pkg/ident"
	"vanillapond/platform"
)

// LimitStatement is what a response of a server says about the rate of requests that it accepts from all router instances together.
type LimitStatement struct {
	Server ident.ServerStart
	// Limited is false if the response names no limit. Rate is the limit otherwise.
	Limited bool
	Rate    sharedrate.Rate
	// SentAt and ReceivedAt are when the request was sent and its response received; the server made its statement between them.
	SentAt, ReceivedAt clock.Reading
	// delay is by how much earlier both times may have been, because a report took that long.
	delay time.Duration
}

// rateLimit is what is known of a server's rate limit.
type rateLimit struct {
	// latest is the latest statement, and own the latest one in a response to this instance, which may be the zero value.
	latest, own LimitStatement
	// ownEndedAt is when own last turned from a limit, or from nothing, to none.
	ownEndedAt clock.Reading
	limiter    *sharedrate.Limiter
}

// recordOwn records a statement in a response to this instance.
func (l *rateLimit) recordOwn(statement LimitStatement) {
	if !statement.supersedes(l.own) {
		return
	}
	if !statement.Limited && (l.own.Limited || l.own.Server.ID == "") {
		l.ownEndedAt = statement.ReceivedAt
	}
	l.own = statement
}

// ObserveLimit applies a statement from a response to this instance.
func (r *Registry) ObserveLimit(statement LimitStatement) {
	if statement.Limited || r.namedLimit(statement.Server.ID) {
		r.applyLimit(statement, false)
	}
}

// namedLimit reports whether the server has ever named a limit.
func (r *Registry) namedLimit(id ident.Endpoint) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	known := r.announcements[id]
	return known != nil && known.limit != nil
}

// applyLimit applies a statement unless a later one is known.
func (r *Registry) applyLimit(statement LimitStatement, fromPeer bool) {
	r.mu.Lock()
	known := r.announcementOf(statement.Server)
	if known == nil || known.limit == nil && !statement.Limited {
		r.mu.Unlock()
		return
	}
	if known.limit == nil {
		known.limit = &rateLimit{limiter: sharedrate.New(limiterConfig(statement.Server.ID))}
	}
	limit := known.limit
	if !fromPeer {
		limit.recordOwn(statement)
	}
	before := limit.latest
	if !statement.supersedes(before) {
		r.mu.Unlock()
		return
	}
	limit.latest = statement
	if statement.Limited {
		r.limited[statement.Server.ID] = limit
	} else {
		delete(r.limited, statement.Server.ID)
	}
	event := Event{
		Name: "limited", Server: platform.Server{ID: statement.Server.ID, StartedUnixMS: statement.Server.StartedUnixMS},
		Rate: statement.Rate, FromPeer: fromPeer,
	}
	if !statement.Limited {
		event.Name = "limit_ended"
	}
	if current := r.servers[statement.Server.ID]; current != nil {
		event.Server = current.Server
	}
	r.mu.Unlock()
	if before.Limited != statement.Limited || before.Rate != statement.Rate {
		r.config.OnEvent(event)
	}
}

// supersedes reports whether a server made a statement after a known one. A limit ends only by the response to a request that was sent after
// the limit was last named, since responses on different connections overtake each other.
func (s LimitStatement) supersedes(known LimitStatement) bool {
	switch {
	case s.Limited && known.Limited:
		return s.ReceivedAt > known.ReceivedAt
	case s.Limited:
		return s.ReceivedAt > known.SentAt
	case known.Limited:
		return s.SentAt.Add(-s.delay) >= known.ReceivedAt
	default:
		return s.SentAt > known.SentAt
	}
}

// limiterConfig returns the configuration of the limiter for a server with a rate limit.
func limiterConfig(id ident.Endpoint) sharedrate.Config {
	return sharedrate.Config{
		Window: platform.RateLimitWindow, Overage: platform.RateLimitOverage, Slack: platform.RateLimitSlack, Offset: turnOffset(id),
	}
}

// RateLimited reports whether a server has named a rate limit that holds.
func (r *Registry) RateLimited(id ident.Endpoint) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.limited[id] != nil
}
