package placement

import (
	"time"

	"vanillapond/pkg/ident"
)

// Weights of the costs at an engine, in milliseconds.
const (
	// harmCost is what each running stream adds that a long prompt beside it makes late.
	harmCost = 60
	// exposeCost is what a paced stream adds for each millisecond of prompts that are being read where it would run.
	exposeCost = 1.5
	// memoryCost is added where the memory is all taken, and a growing part of it from memoryFrom on.
	memoryCost = 1500
	memoryFrom = 0.6
	// activeCost is what each running request adds to every step.
	activeCost = 0.4
	// farEngineCost is the round trip to another failure domain, with its bytes.
	farEngineCost = 3
)

// weighEngine adds the expected time to the first event and the harm to what already runs there.
//
// Load pattern: engines read long prompts in chunks between the events of running streams, so a long prompt beside
// streams with short pauses makes all of them late; a prompt of which the first parts are cached costs little.
func (b *Board) weighEngine(now time.Time, query Query, candidate Candidate, choice *Choice) {
	cached := b.server(candidate.ID).cache.held(now, query.Parts)
	choice.Uncached = max(query.Prompt-cached, 1)
	pending := b.speed.reading(choice.Work.Prefill)
	reading := b.speed.reading(choice.Uncached)
	choice.Wait = pending + reading + b.speed.base()
	cost := milliseconds(choice.Wait) + activeCost*float64(choice.Work.Active)
	if !candidate.Near {
		cost += farEngineCost
	}
	if b.speed.stalls(pending + reading) {
		cost += harmCost * float64(choice.Work.Paced)
	}
	if b.speed.fragile(query.MaxPause) {
		cost += exposeCost * milliseconds(pending)
	}
	cost += memoryPressure(choice.Work.Memory+query.Prompt+query.Output, candidate.Memory)
	choice.Cost = cost
}

// memoryPressure grows from nothing to memoryCost as the memory fills, and on above that.
func memoryPressure(taken, whole ident.Tokens) float64 {
	if whole <= 0 {
		return 0
	}
	share := float64(taken) / float64(whole)
	if share <= memoryFrom {
		return 0
	}
	over := (share - memoryFrom) / (1 - memoryFrom)
	return memoryCost * over * over
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
