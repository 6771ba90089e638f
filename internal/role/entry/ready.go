package entry

import (
	"net/http"
	"sync"
	"time"
)

// linkTimeout is how long a new entry waits for links to every pool before it takes requests all the same.
const linkTimeout = 5 * time.Second

// readiness says whether the balancer may send requests.
type readiness struct {
	// linked reports whether each pool has an endpoint that takes work.
	linked func() bool
	mu     sync.Mutex
	// configuredAt is when the first configuration was in force; guarded by mu.
	configuredAt time.Time
	// accepting is set once and cleared only by leave; guarded by mu.
	accepting bool
	// draining is never cleared; guarded by mu.
	draining bool
}

// ready reports whether requests are taken; trusted says that a configuration is in force and may be trusted.
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

// drain makes the balancer send no more requests.
func (r *readiness) drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
}

// serveReady answers the balancer.
func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !e.readiness.ready(e.snapshots.Current() != nil && e.freshness.Open(), time.Now()) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
