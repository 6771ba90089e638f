package placement

import (
	"time"

	"vanillapond/internal/request/servermodel"
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
	// Speed is the server's estimated speed, and HasSpeed whether the service has a server model.
	Speed    servermodel.Figures
	HasSpeed bool
	// Health is the state by the results of all instances, Cause why it is not healthy, and Instances how many instances' results show it. They are
	// empty for services that don't share health.
	Health    HealthState
	Cause     Cause
	Instances int
}

// ServerStatuses returns the view of each server that accepts new requests, in no particular order.
func (b *Balancer) ServerStatuses(now time.Time) []ServerStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expirePeers(now)
	reportAge := b.meanReportAge(now)
	if b.sharesHealth() {
		b.shared.evaluate(now, b.members)
	}
	statuses := make([]ServerStatus, 0, len(b.members))
	for _, candidate := range b.members {
		b.estimate(now, candidate, reportAge)
		status := ServerStatus{
			Server: candidate.ID, Local: candidate.local, Total: candidate.load, FailureRate: candidate.health.failureRate,
			EjectedFor: max(candidate.health.ejectedUntil.Sub(now), 0), Overdue: candidate.overdue(now),
		}
		if candidate.speed != nil {
			status.Speed, status.HasSpeed = candidate.speed.Figures(now), true
		}
		if b.sharesHealth() {
			health := b.shared.servers[candidate.ID]
			status.Health, status.Cause, status.Instances = health.state, health.cause, health.instances
		}
		statuses = append(statuses, status)
	}
	return statuses
}
