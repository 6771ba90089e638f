package placement

import (
	"time"

	"vanillapond/pkg/ident"
)

// Costs at an engine.
const (
	// countedShare is the part of known reading that costs count: engines read on while figures travel, so that what is
	// known is always more than what is left.
	countedShare = 0.65
	// waitCost is what a wait as long as the objective adds; lateCost is what each further objective adds from lateFrom
	// on, because the estimate is rough.
	waitCost = 0.15
	lateCost = 2.5
	lateFrom = 0.6
	// rereadCost is what 1,000 shared tokens add that the engine has to read although another one holds them, and
	// busyRereadCost what they add besides where all engines are busy for busyTime: they make all others wait.
	rereadCost     = 0.25
	busyRereadCost = 1.2
	// stallCost is what each stream adds that reading beside it would make late; shorter readings add the cube of their
	// part of that, because only several together make a stream late.
	stallCost = 0.1
	// loudCost keeps paced streams off the engines of long prompts, and intrudeCost long prompts off the kept engines.
	loudCost    = 0.5
	intrudeCost = 0.6
	// memoryCost is added where the memory is all taken, and a growing part of it from memoryFrom on.
	memoryCost = 1.5
	memoryFrom = 0.6
	// slotsCost is added where all slots are taken, and a growing part of it from slotsFrom on.
	slotsCost = 1.0
	slotsFrom = 0.6
	// activeCost is what each running request adds, so that like engines share the load.
	activeCost = 0.002
	// farEngineCost is the round trip to another failure domain, with its bytes.
	farEngineCost = 0.004
)

// engineWeigher returns what sending the request to an engine costs: the expected wait for the first event, what is read
// again, and the harm to what already runs there.
//
// Load pattern: engines read long prompts in chunks between the events of running streams, so a long prompt beside
// streams with short pauses makes all of them late; a prompt of which the first parts are cached costs little.
func (b *Balancer) engineWeigher(query Query) func(*server) float64 {
	shared := sharedTokens(query.Parts)
	fragile := b.speed.fragile(query.MaxPause)
	perToken := countedShare / b.speed.rate
	base := milliseconds(b.speed.base())
	objective := milliseconds(query.Objective)
	if objective <= 0 {
		objective = milliseconds(time.Second)
	}
	perObjective := 1 / objective
	perStall, loud := 1/b.speed.stalling(), b.speed.loud()
	perPause := 0.0
	if query.MaxPause > 0 {
		perPause = 1 / (stallShare * milliseconds(query.MaxPause))
	}
	size := query.Prompt + query.Output
	reread := (rereadCost + busyRereadCost*b.quiet.busy) / 1000
	return func(each *server) float64 {
		uncached := each.uncached(query, shared)
		reading := float64(uncached) * perToken
		ahead := float64(each.work.Prefill.upTo(query.PriorityLevel)) * perToken
		pending := float64(each.work.Prefill.Total()) * perToken
		cost := waitingCost((base+ahead+reading)*perObjective) +
			reread*float64(max(uncached-query.Prompt+shared, 0)) + activeCost*float64(each.work.Active)
		if !each.SameDomain {
			cost += farEngineCost
		}
		cost += stallCost * (float64(each.work.LatencySensitive)*stall((pending+reading)*perStall) + stall(pending*perPause))
		switch {
		case fragile && !each.quiet:
			cost += loudCost
		case !fragile && each.quiet && reading > loud:
			cost += intrudeCost
		}
		return cost + pressure(float64(each.work.KVTokens+size), float64(each.KVCapacity), memoryFrom, memoryCost) +
			pressure(float64(each.work.Active), float64(each.Slots), slotsFrom, slotsCost)
	}
}

// uncached returns how many tokens of a prompt the engine has to read.
func (s *server) uncached(query Query, shared ident.Tokens) ident.Tokens {
	return max(query.Prompt-s.believed(shared), 1)
}

// waitingCost grows slowly up to the objective and steeply near and after it; share is of the objective.
func waitingCost(share float64) float64 {
	return waitCost*share + lateCost*max(share-lateFrom, 0)
}

// stall returns how likely a stream is late beside reading that takes a share of what it bears.
func stall(share float64) float64 {
	share = min(share, 1)
	return share * share * share
}

// pressure grows from nothing to its cost as a resource fills, and on above that.
func pressure(taken, whole, from, cost float64) float64 {
	if whole <= 0 || taken <= from*whole {
		return 0
	}
	over := (taken/whole - from) / (1 - from)
	return cost * over * over
}

func sharedTokens(parts []Part) ident.Tokens {
	var shared ident.Tokens
	for _, part := range parts {
		shared += part.Tokens
	}
	return shared
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
