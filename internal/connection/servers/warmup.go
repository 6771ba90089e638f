package servers

import (
	"time"

	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/sharedrate"
	"vanillapond/pkg/ident"
	"vanillapond/platform"
)

// warmupWindow is the interval for which the limit of a server that warms up holds.
const warmupWindow = time.Second

// WarmupLimit is how many requests a server that has started recently accepts from all instances together: in no second more than
// Overage times Rate, and Slack in addition. A Rate of 0 means that there is no limit.
type WarmupLimit struct {
	Rate           sharedrate.Rate
	Overage, Slack float64
}

// warmup is a server that has started recently.
type warmup struct {
	// remaining is what the registration said, and until when that time is over.
	remaining platform.Milliseconds
	until     clock.Reading
	limiter   *sharedrate.Limiter
}

// recordWarmup records how long a registration says that its server warms up; the caller holds mu. A registration that is read again
// without a change does not begin that time anew.
func (r *Registry) recordWarmup(old *Server, registration platform.Server) {
	id, remaining := registration.ID, registration.WarmupRemaining
	known := r.warming[id]
	if remaining <= 0 {
		delete(r.warming, id)
		return
	}
	if known != nil && known.remaining == remaining && old != nil && old.Start() == (&Server{Server: registration}).Start() {
		return
	}
	r.warming[id] = &warmup{remaining: remaining, until: r.config.Now().Add(remaining.Duration())}
}

// warmupLimiter returns the limiter of a server that warms up, nil if it has no limit; the caller holds mu.
func (r *Registry) warmupLimiter(id ident.Endpoint, now time.Time, share sharedrate.Share) *sharedrate.Limiter {
	known, server := r.warming[id], r.servers[id]
	if known == nil || server == nil || r.config.Now() >= known.until {
		return nil
	}
	limit := r.config.WarmupLimit(server.Service)
	if limit.Rate <= 0 {
		return nil
	}
	if known.limiter == nil {
		known.limiter = sharedrate.New(sharedrate.Config{
			Window: warmupWindow, Overage: limit.Overage, Slack: limit.Slack, Offset: turnOffset(id),
		})
	}
	known.limiter.Set(now, limit.Rate, share)
	return known.limiter
}

// sweepWarming forgets servers that have warmed up or are gone; the caller holds mu.
func (r *Registry) sweepWarming() {
	for id, known := range r.warming {
		if r.servers[id] == nil || r.config.Now() >= known.until {
			delete(r.warming, id)
		}
	}
}
