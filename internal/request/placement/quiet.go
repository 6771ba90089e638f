package placement

import "time"

// How many engines are kept for streams with short pauses.
const (
	// minStreamFraction is the part of an engine's slots that paced streams fill before another engine is kept for them, and
	// maxQuietLoad that part where the other engines are busy for busyTime: then they need every engine.
	minStreamFraction = 0.3
	maxStreamFraction = 0.7
	busyBacklog       = 500 * time.Millisecond
	// burstHeadroom is how many more paced streams are made room for than run: they come in bursts.
	burstHeadroom = 1.2
	// minReserved engines are kept so that the loss of one leaves another.
	minReserved = 2
	// maxReservedFraction is the part of all engines that may be kept.
	maxReservedFraction = 0.25
	// shrinkAfter is how long fewer engines must be enough before one is given back: hysteresis, because streams that
	// already run stay where they are.
	shrinkAfter = 4 * time.Second
)

// reservation is how many engines are kept for paced streams.
//
// Load pattern: streams of short prompts with short pauses beside prompts that take several steps to read. Mixed on one
// engine, each long prompt makes all such streams there late; apart, a few engines serve all of them.
type reservation struct {
	engines int
	// neededAt is when fewer engines were last too few.
	neededAt time.Time
	// busyFraction is the mean of the engines' backlogs as parts of busyTime, each at most 1, so that one hot engine counts little.
	busyFraction float64
}

// mark chooses the engines for the paced streams that run and for an arriving one; every entry comes to nearly the same
// choice, because all keep the servers in one order.
func (r *reservation) mark(now time.Time, engines []*server, arriving bool, speed *prefillSpeed) {
	streams, slots := 0, 0
	busy := 0.0
	busyTokens := float64(speed.tokensIn(busyBacklog)) / backlogWeight
	if arriving {
		streams = 1
	}
	for _, engine := range engines {
		streams += engine.load.LatencySensitive
		slots += engine.Slots
		busy += min(float64(engine.load.Prefill.Total())/busyTokens, 1)
	}
	r.busyFraction = busy / float64(len(engines))
	if streams == 0 && r.engines == 0 {
		return
	}
	streamFraction := minStreamFraction + (maxStreamFraction-minStreamFraction)*r.busyFraction
	perEngine := max(streamFraction*float64(slots)/float64(len(engines)), 1)
	needed := max(int(burstHeadroom*float64(streams)/perEngine+1), minReserved)
	needed = min(needed, int(maxReservedFraction*float64(len(engines))))
	switch {
	case needed >= r.engines:
		r.engines, r.neededAt = needed, now
	case now.Sub(r.neededAt) > shrinkAfter:
		r.engines, r.neededAt = r.engines-1, now
	}
	for _, engine := range engines[:min(r.engines, len(engines))] {
		engine.reserved = true
	}
}
