package servers

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"vanillapond/internal/process/sharedrate"
	"vanillapond/pkg/ident"
)

// WithoutTurn returns the servers to which this instance must send no request now, because they take few from all instances together.
func (r *Registry) WithoutTurn() []ident.Endpoint {
	r.mu.RLock()
	unlimited := len(r.limited)+len(r.warming) == 0
	r.mu.RUnlock()
	if unlimited {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now, share := r.config.AgreedTime(), r.config.Share()
	var without []ident.Endpoint
	for id := range r.limited {
		if !available(now, r.limiters(id, now, share)) {
			without = append(without, id)
		}
	}
	for id := range r.warming {
		if r.limited[id] == nil && !available(now, r.limiters(id, now, share)) {
			without = append(without, id)
		}
	}
	return without
}

// TakeTurn reports whether this instance may send a request to a server now, and whether the server takes few from all instances together;
// that uses a turn.
func (r *Registry) TakeTurn(id ident.Endpoint) (limited, ok bool) {
	r.mu.RLock()
	unlimited := r.limited[id] == nil && r.warming[id] == nil
	r.mu.RUnlock()
	if unlimited {
		return false, true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.AgreedTime()
	limiters := r.limiters(id, now, r.config.Share())
	if !available(now, limiters) {
		return true, false
	}
	for _, limiter := range limiters {
		limiter.Take(now)
	}
	return len(limiters) > 0, true
}

// TurnInterval returns the mean time between two requests that a service takes if all of its servers have limits, 0 otherwise.
func (r *Registry) TurnInterval(service ident.Pool) time.Duration {
	ready, _ := r.Ready(service)
	if len(ready) == 0 {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now, share := r.config.AgreedTime(), r.config.Share()
	sum := sharedrate.Rate(0)
	for _, server := range ready {
		limiters := r.limiters(server.ID, now, share)
		if len(limiters) == 0 {
			return 0
		}
		lowest := limiters[0].Rate()
		for _, limiter := range limiters {
			lowest = min(lowest, limiter.Rate())
		}
		sum += lowest
	}
	return time.Duration(float64(time.Second) / float64(sum))
}

// limiters returns the limiters of a server, with the limits and the share that hold now; the caller holds mu.
func (r *Registry) limiters(id ident.Endpoint, now time.Time, share sharedrate.Share) []*sharedrate.Limiter {
	var limiters []*sharedrate.Limiter
	if limit := r.limited[id]; limit != nil {
		limit.limiter.Set(now, limit.latest.Rate, share)
		limiters = append(limiters, limit.limiter)
	}
	if limiter := r.warmupLimiter(id, now, share); limiter != nil {
		limiters = append(limiters, limiter)
	}
	return limiters
}

func available(now time.Time, limiters []*sharedrate.Limiter) bool {
	for _, limiter := range limiters {
		if !limiter.Available(now) {
			return false
		}
	}
	return true
}

// turnOffset spreads the turns of an instance at different servers over time.
func turnOffset(id ident.Endpoint) float64 {
	return float64(xxhash.Sum64String(string(id))) / math.MaxUint64
}
