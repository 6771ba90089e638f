package waiting

import "time"

// Times to retry after.
const (
	// MinRetryAfter is the shortest time to retry after. It is several round trips long, so that the retries cause no significant load.
	MinRetryAfter = 300 * time.Millisecond
	// resolution is that of the Retry-After header. It is also the time between two callers that return before the service has completed a request.
	resolution = 10 * time.Millisecond
)

// schedule gives each refused request a time at which its caller returns, in the order of the refusals.
//
// Load pattern: a burst beyond capacity is refused within milliseconds. If all callers returned after the same time, or after a random one, they would
// compete again, and those refused first would not be the ones to be served. Each of them gets a slot as long as the service takes to complete a
// request. The slots of a priority follow those of more urgent ones.
type schedule struct {
	completions pace
	// taken is, by priority, until when all slots are taken for the requests of this priority and of higher ones, before the expected time until
	// capacity is added.
	taken [PriorityLevels]time.Time
	// latest is, by priority, the latest time that a caller got.
	latest [PriorityLevels]time.Time
}

// retryAfter returns the time to retry after for a request that is refused now. capacityIn is the expected time until a server can start it.
func (s *schedule) retryAfter(now time.Time, priority Priority, capacityIn time.Duration) time.Duration {
	slot := max(s.completions.interval(now), resolution)
	backlog := max(s.taken[priority].Sub(now), 0)
	for lower := priority; lower < PriorityLevels; lower++ {
		if s.taken[lower].Before(now) {
			s.taken[lower] = now
		}
		s.taken[lower] = s.taken[lower].Add(slot)
	}
	// A smaller estimate than that of the earlier callers must not overtake them.
	after := max(max(capacityIn, MinRetryAfter)+backlog, s.latest[priority].Sub(now))
	s.latest[priority] = now.Add(after)
	return after
}
