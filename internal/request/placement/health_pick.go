package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"vanillapond/pkg/ident"
)

// Costs of servers by their health, in units of a request's value.
const (
	// suspectCost makes suspect servers the last choice before full ones.
	suspectCost = 0.4
	// suspectShare is one in how many requests that may run twice is placed as if suspect servers were healthy, so that it shows whether they are.
	suspectShare = 3
	// excessCost is the cost per unit by which the failure rate of a server exceeds toleratedExcess.
	excessCost      = 0.8
	toleratedExcess = 0.15
	// recentFailureCost is the cost, for a request that must not run twice, of a server whose connections broke or were refused; it decreases to 0
	// in failureMemory.
	recentFailureCost = 0.3
	failureMemory     = 2 * time.Second
	// noSuccessCost is the cost, for a request that must not run twice, of a server without a success within successMemory at any instance.
	noSuccessCost = 0.15
	successMemory = 2 * time.Second
	// failureRateCost makes the failure rate decide about a request that a server answered with an error.
	failureRateCost = 10
)

// tier is the order in which servers are considered.
type tier int

// Tiers of servers; those of a later tier get a request only if there is none of an earlier one.
const (
	usable tier = iota
	overloaded
	ejected
	excluded
)

// HealthReport returns what this instance reports to its peers about the servers; false if the service does not share it.
func (b *Balancer) HealthReport(now time.Time) (HealthReport, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.sharesHealth() {
		return HealthReport{}, false
	}
	return b.shared.report(now, b.members), true
}

// MergeHealth replaces a peer's report, which the caller has checked. It is kept before the first request, too, so that an instance that starts has the
// answers of its peers.
func (b *Balancer) MergeHealth(now time.Time, from ident.Process, report HealthReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.shared == nil {
		b.shared = newHealthTracker()
	}
	if !b.sharesHealth() {
		// Nothing else removes what has expired until the service gets requests.
		b.shared.expire(now)
	}
	b.shared.merge(now, from, report)
}

// HealthEvents returns the changes of the servers' states since the last call, after updating them.
func (b *Balancer) HealthEvents(now time.Time) []HealthEvent {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.sharesHealth() {
		return nil
	}
	b.shared.evaluate(now, b.members)
	events := b.shared.events
	b.shared.events = nil
	return events
}

// configureHealth turns shared health on or off.
func (b *Balancer) configureHealth(settings Settings) {
	if !settings.SharedHealth {
		b.shared = nil
		return
	}
	if b.shared == nil {
		b.shared = newHealthTracker()
	}
	b.shared.hash = xxhash.Sum64String(string(settings.Process))
}

// sharesHealth reports whether the service uses the results of all instances; those with more servers than a report holds don't. The caller holds mu.
func (b *Balancer) sharesHealth() bool {
	return b.shared != nil && b.settings.SharedHealth && len(b.members) <= maxHealthServers
}

// collectByHealth sets eligible to the servers of the first tier that has any. A trial that is due has its server alone.
func (b *Balancer) collectByHealth(now time.Time, query Query) (isTrial bool) {
	tracker := b.shared
	tracker.prepare(now, b.members)
	if query.MayRunTwice || tracker.repeatableAt.IsZero() {
		tracker.repeatableAt = now
	}
	mayBeTrial := tracker.mayBeTrial(now, query)
	b.eligible = b.eligible[:0]
	best := excluded
	for _, candidate := range b.members {
		if slices.Contains(query.Avoid, candidate.ID) || slices.Contains(query.Exclude, candidate.ID) {
			continue
		}
		b.estimate(now, candidate, 0)
		if mayBeTrial && tracker.mayTry(now, candidate) {
			b.eligible = append(b.eligible[:0], candidate)
			return true
		}
		switch found := tracker.tier(now, candidate, query); {
		case found == excluded || found > best:
		case found < best:
			best = found
			b.eligible = append(b.eligible[:0], candidate)
		default:
			b.eligible = append(b.eligible, candidate)
		}
	}
	return false
}

func (t *healthTracker) tier(now time.Time, candidate *server, query Query) tier {
	health := t.servers[candidate.ID]
	switch {
	case !query.MayRunTwice && health.findings.unproven:
		return excluded
	case health.state == Ejected, health.state == OnTrial && (!query.MayRunTwice || len(candidate.attempts) > 0):
		return ejected
	case candidate.health.ejected(now):
		return overloaded
	default:
		return usable
	}
}

// penalty returns the cost of a server's health for a request.
func (t *healthTracker) penalty(now time.Time, candidate *server, query Query) float64 {
	health := t.servers[candidate.ID]
	cost := overdueCost*float64(candidate.overdue(now)) + excessCost*max(health.failureRate-toleratedExcess, 0)
	if health.state == Suspect || health.state == Ejected {
		cost += suspectCost
	}
	if query.AfterError {
		cost += failureRateCost * health.failureRate
	}
	if query.MayRunTwice {
		return cost
	}
	if failed := health.findings.failed; !failed.IsZero() {
		cost += recentFailureCost * max(1-float64(now.Sub(failed))/float64(failureMemory), 0)
	}
	if now.Sub(health.findings.succeeded) > successMemory {
		cost += noSuccessCost
	}
	return cost
}

// healthPenalty returns the cost of a server's failures and overdue requests.
func (b *Balancer) healthPenalty(now time.Time, candidate *server, query Query) float64 {
	if !b.sharesHealth() || query.Engine {
		return candidate.penalty(now)
	}
	cost := b.shared.penalty(now, candidate, query)
	if b.shared.servers[candidate.ID].state == Suspect && query.MayRunTwice && !query.AfterError && b.random.IntN(suspectShare) == 0 {
		cost -= suspectCost
	}
	return cost
}

// failedAt returns when a connection to a server last broke or was refused at any instance; zero if that is not known.
func (b *Balancer) failedAt(chosen *server, query Query) time.Time {
	if !b.sharesHealth() || query.Engine {
		return time.Time{}
	}
	return b.shared.servers[chosen.ID].findings.failed
}

// startTrial counts an attempt as a trial, if it is one.
func (b *Balancer) startTrial(attempt *Attempt) {
	if attempt.trial && b.sharesHealth() {
		health := b.shared.server(attempt.sentAt, attempt.server.ID)
		health.trials++
		health.times.trial = attempt.sentAt
		b.shared.evaluatedAt = time.Time{}
	}
}

// recordHealth records the result of an attempt.
func (a *Attempt) recordHealth(now time.Time, result Result) {
	shared := a.balancer.shared
	if !a.balancer.sharesHealth() || !a.plain {
		a.server.health.record(now, result)
		return
	}
	if result != Unreachable {
		a.server.health.record(now, result)
	}
	endedAt := now
	if a.started {
		endedAt = a.firstEventAt
	}
	shared.record(now, a, result, endedAt.Sub(a.sentAt))
	if health := shared.servers[a.server.ID]; a.trial {
		health.trials = max(health.trials-1, 0)
	}
}

// countUnproven counts the servers that may not get a request because no request has succeeded there since a failure.
func (b *Balancer) countUnproven(query Query) int {
	if !b.sharesHealth() || query.Engine || query.MayRunTwice {
		return 0
	}
	count := 0
	for _, member := range b.members {
		if b.shared.servers[member.ID].findings.unproven {
			count++
		}
	}
	return count
}
