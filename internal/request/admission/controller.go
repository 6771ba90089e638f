package admission

import (
	"math"
	"sync"
	"time"
)

// PriorityLevels is the number of priorities.
const PriorityLevels = 10

// PriorityLevel is a request's priority, from 0, the highest, to PriorityLevels-1.
type PriorityLevel int

// Durations of the effects that a request has on the admission of other priorities.
const (
	// blockDuration is how long lower priorities are blocked after the refusal of a request: long enough for engines to
	// finish the prefills they have started, and short enough that the blocked requests are retried soon after.
	blockDuration = time.Second
	// activeDuration is roughly how long a request occupies its engine. During this time after the admission of a request, the priorities above its own are not
	// blocked: the lowest one makes way first.
	activeDuration = 5 * time.Second
)

// Limits of the requests that are admitted although their priority is blocked.
const (
	// floorFraction is the fraction of a blocked priority's requests that may be admitted. Each kind of request is guaranteed a quarter of the service that all
	// get on average; the rest allows for requests that are admitted and then fail.
	floorFraction = 0.3
	// bypassFraction limits the requests admitted in spite of a block to a fraction of the requests of the priority that blocks them: operators are guaranteed
	// that no more than a twelfth of a kind of request gets nothing while less urgent ones begin. Half of it is left for the other instances' view.
	bypassFraction = 1.0 / 24
	// decayPeriod is the time constant of the exponentially decaying request counts.
	decayPeriod = 5 * time.Second
)

// Controller admits requests to one service by priority: under overload, it refuses requests of lower priority first.
//
// Load pattern: small requests of high priority that exceed the engines' prefill capacity, beside large requests of lower
// priority. If each request were judged by its own caller's time alone, a large request whose caller waits for long would be admitted while small ones of high
// priority are refused.
//
// The zero value is ready for use. It is safe for concurrent use.
type Controller struct {
	mu sync.Mutex
	// counts are the request counts by priority, decayed up to countedAt; guarded by mu.
	counts    [PriorityLevels]priorityCounts
	countedAt time.Time
	// lastRefused is when a request of each priority was last refused because no server starts it in time, and lastAdmitted when one was last admitted;
	// zero means never. Guarded by mu.
	lastRefused, lastAdmitted [PriorityLevels]time.Time
}

// priorityCounts are exponentially decaying counts of a priority's requests.
type priorityCounts struct {
	// received counts all requests, admitted the admitted ones, and bypassed those that were admitted although their
	// priority was blocked.
	received, admitted, bypassed float64
}

// Decide is like the function Decide, but also considers other priorities. A request is blocked while requests of higher priority are refused and none of
// lower priority are in flight, except for the floor of its priority.
func (c *Controller) Decide(now time.Time, priority PriorityLevel, request Request) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decay(now)
	counts := &c.counts[priority]
	if !request.SecondLook {
		counts.received++
	}
	decision := Decide(request)
	if !decision.Admit {
		c.lastRefused[priority] = now
	}
	// A priority is blocked only while no request of a lower one is in flight, so that the lowest one is refused first.
	lowerActive := now.Sub(latest(c.lastAdmitted[priority+1:])) < activeDuration
	if wait := latest(c.lastRefused[:priority]).Add(blockDuration).Sub(now); decision.Admit && wait > 0 && !lowerActive {
		if counts.admitted+1 > floorFraction*counts.received || counts.bypassed+1 > bypassFraction*c.overloadedRequests(now, priority) {
			return Decision{Blocked: true, RetryAfter: withJitter(wait, request.Random)}
		}
		counts.bypassed++
	}
	if decision.Admit {
		counts.admitted++
		c.lastAdmitted[priority] = now
	}
	return decision
}

// decay reduces the counts by the time since countedAt; the caller holds mu.
func (c *Controller) decay(now time.Time) {
	weight := math.Exp(-float64(now.Sub(c.countedAt)) / float64(decayPeriod))
	c.countedAt = now
	for priority := range c.counts {
		counts := &c.counts[priority]
		counts.received, counts.admitted, counts.bypassed = weight*counts.received, weight*counts.admitted, weight*counts.bypassed
	}
}

// overloadedRequests returns the largest request count of the priorities that are higher than the given one and had a
// refusal within the last blockDuration; the caller holds mu.
func (c *Controller) overloadedRequests(now time.Time, priority PriorityLevel) float64 {
	most := 0.0
	for higher, refusedAt := range c.lastRefused[:priority] {
		if now.Sub(refusedAt) < blockDuration {
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
