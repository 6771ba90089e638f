package placement

import (
	"time"

	"vanillapond/pkg/ident"
)

// Costs at an engine.
const (
	// backlogWeight is the part of known reading that costs count: engines read on while figures travel, so that what is
	// known is always more than what is left.
	backlogWeight = 0.65
	// waitCost is what a wait as long as the objective adds; lateCost is what each further objective adds from lateFrom
	// on, because the estimate is rough.
	waitCost = 0.15
	lateCost = 2.5
	lateFrom = 0.6
	// recomputeCost is what 1,000 shared tokens add that the engine has to read although another one holds them, and
	// busyRereadCost what they add besides where all engines are busy for busyTime: they make all others wait.
	recomputeCost     = 0.25
	busyRecomputeCost = 1.2
	// stallCost is what each stream adds that reading beside it would make late; shorter readings add the cube of their
	// part of that, because only several together make a stream late.
	stallCost = 0.1
	// unreservedCost keeps paced streams off the engines of long prompts, and intrudeCost long prompts off the kept engines.
	unreservedCost = 0.5
	reservedCost   = 0.6
	// memoryCost is added where the memory is all taken, and a growing part of it from memoryFrom on.
	memoryCost = 1.5
	memoryFrom = 0.6
	// slotsCost is added where all slots are taken, and a growing part of it from slotsFrom on.
	slotsCost = 1.0
	slotsFrom = 0.6
	// activeCost is what each running request adds, so that like engines share the load.
	activeCost = 0.002
	// crossDomainEngineCost is the round trip to another failure domain, with its bytes.
	crossDomainEngineCost = 0.004
)

// engineCost returns what sending the request to an engine costs: the expected wait for the first event, what is read
// again, and the harm to what already runs there.
//
// Load pattern: engines read long prompts in chunks between the events of running streams, so a long prompt beside
// streams with short pauses makes all of them late; a prompt of which the first parts are cached costs little.
func (b *Balancer) engineCost(query Query) func(*server) float64 {
	shared := sharedTokens(query.Parts)
	sensitive := b.speed.latencySensitive(query.MaxPause)
	msPerToken := backlogWeight / b.speed.rate
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

// uncachedTokens returns how many tokens of a prompt the engine has to read.
func (s *server) uncachedTokens(query Query, shared ident.Tokens) ident.Tokens {
	return max(query.Prompt-s.expectedCached(shared), 1)
}

// waitingCost grows slowly up to the objective and steeply near and after it; share is of the objective.
func waitingCost(fraction float64) float64 {
	return waitCost*fraction + lateCost*max(fraction-lateFrom, 0)
}

// stallRisk returns how likely a stream is late beside reading that takes a share of what it bears.
func stallRisk(fraction float64) float64 {
	fraction = min(fraction, 1)
	return fraction * fraction * fraction
}

// pressure grows from nothing to its cost as a resource fills, and on above that.
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
