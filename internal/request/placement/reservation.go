package placement

import "time"

// Reservation of engines for latency-sensitive streams.
const (
	// minStreamFraction is the fraction of a reserved engine's slots that latency-sensitive streams use before another engine is
	// reserved. It rises to maxStreamFraction as the backlogs of the engines grow to busyBacklog, because the other requests
	// then need every engine.
	minStreamFraction = 0.3
	maxStreamFraction = 0.7
	busyBacklog       = 500 * time.Millisecond
	// burstHeadroom is the factor by which reserved capacity exceeds the streams in flight, because they arrive in bursts.
	burstHeadroom = 1.2
	// minReserved is the minimum number of reserved engines, so that one is left when another fails.
	minReserved = 2
	// maxReservedFraction is the maximum fraction of all engines that may be reserved; it takes precedence over minReserved.
	maxReservedFraction = 0.25
	// shrinkAfter is how long fewer engines must suffice before one is released. The hysteresis is needed because running
	// streams stay on their engine.
	shrinkAfter = 4 * time.Second
)

// reservation decides how many engines are reserved for latency-sensitive streams.
//
// Load pattern: streams with short prompts that allow only short pauses, beside prompts that take several engine steps to
// prefill. On a shared engine, each long prompt makes all such streams late; when separated, a few engines serve all of
// the streams.
type reservation struct {
	// engines is the number of reserved engines.
	engines int
	// neededAt is when that number was last needed in full, or last reduced.
	neededAt time.Time
	// busyFraction is the mean of the engines' backlogs relative to busyBacklog. Each is capped at 1, so that a single
	// overloaded engine has little effect.
	busyFraction float64
	// order and domains are working memory of markByCapacity.
	order   []*server
	domains []domainEngines
}

// mark reserves engines for the latency-sensitive streams in flight and, if arriving is set, for the stream that is being
// placed. All router instances reserve nearly the same engines, because they keep the servers in the same order.
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
