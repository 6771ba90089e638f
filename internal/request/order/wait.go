package order

import (
	"time"
)

// throughputDecay is what a finished request leaves of the weight of those before it.
const throughputDecay = 0.95

// throughput is the recent service of one slot.
type throughput struct {
	tokens  float64
	seconds float64
}

func (t *throughput) observe(tokens float64, elapsed time.Duration) {
	t.tokens = t.tokens*throughputDecay + tokens
	t.seconds = t.seconds*throughputDecay + elapsed.Seconds()
}

// rate returns the service of all slots in tokens a second, 0 while it is not known.
func (t *throughput) rate(slots int) float64 {
	if t.seconds <= 0 {
		return 0
	}
	return float64(slots) * t.tokens / t.seconds
}

// expectedWait returns a low estimate of the wait of a request that comes now.
//
// No request of a lower tier counts; what waits above counts only as far as the class's floor does not pass it.
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

// costAhead returns how much waiting service of the class is likely served before a new request.
//
// Customers are served in turn, so a customer waits for its own requests and as much of each other one.
func (c *class) costAhead(item *Item) float64 {
	owner := c.customers[item.Customer]
	if owner == nil || len(owner.queue) == 0 {
		return 0
	}
	return min(c.waitingCost, owner.waitingCost*c.waitingWeight/owner.weight)
}
