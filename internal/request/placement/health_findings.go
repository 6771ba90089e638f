package placement

import "time"

// find returns what all instances' results say about a server of a service with a number of servers.
func (t *healthTracker) find(member *server, contributions [len(criteria)]int, servers int) findings {
	health := t.servers[member.ID]
	health.mergeTimes(servers)
	found := findings{cause: CauseNone, score: -trialFloor, failed: latest(health.brokenAt, health.refusedAt), succeeded: health.times.success}
	for number := range criteria {
		score := health.evidences[number].score
		if criteria[number].onceOnly {
			if health.state == OnTrial {
				continue
			}
			// Errors of both kinds of requests are evidence of the same fault.
			score += max(health.evidences[number-1].score, 0)
		}
		if score > found.score || number == 0 {
			found.cause, found.score, found.instances = criteria[number].cause, score, contributions[number]
		}
	}
	found.passed = health.passed()
	health.suspected = found.score >= suspectScore || health.suspected && found.score > clearedScore
	suspecting, usedByPeers := 0, false
	if health.suspected {
		suspecting++
	}
	for index := range health.reports {
		report := &health.reports[index]
		found.succeeded = latest(found.succeeded, report.times.success)
		if report.counts.Suspected {
			suspecting++
		}
		usedByPeers = usedByPeers || report.counts.weight() >= contribution
	}
	found.suspected = 2*suspecting > len(t.peers)+1
	// An instance that hears no peer that uses the server has only its own results.
	found.confirmed = found.instances >= 2 || found.instances == 1 && !usedByPeers
	found.unproven = !health.proven(found.failed, len(t.peers))
	if found.unproven && found.score < suspectScore {
		found.cause, found.instances = CauseBroken, health.claims(func(times healthTimes) time.Time { return times.broken })
	}
	if !health.proven(health.refusedAt, len(t.peers)) {
		found.refused, found.cause = true, CauseRefused
		found.instances = health.claims(func(times healthTimes) time.Time { return times.refused })
		found.confirmed = found.instances >= 2 || health.times.refused.After(health.times.success)
	}
	return found
}

// passed reports whether the results since the server is on trial are good enough, by the cause of its ejection.
func (h *serverHealth) passed() bool {
	for number := range criteria {
		c := &criteria[number]
		switch {
		case c.onceOnly:
		case h.cause == c.cause:
			return h.evidences[number].score <= c.pass
		case h.cause == CauseRefused && c.cause == CauseBroken:
			return h.evidences[number].score <= passRefused
		}
	}
	return false
}

// mergeTimes updates the times of the server's failures and trials by this instance's and those of peers. A peer that claims failures of more than half of
// the servers is more likely to be cut off itself, or to report falsely: its claims need another instance's.
func (h *serverHealth) mergeTimes(servers int) {
	h.brokenAt = latest(h.brokenAt, h.times.broken)
	h.refusedAt = latest(h.refusedAt, h.times.refused)
	h.trialAt = latest(h.trialAt, h.times.trial)
	corroborated := h.claims(healthTimes.failed) >= 2
	for index := range h.reports {
		report := &h.reports[index]
		h.trialAt = latest(h.trialAt, report.times.trial)
		if report.times.claimsFailure() && (corroborated || 2*report.peer.claimed <= servers) {
			h.brokenAt = latest(h.brokenAt, report.times.broken)
			h.refusedAt = latest(h.refusedAt, report.times.refused)
		}
	}
}

// claims counts the instances that have had a failure at the server, by its time, and no success since.
func (h *serverHealth) claims(failedAt func(healthTimes) time.Time) int {
	count := 0
	if failedAt(h.times).After(h.times.success) {
		count++
	}
	for index := range h.reports {
		if times := &h.reports[index].times; failedAt(*times).After(times.success) {
			count++
		}
	}
	return count
}

// proven reports whether a request that was sent after a failure has succeeded: at this instance, or at provingPeers of its peers.
func (h *serverHealth) proven(failedAt time.Time, peers int) bool {
	if failedAt.IsZero() || h.times.success.After(failedAt) {
		return true
	}
	successes, after := 0, failedAt.Add(orderMargin)
	for index := range h.reports {
		if h.reports[index].times.success.After(after) {
			successes++
		}
	}
	return successes > 0 && successes >= min(provingPeers, peers)
}
