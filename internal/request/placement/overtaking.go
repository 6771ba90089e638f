package placement

import (
	"math"
	"time"

	"vanillapond/pkg/ident"
)

// arrivalMemory is the time constant with which the prefill work of earlier requests is averaged to a rate.
const arrivalMemory = 2 * time.Second

// maxOvertaking bounds the fraction of the engines' time that more urgent requests are expected to take.
const maxOvertaking = 0.95

// arrivals is the prefill work that this instance has sent to the engines of a service, by priority.
//
// Load pattern: a less urgent request waits not only for the prompts that are ahead of it now, but also for the more urgent ones that arrive before it
// starts. Under overload these take most of the engines' time, and a request whose wait is judged by the present backlog alone is held until its caller
// leaves.
type arrivals struct {
	// tokens are decayed sums, as of at.
	tokens [PriorityLevels]float64
	at     time.Time
}

func (a *arrivals) add(now time.Time, level PriorityLevel, tokens ident.Tokens) {
	decay := math.Exp(-float64(max(now.Sub(a.at), 0)) / float64(arrivalMemory))
	for each := range a.tokens {
		a.tokens[each] *= decay
	}
	a.tokens[level] += float64(max(tokens, 0))
	a.at = now
}

// perMillisecond returns the recent rate of the tokens that are more urgent than a level.
func (a *arrivals) perMillisecond(now time.Time, level PriorityLevel) float64 {
	sum := 0.0
	for _, tokens := range a.tokens[:level] {
		sum += tokens
	}
	return sum * math.Exp(-float64(max(now.Sub(a.at), 0))/float64(arrivalMemory)) / milliseconds(arrivalMemory)
}

// overtaking returns the fraction of the engines' prefill rate that more urgent requests take. All instances are assumed to send alike.
func (b *Balancer) overtaking(now time.Time, level PriorityLevel) float64 {
	capacity := 0.0
	for _, engine := range b.eligible {
		capacity += engine.figures.rate
	}
	if capacity <= 0 {
		return 0
	}
	instances := float64(1 + len(b.peers))
	return min(b.arrivals.perMillisecond(now, level)*instances/capacity, maxOvertaking)
}
