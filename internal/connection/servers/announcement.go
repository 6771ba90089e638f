package servers

import (
	"time"

	"vanillapond/internal/process/clock"
	"vanillapond/pkg/ident"
	"vanillapond/platform"
)

// announcementTTL is how long an announcement is remembered after the server's registration has disappeared, longer than a
// registration can take to come back.
const announcementTTL = time.Hour

// maxLeaving bounds the list that Leaving returns.
const maxLeaving = 64

// announcement is what an incarnation of a server has said about itself in its responses. It takes precedence over the
// registration, which may be older.
type announcement struct {
	start ident.ServerStart
	// leaving is never cleared: an incarnation that leaves does not come back.
	leaving bool
	// unconfirmed is set after a restore of the store if the server had gone before it, so that its registration may be an old one;
	// the next change of the registration clears it.
	unconfirmed bool
	// pausedUntil is until when the server wants no requests from this process, 0 for never.
	pausedUntil clock.Reading
	// limit is what is known of the server's rate limit, nil if it has never named one.
	limit *rateLimit
	// absentSince is when the registration was found to be absent, 0 while it is present.
	absentSince clock.Reading
}

// announcementOf returns the announcement of an incarnation and creates it if necessary. It returns nil if a later incarnation is
// registered; the caller holds mu.
func (r *Registry) announcementOf(of ident.ServerStart) *announcement {
	if current := r.servers[of.ID]; current != nil && current.Start() != of {
		return nil
	}
	known := r.announcements[of.ID]
	if known == nil || known.start != of {
		known = &announcement{start: of}
		if r.servers[of.ID] == nil {
			known.absentSince = r.config.Now()
		}
		r.announcements[of.ID] = known
		delete(r.limited, of.ID)
	}
	return known
}

// withAnnouncement returns a registration with the state that the server itself has announced; the caller holds mu.
func (r *Registry) withAnnouncement(registration platform.Server) platform.Server {
	known := r.announcements[registration.ID]
	switch {
	case known == nil:
	case known.start != registration.Start():
		r.forgetAnnouncement(registration.ID)
	default:
		known.absentSince = 0
		if known.leaving || known.unconfirmed {
			registration.State = platform.ServerDraining
		}
	}
	return registration
}

// MarkLeaving records that a server has announced that it is leaving. That incarnation gets no new requests any more, whatever its
// registration says.
func (r *Registry) MarkLeaving(of ident.ServerStart) {
	r.mu.Lock()
	known := r.announcementOf(of)
	if known == nil || known.leaving {
		r.mu.Unlock()
		return
	}
	known.leaving = true
	event := Event{Name: "announced_leaving", Server: platform.Server{ID: of.ID, StartedUnixMS: of.StartedUnixMS}}
	if current := r.servers[of.ID]; current != nil {
		// Replaces the server instead of modifying it, because requests read the old value without the lock.
		r.servers[of.ID] = &Server{Server: r.withAnnouncement(current.Server), Pool: current.Pool, missing: current.missing}
		event.Server = r.servers[of.ID].Server
		r.rebuildReady()
	}
	r.mu.Unlock()
	r.config.OnEvent(event)
}

// Leaving returns the registered incarnations that have announced that they are leaving, at most maxLeaving.
func (r *Registry) Leaving() []ident.ServerStart {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var leaving []ident.ServerStart
	for id, known := range r.announcements {
		if known.leaving && r.servers[id] != nil && len(leaving) < maxLeaving {
			leaving = append(leaving, known.start)
		}
	}
	return leaving
}

// Pause records that a server wants no requests from this process for the given time.
func (r *Registry) Pause(of ident.ServerStart, pause time.Duration) {
	r.mu.Lock()
	now := r.config.Now()
	known := r.announcementOf(of)
	if known == nil || now.Add(pause) <= known.pausedUntil {
		r.mu.Unlock()
		return
	}
	known.pausedUntil = now.Add(pause)
	event := Event{Name: "paused", Server: platform.Server{ID: of.ID, StartedUnixMS: of.StartedUnixMS}, Pause: pause}
	if current := r.servers[of.ID]; current != nil {
		event.Server = current.Server
		r.rebuildReady()
	}
	r.mu.Unlock()
	r.config.OnEvent(event)
}

// UntilResumed returns the time until the first paused server of a service accepts requests again, 0 if none is paused.
func (r *Registry) UntilResumed(service ident.Pool) time.Duration {
	r.mu.RLock()
	defer r.mu.RUnlock()
	now := r.config.Now()
	shortest := time.Duration(0)
	for id, known := range r.announcements {
		server := r.servers[id]
		if server == nil || server.Service != service || server.State != platform.ServerReady || known.pausedUntil <= now {
			continue
		}
		if remaining := known.pausedUntil.Sub(now); shortest == 0 || remaining < shortest {
			shortest = remaining
		}
	}
	return shortest
}

// paused reports whether a server wants no requests now; the caller holds mu.
func (r *Registry) paused(id ident.Endpoint, now clock.Reading) bool {
	known := r.announcements[id]
	return known != nil && now < known.pausedUntil
}

// sweepAnnouncements forgets the announcements of servers that have been gone for announcementTTL; the caller holds mu.
func (r *Registry) sweepAnnouncements() {
	now := r.config.Now()
	for id, known := range r.announcements {
		switch {
		case r.servers[id] != nil:
		case known.absentSince == 0:
			known.absentSince = now
		case now.Sub(known.absentSince) > announcementTTL:
			r.forgetAnnouncement(id)
		}
	}
}

// forgetAnnouncement removes what a server has said; the caller holds mu.
func (r *Registry) forgetAnnouncement(id ident.Endpoint) {
	delete(r.announcements, id)
	delete(r.limited, id)
}
