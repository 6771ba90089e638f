package placement

import (
	"time"

	"vanillapond/pkg/ident"
)

// find returns what all instances' results say about a server.
func (t *healthTracker) find(
	now time.Time, member *server, contributions [len(criteria)]int, doubtful map[ident.Process]bool,
) findings {
	health := t.servers[member.ID]
	t.mergeTimes(member.ID, doubtful)
	found := findings{cause: CauseNone, score: -evidenceFloor, failed: latest(health.brokenAt, health.refusedAt), succeeded: health.times.success}
	for number := range criteria {
		if score := health.evidences[number].score; score > found.score || number == 0 {
			found.cause, found.score, found.instances = criteria[number].cause, score, contributions[number]
		}
	}
	// An instance that hears no peer that uses the server has only its own results.
	found.confirmed = found.instances >= 2 || found.instances == 1 && !t.usedByPeers(member.ID)
	for _, peer := range t.peers {
		found.succeeded = latest(found.succeeded, peer.times[member.ID].success)
	}
	found.unproven = !t.proven(member.ID, found.failed)
	if found.unproven && found.score < suspectScore {
		found.cause, found.instances = CauseBroken, t.claims(member.ID, func(times healthTimes) time.Time { return times.broken })
	}
	if !health.refusedAt.IsZero() && !t.proven(member.ID, health.refusedAt) {
		found.refused, found.cause = true, CauseRefused
		found.instances = t.claims(member.ID, func(times healthTimes) time.Time { return times.refused })
		found.confirmed = found.instances >= 2 || health.times.refused.After(health.times.success)
	}
	return found
}

// usedByPeers reports whether a peer has had results of a server lately.
func (t *healthTracker) usedByPeers(id ident.Endpoint) bool {
	for _, peer := range t.peers {
		if counts := peer.counts[id]; counts.weight() >= contribution {
			return true
		}
	}
	return false
}

// mergeTimes updates the times of a server's failures and trials by this instance's and those of peers.
func (t *healthTracker) mergeTimes(id ident.Endpoint, doubtful map[ident.Process]bool) {
	health := t.servers[id]
	health.brokenAt = latest(health.brokenAt, health.times.broken)
	health.refusedAt = latest(health.refusedAt, health.times.refused)
	health.trialAt = latest(health.trialAt, health.times.trial)
	corroborated := t.claims(id, healthTimes.failed) >= 2
	for process, peer := range t.peers {
		times := peer.times[id]
		health.trialAt = latest(health.trialAt, times.trial)
		if doubtful[process] && !corroborated || times.success.After(times.failed()) {
			continue
		}
		health.brokenAt = latest(health.brokenAt, times.broken)
		health.refusedAt = latest(health.refusedAt, times.refused)
	}
}

// claims counts the instances that have had a failure at a server, by its time, and no success since.
func (t *healthTracker) claims(id ident.Endpoint, failedAt func(healthTimes) time.Time) int {
	count := 0
	if times := t.servers[id].times; failedAt(times).After(times.success) {
		count++
	}
	for _, peer := range t.peers {
		if times := peer.times[id]; failedAt(times).After(times.success) {
			count++
		}
	}
	return count
}

// doubtfulPeers returns the peers that claim failures of more than half of the servers: these are more likely to be cut off themselves, or to report
// falsely, and their claims need another instance's.
func (t *healthTracker) doubtfulPeers(members []*server) map[ident.Process]bool {
	var doubtful map[ident.Process]bool
	for process, peer := range t.peers {
		claimed := 0
		for _, member := range members {
			if times := peer.times[member.ID]; times.failed().After(times.success) {
				claimed++
			}
		}
		if 2*claimed > len(members) {
			if doubtful == nil {
				doubtful = make(map[ident.Process]bool)
			}
			doubtful[process] = true
		}
	}
	return doubtful
}

// proven reports whether a request that was sent after a failure has succeeded: at this instance, or at provingPeers of its peers.
func (t *healthTracker) proven(id ident.Endpoint, failedAt time.Time) bool {
	if failedAt.IsZero() || t.servers[id].times.success.After(failedAt) {
		return true
	}
	successes := 0
	for _, peer := range t.peers {
		if peer.times[id].success.After(failedAt.Add(orderMargin)) {
			successes++
		}
	}
	return successes > 0 && successes >= min(provingPeers, len(t.peers))
}
