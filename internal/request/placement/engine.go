package placement

import (
	"time"

	"vanillapond/pkg/ident"
)

// Costs at an engine.
const (
	// waitCost is what a wait as long as the objective adds; lateCost is what each further objective adds from lateFrom
	// on, because the estimate is rough.
	waitCost = 0.15
	lateCost = 2.5
	lateFrom = 0.7
	// rereadCost is what 1,000 shared tokens add that the engine has to read although another one holds them.
	rereadCost = 0.1
	// stallCost is what each running paced stream adds that the prompt would make late, and brushCost what it adds for
	// each millisecond of reading beside it that would not yet.
	stallCost = 0.5
	brushCost = 0.0006
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

// weighEngine adds the expected wait for the first event, what is read again, and the harm to what already runs there.
//
// Load pattern: engines read long prompts in chunks between the events of running streams, so a long prompt beside
// streams with short pauses makes all of them late; a prompt of which the first parts are cached costs little.
func (b *Board) weighEngine(now time.Time, query Query, each *option, choice *Choice) {
	shared := sharedTokens(query.Parts)
	held := min(b.heldAt(now, query, each, shared), query.Prompt)
	choice.Uncached = max(query.Prompt-held, 1)
	pending := b.speed.reading(choice.Work.Prefill)
	reading := b.speed.reading(choice.Uncached)
	choice.Wait = pending + reading + b.speed.base()
	cost := waitingCost(choice.Wait, query.Objective)
	cost += rereadCost * float64(max(shared-held, 0)) / 1000
	cost += activeCost * float64(choice.Work.Active)
	if !each.Near {
		cost += farEngineCost
	}
	if paced := float64(choice.Work.Paced); b.speed.stalls(pending + reading) {
		cost += stallCost * paced
	} else {
		cost += brushCost * paced * milliseconds(reading)
	}
	switch fragile := b.speed.fragile(query.MaxPause); {
	case fragile && !each.quiet:
		cost += loudCost
	case !fragile && each.quiet && b.speed.loud(reading):
		cost += intrudeCost
	}
	cost += pressure(float64(choice.Work.Memory+query.Prompt+query.Output), float64(each.Memory), memoryFrom, memoryCost)
	cost += pressure(float64(choice.Work.Active), float64(each.Slots), slotsFrom, slotsCost)
	choice.Cost = cost
}

// waitingCost grows slowly up to the objective and steeply near and after it.
func waitingCost(wait, objective time.Duration) float64 {
	if objective <= 0 {
		objective = time.Second
	}
	share := float64(wait) / float64(objective)
	return waitCost*share + lateCost*max(share-lateFrom, 0)
}

// pressure grows from nothing to its cost as a resource fills, and on above that.
func pressure(taken, whole, from, cost float64) float64 {
	if whole <= 0 || taken/whole <= from {
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
