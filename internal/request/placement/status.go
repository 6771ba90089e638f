package placement

import (
	"time"

	"vanillapond/pkg/ident"
)

// ServerStatus is the balancer's view of a server, for diagnosis of a running router instance.
type ServerStatus struct {
	Server ident.Endpoint
	// Local is the load sent by this router instance, and Total the estimated load from all instances.
	Local, Total Load
	// FailureRate is the exponentially weighted fraction of this instance's requests to the server that failed, 0 to 1.
	FailureRate float64
	// EjectedFor is how much longer this instance sends no new requests to the server; 0 if it is not ejected.
	EjectedFor time.Duration
	// Overdue counts this instance's requests at the server whose first event is overdue.
	Overdue int
}

// ServerStatuses returns the view of each server that accepts new requests, in no particular order.
func (b *Balancer) ServerStatuses(now time.Time) []ServerStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expirePeers(now)
	prefilled := b.prefilledSince(now)
	statuses := make([]ServerStatus, 0, len(b.members))
	for _, candidate := range b.members {
		b.estimate(now, candidate, prefilled)
		statuses = append(statuses, ServerStatus{
			Server: candidate.ID, Local: candidate.local, Total: candidate.load, FailureRate: candidate.health.failureRate,
			EjectedFor: max(candidate.health.ejectedUntil.Sub(now), 0), Overdue: candidate.overdue(now),
		})
	}
	return statuses
}
