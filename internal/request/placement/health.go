package placement

import "time"

// Ejection of servers after failures, and the costs of failures.
const (
	// minEjection and maxEjection bound how long a server is ejected after a failed connection attempt; the time doubles
	// with each consecutive failure.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// overloadEjection is how long a server is ejected after it refused a request for lack of capacity.
	overloadEjection = 150 * time.Millisecond
	// failureWeight is the weight of the newest result in the failure rate.
	failureWeight = 0.1
	// failureCost is the cost per unit of failure rate above toleratedFailureRate.
	failureCost = 1.5
	// toleratedFailureRate is a failure rate that invalid requests of callers alone can cause.
	toleratedFailureRate = 0.25
	// failingRate is the failure rate from which on a server counts as failing, and probeInterval the time after a failure from which on it
	// may get a request all the same, one at a time.
	failingRate   = 0.75
	probeInterval = time.Second
	// A request is overdue when its first event takes longer than overdueFactor times the expected time, and at least
	// overdueFloor.
	overdueFactor = 3
	overdueFloor  = 400 * time.Millisecond
	// overdueCost is the cost per overdue request at the server.
	overdueCost = 0.3
)

// health is a server's health as derived from the results of its requests.
type health struct {
	// failureRate is the exponentially weighted fraction of requests that failed.
	failureRate float64
	// failedAt is when the last request failed.
	failedAt time.Time
	// ejectedUntil is when the server gets new requests again. connectFailures counts the failed connection attempts since
	// the last request that succeeded.
	ejectedUntil    time.Time
	connectFailures int
}

func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

func (h *health) record(now time.Time, result Result) {
	switch result {
	case Neutral:
	case Succeeded:
		h.failureRate -= failureWeight * h.failureRate
		h.connectFailures = 0
	case Failed, ServerFailed:
		h.recordFailure(now)
	case Overloaded:
		h.ejectedUntil = now.Add(overloadEjection)
	case Unreachable:
		h.recordFailure(now)
		h.ejectedUntil = now.Add(min(minEjection<<min(h.connectFailures, 3), maxEjection))
		h.connectFailures++
	}
}

func (h *health) recordFailure(now time.Time) {
	h.failureRate += failureWeight * (1 - h.failureRate)
	h.failedAt = now
}

// isFailing reports whether nearly all requests fail at the server, so that it is better to wait for another one. It is false while the server is to
// be probed.
func (s *server) isFailing(now time.Time) bool {
	return s.health.failureRate >= failingRate && (len(s.attempts) > 0 || now.Sub(s.health.failedAt) < probeInterval)
}

// penalty returns the cost of the server's failures and overdue requests.
func (s *server) penalty(now time.Time) float64 {
	return failureCost*max(s.health.failureRate-toleratedFailureRate, 0) + overdueCost*float64(s.overdue(now))
}

// overdue counts the requests whose first event is overdue.
func (s *server) overdue(now time.Time) int {
	count := 0
	for attempt := range s.attempts {
		if !attempt.started && now.Sub(attempt.sentAt) > max(overdueFactor*attempt.expected, overdueFloor) {
			count++
		}
	}
	return count
}
