// Package servers knows the servers that are registered in the store, each with its connections.
package servers

import (
	"maps"
	"slices"
	"sync"
	"time"

	"vanillapond/internal/connection/direct"
	"vanillapond/internal/process/clock"
	"vanillapond/pkg/ident"
	"vanillapond/platform"
)

// Server is one incarnation of a server at one address.
type Server struct {
	platform.Server
	Pool *direct.Pool
	// missing says that the entry is not there and may come back after an outage of the store.
	missing bool
}

// Config says how servers are reached and forgotten.
type Config struct {
	// NewPool returns the connections to a server.
	NewPool func(server platform.Server) *direct.Pool
	// ReregistrationTimeout is how long after the store's return from an outage a server whose entry is missing is still used.
	ReregistrationTimeout time.Duration
	// RecoveryBound is how long after the store's return a server that has left may still be used at most; 0 means unknown.
	RecoveryBound time.Duration
	// MinOutage is how long the store must have answered nothing for entries of living servers to have lapsed.
	MinOutage time.Duration
	// Now reads the clock; nil means clock.Boot.
	Now func() clock.Reading
}

// Registry holds the servers that take new work, by service.
type Registry struct {
	config Config
	mu     sync.RWMutex
	// known holds all servers with an entry that could be read, leaving ones too; guarded by mu.
	known map[ident.Endpoint]*Server
	// ready holds the servers of each service that take new work; its lists are never changed. Guarded by mu.
	ready map[ident.Pool][]*Server
	// generation changes with ready; guarded by mu.
	generation uint64
	// listed says that the servers were listed once; guarded by mu.
	listed bool
	// store tells of the store's outages; guarded by mu.
	store outage
}

// New returns an empty registry.
func New(config Config) *Registry {
	if config.Now == nil {
		config.Now = clock.Boot
	}
	return &Registry{config: config, known: make(map[ident.Endpoint]*Server), ready: make(map[ident.Pool][]*Server)}
}

// Ready returns the servers of a service that take new work, and a number that changes with them; the list must not be
// changed.
func (r *Registry) Ready(service ident.Pool) (list []*Server, generation uint64) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.ready[service], r.generation
}

// Accepts reports whether a server still takes new work.
func (r *Registry) Accepts(server *Server) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	known := r.known[server.ID]
	return known == server && known.State == platform.ServerReady
}

// Missing reports whether the server is used although its entry is not there.
func (s *Server) Missing() bool { return s.missing }

// All returns the servers with an entry, leaving ones too, in no order.
func (r *Registry) All() []*Server {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return slices.Collect(maps.Values(r.known))
}

// Listed reports whether the servers have been listed once.
func (r *Registry) Listed() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.listed
}

// Counts returns how many servers are known and how many of them take new work.
func (r *Registry) Counts() (known, ready int) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, list := range r.ready {
		ready += len(list)
	}
	return len(r.known), ready
}

// ObserveStore notes how long a call to the store took and whether it was answered: entries may lapse while none is.
func (r *Registry) ObserveStore(took time.Duration, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.store.observe(r.config.Now(), took, answered, r.config)
}

// Event is a change of what the registry believes.
type Event struct {
	// Name is joined, changed, leaving, missing, returned or gone.
	Name   string
	Server platform.Server
}

// Update takes over entries; whole says that they are all there are.
func (r *Registry) Update(entries []platform.Server, removed []ident.Endpoint, whole bool) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var events []Event
	present := make(map[ident.Endpoint]bool, len(entries))
	for _, entry := range entries {
		present[entry.ID] = true
		events = r.put(events, entry)
	}
	for _, id := range removed {
		events = r.miss(events, id)
	}
	if whole {
		r.listed = true
		for id := range r.known {
			if !present[id] {
				events = r.miss(events, id)
			}
		}
	}
	r.index()
	return events
}

// put takes over one entry; the caller holds mu.
func (r *Registry) put(events []Event, entry platform.Server) []Event {
	old := r.known[entry.ID]
	if old == nil {
		r.known[entry.ID] = &Server{Server: entry, Pool: r.config.NewPool(entry)}
		return append(events, Event{Name: "joined", Server: entry})
	}
	if old.Address != entry.Address || old.StartedUnixMS != entry.StartedUnixMS || old.Service != entry.Service {
		old.Pool.Close()
		r.known[entry.ID] = &Server{Server: entry, Pool: r.config.NewPool(entry)}
		return append(events, Event{Name: "changed", Server: entry})
	}
	name := ""
	switch {
	case old.State != entry.State:
		name = "leaving"
	case old.missing:
		name = "returned"
	}
	// A new value, because requests read the old one without the lock.
	r.known[entry.ID] = &Server{Server: entry, Pool: old.Pool}
	if name == "" {
		return events
	}
	return append(events, Event{Name: name, Server: entry})
}

// miss notes that an entry is missing; after an outage of the store it may come back. The caller holds mu.
func (r *Registry) miss(events []Event, id ident.Endpoint) []Event {
	old := r.known[id]
	if old == nil || old.missing {
		return events
	}
	if old.State == platform.ServerReady && r.store.excuses(r.config.Now(), r.config) {
		r.known[id] = &Server{Server: old.Server, Pool: old.Pool, missing: true}
		return append(events, Event{Name: "missing", Server: old.Server})
	}
	return r.drop(events, id)
}

func (r *Registry) drop(events []Event, id ident.Endpoint) []Event {
	old := r.known[id]
	old.Pool.Close()
	delete(r.known, id)
	return append(events, Event{Name: "gone", Server: old.Server})
}

// Sweep forgets servers whose entries have not come back, and closes connections that were idle too long.
func (r *Registry) Sweep() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var events []Event
	wall := time.Now()
	late := !r.store.excuses(r.config.Now(), r.config)
	for id, server := range r.known {
		if server.missing && late {
			events = r.drop(events, id)
			continue
		}
		server.Pool.Trim(wall)
	}
	if len(events) > 0 {
		r.index()
	}
	return events
}

// index makes the lists of servers that take new work; the caller holds mu.
func (r *Registry) index() {
	ready := make(map[ident.Pool][]*Server)
	for _, server := range r.known {
		if server.State == platform.ServerReady {
			ready[server.Service] = append(ready[server.Service], server)
		}
	}
	r.ready = ready
	r.generation++
}
