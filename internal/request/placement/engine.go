package placement

import (
	"time"

	"vanillapond/pkg/ident"
)

// Cost terms of an engine, in units of a request's value (see the package comment).
const (
	// backlogWeight scales the known prefill backlog. Engines continue to prefill while load reports are on their way, so
	// the known backlog is always larger than the remaining one.
	backlogWeight = 0.65
	// waitCost is the cost of a wait as long as the objective. From the fraction lateFrom of the objective on, lateCost is
	// added per further objective; it starts below 1 because the estimated wait is rough.
	waitCost = 0.15
	lateCost = 2.5
	lateFrom = 0.6
	// recomputeCost is the cost of prefilling 1,000 shared tokens that another engine has cached. busyRecomputeCost is
	// added to it when all engines have a backlog of busyBacklog or more, and a fraction of it (reservation.busyFraction)
	// below that, because the extra prefill delays all other requests when no engine is idle.
	recomputeCost     = 0.25
	busyRecomputeCost = 1.2
	// stallCost is the cost per stream that a prefill on the same engine would make late. A shorter prefill costs the cube
	// of its fraction of that duration, because only several of them together make a stream late.
	stallCost = 0.1
	// unreservedCost keeps latency-sensitive streams off engines that serve long prompts, and reservedCost keeps long
	// prompts off the engines reserved for latency-sensitive streams.
	unreservedCost = 0.5
	reservedCost   = 0.6
	// memoryCost is the cost of a full KV cache; it grows quadratically from 0 at the utilization memoryFrom.
	memoryCost = 1.5
	memoryFrom = 0.6
	// slotsCost is the cost of having all slots in use; it grows quadratically from 0 at the utilization slotsFrom.
	slotsCost = 1.0
	slotsFrom = 0.6
	// activeCost is the cost per active request; it spreads requests over engines that are otherwise equal.
	activeCost = 0.002
	// crossDomainEngineCost is the cost of the round trip and the traffic to another failure domain.
	crossDomainEngineCost = 0.004
)

// engineCost returns the cost function of engines for a request. The cost covers the expected time to the first event,
// the recomputation of prompt parts that other engines have cached, and the delay of requests that already run there.
//
// Load pattern: engines prefill long prompts in chunks between the events of running streams. A long prompt therefore
// delays all streams on its engine, and those that allow only short pauses are late. A prompt whose leading parts are
// cached costs little.
func (b *Balancer) engineCost(query Query) func(*server) float64 {
	shared := sharedTokens(query.Parts)
	sensitive := b.speed.latencySensitive(query.MaxPause)
	baseMs := milliseconds(b.speed.base())
	objectiveMs := milliseconds(query.Objective)
	if objectiveMs <= 0 {
		objectiveMs = milliseconds(time.Second)
	}
	perObjective := 1 / objectiveMs
	perStall, longPrompt := 1/b.speed.stallLimit(), b.speed.longPromptLimit()
	perPause := 0.0
	if query.MaxPause > 0 {
		perPause = 1 / (stallFraction * milliseconds(query.MaxPause))
	}
	kvTokens := query.Prompt + query.Output
	recomputePerToken := (recomputeCost + busyRecomputeCost*b.reservation.busyFraction) / 1000
	return func(candidate *server) float64 {
		msPerToken := backlogWeight / b.rateOf(candidate)
		uncached := candidate.uncachedTokens(query, shared)
		prefill := float64(uncached) * msPerToken
		queued := float64(candidate.load.Prefill.upTo(query.PriorityLevel)) * msPerToken
		pending := float64(candidate.load.Prefill.Total()) * msPerToken
		cost := waitingCost((baseMs+queued+prefill)*perObjective) +
			recomputePerToken*float64(max(uncached-query.Prompt+shared, 0)) + activeCost*float64(candidate.load.Active)
		if !candidate.SameDomain {
			cost += crossDomainEngineCost
		}
		cost += stallCost * (float64(candidate.load.LatencySensitive)*stallRisk((pending+prefill)*perStall) + stallRisk(pending*perPause))
		switch {
		case sensitive && !candidate.reserved:
			cost += unreservedCost
		case !sensitive && candidate.reserved && prefill > longPrompt:
			cost += reservedCost
		}
		return cost + pressure(float64(candidate.load.KVTokens+kvTokens), float64(candidate.KVCapacity), memoryFrom, memoryCost) +
			pressure(float64(candidate.load.Active), float64(candidate.Slots), slotsFrom, slotsCost)
	}
}

// uncachedTokens returns the estimated number of prompt tokens that the engine has to prefill.
func (s *server) uncachedTokens(query Query, shared ident.Tokens) ident.Tokens {
	return max(query.Prompt-s.expectedCached(shared), 1)
}

// waitingCost returns the cost of a wait, given as a fraction of the objective. It grows slowly at first, and steeply from
// lateFrom on.
func waitingCost(fraction float64) float64 {
	return waitCost*fraction + lateCost*max(fraction-lateFrom, 0)
}

// stallRisk estimates how likely a stream is late while its engine prefills; fraction is the duration of the prefill
// relative to the longest one that the stream tolerates.
func stallRisk(fraction float64) float64 {
	fraction = min(fraction, 1)
	return fraction * fraction * fraction
}

// pressure returns the cost of a resource's utilization: 0 up to the fraction from, then growing quadratically to cost when
// the resource is full, and further above that.
func pressure(used, capacity, from, cost float64) float64 {
	if capacity <= 0 || used <= from*capacity {
		return 0
	}
	excess := (used/capacity - from) / (1 - from)
	return cost * excess * excess
}

func sharedTokens(parts []Part) ident.Tokens {
	var shared ident.Tokens
	for _, part := range parts {
		shared += part.Tokens
	}
	return shared
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
