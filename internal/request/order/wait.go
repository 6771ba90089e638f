package order

import (
	"time"
)

// throughputDecay is the factor by which the weight of earlier requests is multiplied with each finished request.
const throughputDecay = 0.95

// throughput is the moving average of the service rate of one slot.
type throughput struct {
	tokens  float64
	seconds float64
}

func (t *throughput) observe(tokens float64, elapsed time.Duration) {
	t.tokens = t.tokens*throughputDecay + tokens
	t.seconds = t.seconds*throughputDecay + elapsed.Seconds()
}

// rate returns the service rate of all slots in tokens per second, or 0 if it is not known yet.
func (t *throughput) rate(slots int) float64 {
	if t.seconds <= 0 {
		return 0
	}
	return float64(slots) * t.tokens / t.seconds
}

// expectedWait returns a low estimate of the wait of a request that arrives now.
//
// Waiting requests of lower tiers do not count. Those of higher tiers count only as far as the class's floor does not let
// the request start before them.
func (q *Queue) expectedWait(class *class, item *Item) time.Duration {
	rate := q.throughput.rate(q.config.Slots)
	if rate == 0 || q.running < q.config.Slots && q.waiting == 0 {
		return 0
	}
	ownCost := class.costAhead(item)
	higherTierCost := 0.0
	for _, other := range q.sortedClasses {
		if other.tier < class.tier {
			higherTierCost += other.waitingCost
		}
	}
	seconds := (higherTierCost + ownCost) / rate
	if class.floor > 0 {
		seconds = min(seconds, ownCost/(class.floor*rate))
	}
	return time.Duration(seconds * float64(time.Second))
}

// costAhead estimates the cost of the class's waiting requests that are served before a new one, in tokens.
//
// Customers share service by weight: while the customer's own waiting requests are served, each other customer receives
// service in proportion to its weight.
func (c *class) costAhead(item *Item) float64 {
	owner := c.customers[item.Customer]
	if owner == nil || len(owner.queue) == 0 {
		return 0
	}
	return min(c.waitingCost, owner.waitingCost*c.waitingWeight/owner.weight)
}
