package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"vanillapond/pkg/ident"
)

const (
	// evaluationInterval is the time between two evaluations of all results, if this instance has none that may change a state.
	evaluationInterval = 10 * time.Millisecond
	// smallService is the number of servers up to which a decision updates the states; it takes some 25 us with 3 servers and 30 peers, and grows with
	// both. In larger services only HealthEvents does, which is called at each gossip interval.
	smallService = 8
	// minPeerWeight is the number of a peer's requests that always count, and maxPeerWeight how many times the median instance's requests count at
	// most, so that a peer with false counts weighs no more than one instance.
	minPeerWeight = 3.0
	maxPeerWeight = 2.0
	// contribution is the decayed count of bad results from which an instance counts as having seen them.
	contribution = 0.1
	// provingPeers is the number of peers that must have a later success before this instance takes a server for usable that it has not tried itself.
	provingPeers = 2
	// orderMargin is by how much a peer's success must be later than a failure, since datagrams are delayed.
	orderMargin = 20 * time.Millisecond
	// slowFactor and slowFloor are how much longer than usual a slow response takes. Noise on a server's machine takes up to 2.5 times as long.
	slowFactor = 3
	slowFloor  = 15 * time.Millisecond
	// maxHealthEvents bounds the events that wait to be read, and forgetAfter is how long a server that is no longer a candidate is remembered.
	maxHealthEvents = 128
	forgetAfter     = 10 * time.Second
)

// serverHealth is what an instance knows of a server's health.
type serverHealth struct {
	condition
	// own are this instance's counts as of ownAt, and times its newest results.
	own   ServerCounts
	ownAt time.Time
	times healthTimes
	// trials counts this instance's trials in flight.
	trials int
	// total are the counts of all instances at the last evaluation, and evidences the tests of each of criteria by them.
	total     ServerCounts
	evidences [len(criteria)]evidence
	findings  findings
	// brokenAt, refusedAt and trialAt are when a connection last broke or was refused, or a trial was made, at any instance. They only grow.
	brokenAt, refusedAt, trialAt time.Time
	// failureRate is the fraction of requests that failed at the server, by all instances' counts.
	failureRate float64
	// suspected is set from suspectScore on until the score is at most clearedScore.
	suspected bool
	// memberAt is when the server was last a candidate.
	memberAt time.Time
	// reports are the peers' reports about the server, one of each peer that has one.
	reports []serverReport
}

// serverReport is what a peer has last reported about a server.
type serverReport struct {
	peer   *peerHealth
	counts ServerCounts
	times  healthTimes
}

// peerHealth is a peer that reports.
type peerHealth struct {
	reportedAt time.Time
	// hash is the hash of the peer's process, for rendezvous hashing.
	hash uint64
	// factor is what remains of the peer's counts at the current evaluation, and claimed the number of servers at which the peer has had a failure and no
	// success since.
	factor  float64
	claimed int
}

// healthTracker finds faulty servers by the results of all router instances.
//
// Load pattern: few servers get about a hundred requests a second from tens of instances, so that each instance alone sees a server once a second.
//
// It is part of a Balancer and guarded by its lock. Its state is bounded by the service's servers and maxHealthReports.
type healthTracker struct {
	// hash is the hash of this instance's process, for rendezvous hashing.
	hash    uint64
	servers map[ident.Endpoint]*serverHealth
	peers   map[ident.Process]*peerHealth
	// usualTime is the service's usual response time; 0 until one is known.
	usualTime time.Duration
	// evaluatedAt is when the states were last evaluated; zero if a result since then may change one.
	evaluatedAt time.Time
	// repeatableAt is when this instance last had a request that may run twice.
	repeatableAt time.Time
	// weights is memory of sum that is reused.
	weights []float64
	// events are the changes that were not read yet, the oldest first.
	events []HealthEvent
}

func newHealthTracker() *healthTracker {
	return &healthTracker{servers: make(map[ident.Endpoint]*serverHealth), peers: make(map[ident.Process]*peerHealth)}
}

func (t *healthTracker) server(now time.Time, id ident.Endpoint) *serverHealth {
	found := t.servers[id]
	if found == nil {
		found = &serverHealth{condition: condition{state: Healthy, since: now}, ownAt: now, memberAt: now}
		t.servers[id] = found
	}
	return found
}

// record adds the result of a request of this instance; took is the time to its first event, or to its end.
func (t *healthTracker) record(now time.Time, attempt *Attempt, result Result, took time.Duration) {
	health := t.server(now, attempt.server.ID)
	health.own, health.ownAt = health.own.decayed(now.Sub(health.ownAt)), now
	if attempt.once && (result == Succeeded || result == Failed || result == ServerFailed) {
		health.own.Once++
	}
	switch result {
	case Succeeded:
		health.own.Successes++
		health.times.success = latest(health.times.success, attempt.sentAt)
		health.own.time(took, t.isSlow(took))
		return
	case Neutral:
		// The time of a request that was given up is at least that.
		if t.isSlow(took) {
			health.own.time(took, true)
		}
	case Overloaded:
		return
	case Failed:
		health.own.Failures++
		health.times.broken = now
	case ServerFailed:
		health.own.Errors++
		if attempt.once {
			health.own.OnceErrors++
		}
	case Unreachable:
		health.own.Refused++
		health.times.refused = now
	}
	t.evaluatedAt = time.Time{}
}

func (c *ServerCounts) time(took time.Duration, slow bool) {
	c.Timed++
	c.Milliseconds += milliseconds(took)
	if slow {
		c.Slow++
	}
}

func (t *healthTracker) isSlow(took time.Duration) bool {
	return t.usualTime > 0 && took > max(slowFactor*t.usualTime, t.usualTime+slowFloor)
}

// counts returns this instance's counts as of now, with its requests that are slow already.
func (t *healthTracker) counts(now time.Time, server *server) ServerCounts {
	health := t.server(now, server.ID)
	counts := health.own.decayed(now.Sub(health.ownAt))
	for attempt := range server.attempts {
		if took := now.Sub(attempt.sentAt); attempt.plain && !attempt.started && t.isSlow(took) {
			counts.time(took, true)
		}
	}
	return counts
}

// report returns this instance's report; servers without results are left out.
func (t *healthTracker) report(now time.Time, members []*server) HealthReport {
	servers := make(map[ident.Endpoint]ServerCounts)
	for _, member := range members[:min(len(members), maxHealthServers)] {
		counts := t.counts(now, member)
		health := t.server(now, member.ID)
		health.times.ages(now, &counts)
		counts.Suspected = health.suspected
		if counts != (ServerCounts{}) {
			servers[member.ID] = counts
		}
	}
	return HealthReport{Servers: servers}
}

// merge replaces a peer's report.
func (t *healthTracker) merge(now time.Time, from ident.Process, report HealthReport) {
	peer := t.peers[from]
	if peer == nil {
		if len(t.peers) >= maxHealthReports {
			return
		}
		peer = &peerHealth{hash: xxhash.Sum64String(string(from))}
		t.peers[from] = peer
	}
	peer.reportedAt = now
	for id, health := range t.servers {
		if _, found := report.Servers[id]; !found {
			health.dropReports(func(report serverReport) bool { return report.peer == peer })
		}
	}
	for id, counts := range report.Servers {
		health := t.server(now, id)
		index := slices.IndexFunc(health.reports, func(report serverReport) bool { return report.peer == peer })
		if index < 0 {
			index = len(health.reports)
			health.reports = append(health.reports, serverReport{peer: peer})
		}
		known := &health.reports[index]
		known.counts, known.times = counts, timesOf(now, counts, known.times)
	}
}

func (h *serverHealth) dropReports(drop func(serverReport) bool) {
	h.reports = slices.DeleteFunc(h.reports, drop)
}

// expire removes the peers whose reports have expired, and forgets servers that have not been candidates for a while.
func (t *healthTracker) expire(now time.Time) {
	expired := false
	for process, peer := range t.peers {
		peer.factor, peer.claimed = decayFactor(now.Sub(peer.reportedAt)), 0
		if now.Sub(peer.reportedAt) > peerTTL {
			expired = true
			delete(t.peers, process)
		}
	}
	for id, health := range t.servers {
		if now.Sub(health.memberAt) > forgetAfter {
			delete(t.servers, id)
			continue
		}
		if expired {
			health.dropReports(func(report serverReport) bool { return now.Sub(report.peer.reportedAt) > peerTTL })
		}
		for index := range health.reports {
			if report := &health.reports[index]; report.times.claimsFailure() {
				report.peer.claimed++
			}
		}
	}
}

// prepare makes the states of all candidates available to a decision.
func (t *healthTracker) prepare(now time.Time, members []*server) {
	if len(members) <= smallService {
		t.evaluate(now, members)
		return
	}
	for _, member := range members {
		t.server(now, member.ID).memberAt = now
	}
}
