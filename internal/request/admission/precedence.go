package admission

import (
	"math"
	"sync"
	"time"
)

// PriorityLevels is how many urgencies are told apart.
const PriorityLevels = 10

// PriorityLevel is a request's urgency: 0 is first, and below Ranks.
type PriorityLevel int

// Times of precedence.
const (
	// blockDuration is how long a crowded rank keeps less urgent requests out: long enough that engines end what they read, and
	// short enough that they come back soon after.
	blockDuration = time.Second
	// activeDuration is how long a request occupies its engine, about: while less urgent ones do, more urgent ones are not refused.
	activeDuration = 5 * time.Second
)

// What a rank is left while more urgent ones are crowded, so that it does not starve.
const (
	// floorFraction is the part of a rank's requests that may be taken: a little more than a quarter of what all would get.
	floorFraction = 0.3
	// bypassFraction bounds them by the crowded ranks' requests: so few could hardly have been served instead.
	bypassFraction = 1.0 / 24
	// decayPeriod is the time over which requests are counted, with weights that fall to a third.
	decayPeriod = 5 * time.Second
)

// Controller gives up less urgent work before more urgent work of the same service.
//
// Load pattern: more of a small urgent kind than the engines read, beside large requests of a less urgent kind. Judged by its own
// objective alone, a large request that may wait long is taken while small urgent ones are refused, and what the engines read
// for it makes the next urgent ones late, too.
//
// The zero value is ready; it is safe for concurrent use.
type Controller struct {
	mu sync.Mutex
	// counts are of the requests of each rank, as of countedAt; guarded by mu.
	counts    [PriorityLevels]priorityCounts
	countedAt time.Time
	// lastLate is when a request of each rank last had too much ahead of it, and taken when one was last admitted; zero for
	// never. Guarded by mu.
	lastLate, lastAdmitted [PriorityLevels]time.Time
}

// priorityCounts are weighted numbers of requests.
type priorityCounts struct {
	// received counts all, taken those that were admitted, and passed those of them that went past crowded ranks.
	received, admitted, bypassed float64
}

// Decide is like the function Decide, but for what ranks owe each other: a request is taken although it will be late while less
// urgent work can be given up, and kept out while more urgent requests are crowded and none less urgent is under way, but for a
// floor of its rank.
func (c *Controller) Decide(now time.Time, priority PriorityLevel, request Request) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decay(now)
	counts := &c.counts[priority]
	counts.received++
	request.LowerPriorityActive = now.Sub(latest(c.lastAdmitted[priority+1:])) < activeDuration
	decision := Decide(request)
	if decision.LikelyLate {
		c.lastLate[priority] = now
	}
	// What is least urgent of all that is under way gives way first.
	if wait := latest(c.lastLate[:priority]).Add(blockDuration).Sub(now); decision.Admit && wait > 0 && !request.LowerPriorityActive {
		if counts.admitted+1 > floorFraction*counts.received || counts.bypassed+1 > bypassFraction*c.overloadedRequests(now, priority) {
			return Decision{LikelyLate: decision.LikelyLate, Blocked: true, RetryAfter: withJitter(wait, request.Random)}
		}
		counts.bypassed++
	}
	if decision.Admit {
		counts.admitted++
		c.lastAdmitted[priority] = now
	}
	return decision
}

// decay lets earlier requests count less; the caller holds mu.
func (c *Controller) decay(now time.Time) {
	weight := math.Exp(-float64(now.Sub(c.countedAt)) / float64(decayPeriod))
	c.countedAt = now
	for priority := range c.counts {
		counts := &c.counts[priority]
		counts.received, counts.admitted, counts.bypassed = weight*counts.received, weight*counts.admitted, weight*counts.bypassed
	}
}

// overloadedRequests returns the requests of the most asked for of the crowded ranks above one; the caller holds mu.
func (c *Controller) overloadedRequests(now time.Time, priority PriorityLevel) float64 {
	most := 0.0
	for higher, lateAt := range c.lastLate[:priority] {
		if now.Sub(lateAt) < blockDuration {
			most = max(most, c.counts[higher].received)
		}
	}
	return most
}

func latest(times []time.Time) time.Time {
	var newest time.Time
	for _, at := range times {
		if at.After(newest) {
			newest = at
		}
	}
	return newest
}
