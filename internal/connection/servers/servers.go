// Package servers maintains the set of servers registered in the store, each with its connection pool.
package servers

import (
	"maps"
	"slices"
	"sync"
	"time"

	"vanillapond/internal/connection/direct"
	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/sharedrate"
	"vanillapond/pkg/ident"
	"vanillapond/platform"
)

// Server is one incarnation of a server at one address.
type Server struct {
	platform.Server
	Pool *direct.Pool
	// missing reports whether the registration is absent and may be written again after an outage of the store.
	missing bool
}

// Config configures connections to servers and when a server without registration is removed.
type Config struct {
	// NewPool returns the connection pool of a server.
	NewPool func(server platform.Server) *direct.Pool
	// ReregistrationTimeout is how long after the end of an outage of the store a server whose registration is missing
	// is still used.
	ReregistrationTimeout time.Duration
	// RecoveryBound bounds how long after the end of an outage a server that has gone away may still be used; 0 means no
	// bound.
	RecoveryBound time.Duration
	// MinOutage is the shortest time without an answered call to the store in which registrations of running servers can
	// expire.
	MinOutage time.Duration
	// RegistrationTimeout is how long after its server has ended a registration may still be unchanged; 0 means a default.
	RegistrationTimeout time.Duration
	// ListAsOf returns as of when the list of registrations is known to be current; nil means now.
	ListAsOf func() clock.Reading
	// OnEvent receives the changes that follow from the servers' responses; nil means that they are ignored.
	OnEvent func(Event)
	// Share returns this instance's share of the rates that servers accept from all instances together; nil means all of them.
	Share func() sharedrate.Share
	// WarmupLimit returns the limit of a service's servers while they warm up; nil means none.
	WarmupLimit func(ident.Pool) WarmupLimit
	// AgreedTime returns the time of day as all instances see it; nil means time.Now.
	AgreedTime func() time.Time
	// Now returns the current time; nil means clock.Boot.
	Now func() clock.Reading
}

// Registry holds the registered servers and, by service, those that accept new requests.
type Registry struct {
	config Config
	mu     sync.RWMutex
	// servers holds all servers with a readable registration, including draining ones; guarded by mu.
	servers map[ident.Endpoint]*Server
	// announcements holds what servers have said about themselves in their responses; guarded by mu.
	announcements map[ident.Endpoint]*announcement
	// limited holds the servers that have a rate limit; it is a subset of announcements. Guarded by mu.
	limited map[ident.Endpoint]*rateLimit
	// warming holds the servers that have started recently; guarded by mu.
	warming map[ident.Endpoint]*warmup
	// evacuated holds the failure domains whose servers get no requests; the set is replaced, never modified. Guarded by mu.
	evacuated map[ident.FailureDomain]bool
	// refused holds the last refusal of a connection by each server, until its registration is certain again; guarded by mu.
	refused map[ident.Endpoint]refusal
	// departed holds the incarnations that were removed, and when, for restoreMemory; guarded by mu.
	departed map[ident.ServerStart]clock.Reading
	// ready holds the servers of each service that accept new requests; its lists are never modified. Guarded by mu.
	ready map[ident.Pool][]*Server
	// resumeAt is when the first paused server accepts requests again, so that ready must be rebuilt; 0 if none is paused.
	// Guarded by mu.
	resumeAt clock.Reading
	// generation is incremented whenever ready changes; guarded by mu.
	generation uint64
	// listed reports whether a complete list of registrations has been received; guarded by mu.
	listed bool
	// storeOutage detects outages of the store; guarded by mu.
	storeOutage outageDetector
}

// New returns an empty registry.
func New(config Config) *Registry {
	if config.Now == nil {
		config.Now = clock.Boot
	}
	if config.OnEvent == nil {
		config.OnEvent = func(Event) {}
	}
	if config.Share == nil {
		config.Share = func() sharedrate.Share { return sharedrate.Share{Count: 1} }
	}
	if config.WarmupLimit == nil {
		config.WarmupLimit = func(ident.Pool) WarmupLimit { return WarmupLimit{} }
	}
	if config.AgreedTime == nil {
		config.AgreedTime = time.Now
	}
	if config.ListAsOf == nil {
		config.ListAsOf = config.Now
	}
	if config.RegistrationTimeout == 0 {
		config.RegistrationTimeout = defaultRegistrationTimeout
	}
	return &Registry{
		refused: make(map[ident.Endpoint]refusal),
		limited: make(map[ident.Endpoint]*rateLimit), warming: make(map[ident.Endpoint]*warmup),
		config: config, servers: make(map[ident.Endpoint]*Server), announcements: make(map[ident.Endpoint]*announcement),
		departed: make(map[ident.ServerStart]clock.Reading),
		ready:    make(map[ident.Pool][]*Server),
	}
}

// Ready returns the servers of a service that accept new requests, and a generation number that changes with them; the
// caller must not modify the list.
func (r *Registry) Ready(service ident.Pool) (list []*Server, generation uint64) {
	r.mu.RLock()
	list, generation = r.ready[service], r.generation
	resume := r.resumeAt != 0 && r.config.Now() >= r.resumeAt
	r.mu.RUnlock()
	if !resume {
		return list, generation
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rebuildReady()
	return r.ready[service], r.generation
}

// Accepts reports whether a server still accepts new requests.
func (r *Registry) Accepts(server *Server) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	current := r.servers[server.ID]
	return current == server && current.State == platform.ServerReady && !r.evacuated[current.Domain] &&
		!r.paused(server.ID, r.config.Now())
}

// Evacuate sets the failure domains whose servers get no requests, and reports whether they have changed. The caller must not modify the set
// afterwards.
func (r *Registry) Evacuate(domains map[ident.FailureDomain]bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if maps.Equal(r.evacuated, domains) {
		return false
	}
	r.evacuated = domains
	r.rebuildReady()
	return true
}

// Missing reports whether the server is used although its registration is absent.
func (s *Server) Missing() bool { return s.missing }

// All returns all servers, including draining ones and those whose registration is missing, in no particular order.
func (r *Registry) All() []*Server {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return slices.Collect(maps.Values(r.servers))
}

// SoftwareVersions returns the software versions of each service's servers, each once and sorted.
func (r *Registry) SoftwareVersions() map[ident.Pool][]ident.Software {
	r.mu.RLock()
	defer r.mu.RUnlock()
	versions := make(map[ident.Pool][]ident.Software)
	for _, server := range r.servers {
		if !slices.Contains(versions[server.Service], server.Software) {
			versions[server.Service] = append(versions[server.Service], server.Software)
		}
	}
	for _, sorted := range versions {
		slices.Sort(sorted)
	}
	return versions
}

// Software returns the software version of a server, false if the server is not known.
func (r *Registry) Software(id ident.Endpoint) (ident.Software, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	server := r.servers[id]
	if server == nil {
		return "", false
	}
	return server.Software, true
}

// Listed reports whether a complete list of registrations has been received.
func (r *Registry) Listed() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.listed
}

// Counts returns the number of servers and how many of them accept new requests.
func (r *Registry) Counts() (known, ready int) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, list := range r.ready {
		ready += len(list)
	}
	return len(r.servers), ready
}

// ObserveStore records the duration of a call to the store and whether it was answered; registrations may expire while
// the store answers no call.
func (r *Registry) ObserveStore(duration time.Duration, responded bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeOutage.observe(r.config.Now(), duration, responded, r.config)
}

// Event is a change of the registry's state.
type Event struct {
	// Name is joined, changed, leaving, missing, returned, gone, announced_leaving, paused, limited or limit_ended. Of a server that is no
	// longer registered, the last four tell only the id and the start.
	Name   string
	Server platform.Server
	// Pause is for how long a paused server wants no requests.
	Pause time.Duration
	// Rate is the rate that a limited server accepts from all instances together, and FromPeer whether another instance received that.
	Rate     sharedrate.Rate
	FromPeer bool
}

// Update applies changed and removed registrations; complete means that registrations holds all that exist.
func (r *Registry) Update(registrations []platform.Server, removed []ident.Endpoint, complete bool) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var events []Event
	present := make(map[ident.Endpoint]bool, len(registrations))
	for _, registration := range registrations {
		present[registration.ID] = true
		if known := r.announcements[registration.ID]; known != nil && !complete {
			known.unconfirmed = false
		}
		events = r.register(events, registration)
	}
	for _, id := range removed {
		events = r.markMissing(events, id)
	}
	if complete {
		r.listed = true
		for id := range r.servers {
			if !present[id] {
				events = r.markMissing(events, id)
			}
		}
	}
	r.rebuildReady()
	return events
}

// register applies one registration; the caller holds mu.
func (r *Registry) register(events []Event, registration platform.Server) []Event {
	registration = r.withAnnouncement(registration)
	old := r.servers[registration.ID]
	r.recordWarmup(old, registration)
	if old == nil {
		r.servers[registration.ID] = &Server{Server: registration, Pool: r.config.NewPool(registration)}
		return append(events, Event{Name: "joined", Server: registration})
	}
	if old.Address != registration.Address || old.StartedUnixMS != registration.StartedUnixMS || old.Service != registration.Service {
		old.Pool.Close()
		r.servers[registration.ID] = &Server{Server: registration, Pool: r.config.NewPool(registration)}
		return append(events, Event{Name: "changed", Server: registration})
	}
	name := ""
	switch {
	case old.State != registration.State:
		name = "leaving"
	case old.missing:
		name = "returned"
	}
	// Replaces the server instead of modifying it, because requests read the old value without the lock.
	r.servers[registration.ID] = &Server{Server: registration, Pool: old.Pool}
	if name == "" {
		return events
	}
	return append(events, Event{Name: name, Server: registration})
}

// markMissing handles an absent registration. During and shortly after an outage of the store the server is kept,
// because its registration may be written again; otherwise it is removed. The caller holds mu.
func (r *Registry) markMissing(events []Event, id ident.Endpoint) []Event {
	old := r.servers[id]
	if old == nil || old.missing {
		return events
	}
	if old.State == platform.ServerReady && r.storeOutage.excusesMissing(r.config.Now(), r.config) {
		r.servers[id] = &Server{Server: old.Server, Pool: old.Pool, missing: true}
		return append(events, Event{Name: "missing", Server: old.Server})
	}
	return r.remove(events, id)
}

func (r *Registry) remove(events []Event, id ident.Endpoint) []Event {
	old := r.servers[id]
	old.Pool.Close()
	r.departed[old.Start()] = r.config.Now()
	delete(r.servers, id)
	return append(events, Event{Name: "gone", Server: old.Server})
}

// Sweep removes servers whose registration was not written again in time, and closes connections that were idle for too
// long.
func (r *Registry) Sweep() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var events []Event
	wall := time.Now()
	expired := !r.storeOutage.excusesMissing(r.config.Now(), r.config)
	for id, server := range r.servers {
		if server.missing && expired {
			events = r.remove(events, id)
			continue
		}
		server.Pool.Trim(wall)
	}
	r.sweepAnnouncements()
	r.sweepWarming()
	r.sweepDeparted()
	r.sweepRefused()
	if len(events) > 0 {
		r.rebuildReady()
	}
	return events
}

// rebuildReady rebuilds the lists of servers that accept new requests; the caller holds mu.
func (r *Registry) rebuildReady() {
	ready := make(map[ident.Pool][]*Server)
	now := r.config.Now()
	r.resumeAt = 0
	for _, server := range r.servers {
		switch {
		case server.State != platform.ServerReady, r.evacuated[server.Domain]:
		case r.paused(server.ID, now):
			if until := r.announcements[server.ID].pausedUntil; r.resumeAt == 0 || until < r.resumeAt {
				r.resumeAt = until
			}
		default:
			ready[server.Service] = append(ready[server.Service], server)
		}
	}
	r.ready = ready
	r.generation++
}
