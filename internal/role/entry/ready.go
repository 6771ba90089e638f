package entry

import (
	"net/http"
	"sync"
	"time"
)

// linkTimeout is how long a new entry waits for links to every pool before it reports ready without them.
const linkTimeout = 5 * time.Second

// readiness tracks whether the load balancer may send requests to this entry.
type readiness struct {
	// linked reports whether each pool has a linked endpoint that accepts requests.
	linked func() bool
	mu     sync.Mutex
	// configuredAt is when a usable configuration was first in force; guarded by mu.
	configuredAt time.Time
	// accepting is set when the entry first becomes ready, and stays set if links are lost later; guarded by mu.
	accepting bool
	// draining is set by drain and never cleared; guarded by mu.
	draining bool
}

// ready reports whether the entry accepts requests; configurationUsable says that a configuration is in force and known to
// be current.
func (r *readiness) ready(configurationUsable bool, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !configurationUsable || r.draining {
		return false
	}
	if r.configuredAt.IsZero() {
		r.configuredAt = now
	}
	r.accepting = r.accepting || now.Sub(r.configuredAt) >= linkTimeout || r.linked()
	return r.accepting
}

// drain makes the entry report not ready for good.
func (r *readiness) drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
}

// serveReady responds to the load balancer's readiness probe.
func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !e.readiness.ready(e.snapshots.Current() != nil && e.freshness.Open(), time.Now()) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
