package placement

import (
	"time"

	"vanillapond/pkg/ident"
)

// ServerStatus is what the board believes of a server, for whoever looks into a running entry.
type ServerStatus struct {
	Server ident.Endpoint
	// Local is the work that this entry has sent, and All that of all entries.
	Local, Total Load
	// FailureRate is the weighted share of this entry's requests that failed there, 0 to 1.
	FailureRate float64
	// EjectedFor is for how long the server gets no new work from this entry; 0 means that it does.
	EjectedFor time.Duration
	// Overdue counts this entry's requests there that got no first bytes long after they were expected.
	Overdue int
}

// ServerStatuses returns what is believed of each server that takes new work, in no order.
func (b *Balancer) ServerStatuses(now time.Time) []ServerStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	done := b.readSince(now)
	standings := make([]ServerStatus, 0, len(b.members))
	for _, each := range b.members {
		all := each.remote
		all.Prefill.drain(done)
		all.add(each.own)
		standings = append(standings, ServerStatus{
			Server: each.ID, Local: each.own, Total: all, FailureRate: each.health.failures,
			EjectedFor: max(each.health.outUntil.Sub(now), 0), Overdue: each.overdue(now),
		})
	}
	return standings
}
