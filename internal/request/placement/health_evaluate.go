package placement

import (
	"cmp"
	"slices"
	"time"

	"vanillapond/pkg/ident"
)

// evaluate updates the states by all results.
func (t *healthTracker) evaluate(now time.Time, members []*server) {
	if now.Sub(t.evaluatedAt) < evaluationInterval && !now.Before(t.evaluatedAt) {
		return
	}
	t.evaluatedAt = now
	t.expire(now)
	contributions := make([][len(criteria)]int, len(members))
	for index, member := range members {
		t.server(now, member.ID).memberAt = now
		contributions[index] = t.sum(now, member)
	}
	t.updateUsualTime(members)
	wanted := make([]HealthState, len(members))
	for index, member := range members {
		health := t.servers[member.ID]
		t.score(now, members, index)
		health.findings = t.find(member, contributions[index], len(members))
		wanted[index] = health.next(now, health.findings)
	}
	t.limitEjected(members, wanted)
	for index, member := range members {
		t.transition(now, member.ID, wanted[index])
	}
}

// sum sets the total counts of a server, with those of each peer limited to the weight of one instance, and returns how many instances contribute to
// each criterion.
func (t *healthTracker) sum(now time.Time, member *server) [len(criteria)]int {
	health := t.servers[member.ID]
	health.total = t.counts(now, member)
	t.weights = append(t.weights[:0], health.total.weight())
	for index := range health.reports {
		report := &health.reports[index]
		t.weights = append(t.weights, report.peer.factor*report.counts.weight())
	}
	slices.Sort(t.weights)
	limit := max(minPeerWeight, maxPeerWeight*t.weights[len(t.weights)/2])
	var contributions [len(criteria)]int
	for number := range criteria {
		if criteria[number].count(&health.total).bad >= contribution {
			contributions[number]++
		}
	}
	for index := range health.reports {
		report := &health.reports[index]
		factor := report.peer.factor
		for number := range criteria {
			if factor*criteria[number].count(&report.counts).bad >= contribution {
				contributions[number]++
			}
		}
		if weight := factor * report.counts.weight(); weight > limit {
			factor *= limit / weight
		}
		health.total.add(report.counts, factor)
	}
	return contributions
}

func (c *ServerCounts) weight() float64 { return max(c.delivered(), c.Timed) + c.Refused }

// updateUsualTime sets the usual response time: the lower median of the servers' means.
func (t *healthTracker) updateUsualTime(members []*server) {
	var means []float64
	for _, member := range members {
		if total := t.servers[member.ID].total; total.Timed >= contribution {
			means = append(means, total.Milliseconds/total.Timed)
		}
	}
	if len(means) > 0 {
		slices.Sort(means)
		t.usualTime = time.Duration(means[(len(means)-1)/2] * float64(time.Millisecond))
	}
}

// score updates the evidence about a server in comparison with the others.
func (t *healthTracker) score(now time.Time, members []*server, index int) {
	health := t.servers[members[index].ID]
	failures := tally{bad: health.total.Failures + health.total.Errors, total: health.total.delivered()}
	health.failureRate = failures.rate(criteria[0].least)
	floor := evidenceFloor
	if health.state == OnTrial {
		floor = trialFloor
	}
	for number := range criteria {
		c := &criteria[number]
		others := make([]tally, 0, len(members))
		for other, member := range members {
			if other != index {
				others = append(others, c.count(&t.servers[member.ID].total))
			}
		}
		current := c.count(&health.total)
		if usual, found := c.usualRate(others); found {
			health.evidences[number].update(now, current, usual, c.excess, floor)
		} else {
			health.evidences[number].reset(now, current)
		}
	}
}

// transition sets a server's state.
func (t *healthTracker) transition(now time.Time, id ident.Endpoint, state HealthState) {
	health := t.servers[id]
	found := health.findings
	if state == health.state {
		return
	}
	event := HealthEvent{
		At: now, Server: id, State: state, Previous: health.state, Cause: health.cause, Instances: found.instances, Total: health.total,
	}
	if state == Suspect || state == Ejected {
		health.cause, health.instances = found.cause, found.instances
		event.Cause = found.cause
	}
	health.state, health.since = state, now
	switch state {
	case Ejected, OnTrial:
		t.resetEvidence(now, health)
	case Healthy:
		health.cause, health.instances = CauseNone, 0
	case Suspect:
	}
	if len(t.events) == maxHealthEvents {
		t.events = t.events[1:]
	}
	t.events = append(t.events, event)
}

func (t *healthTracker) resetEvidence(now time.Time, health *serverHealth) {
	for number := range criteria {
		health.evidences[number].reset(now, criteria[number].count(&health.total))
	}
}

// limitEjected makes servers suspect instead of ejected where more than half of them would be, unless all refuse connections.
func (t *healthTracker) limitEjected(members []*server, wanted []HealthState) {
	var out []int
	allRefuse := true
	for index, state := range wanted {
		if state == Ejected || state == OnTrial {
			out = append(out, index)
		}
		allRefuse = allRefuse && state == Ejected && t.servers[members[index].ID].refuses()
	}
	if allRefuse || len(out) <= len(members)/2 {
		return
	}
	rank := func(index int) int {
		health := t.servers[members[index].ID]
		switch {
		case health.refuses():
			return 0
		case health.state == Ejected || health.state == OnTrial:
			return 1
		default:
			return 2
		}
	}
	slices.SortStableFunc(out, func(a, b int) int { return cmp.Compare(rank(a), rank(b)) })
	for _, index := range out[len(members)/2:] {
		wanted[index] = Suspect
	}
}

// refuses reports whether the server is, or is to be, ejected because it refuses connections.
func (h *serverHealth) refuses() bool {
	if h.state == Ejected || h.state == OnTrial {
		return h.cause == CauseRefused
	}
	return h.findings.refused && h.findings.confirmed
}
