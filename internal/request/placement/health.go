package placement

import "time"

// How failures keep a server from new work.
const (
	// minEjection and lastOut bound how long a server is left out after its connection failed.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// overloadEjection is how long a server that refused for want of room is left out.
	overloadEjection = 150 * time.Millisecond
	// failureWeight is the weight of the newest result in the share of failures.
	failureWeight = 0.1
	// failureCost is added for a server all of whose requests fail.
	failureCost = 1.5
	// toleratedFailureRate is a share that plain mistakes of callers may reach.
	toleratedFailureRate = 0.25
	// overdueFactor and overdueFloor say when a request without an answer casts doubt on its server.
	overdueFactor = 3
	overdueFloor  = 400 * time.Millisecond
	// overdueCost is added for each overdue request.
	overdueCost = 0.3
)

// health is what the ends of requests tell of a server.
type health struct {
	// failureRate is the weighted share of requests that failed.
	failureRate float64
	// ejectedUntil is when the server gets new work again; streak counts its failures to connect since one succeeded.
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
	case Failed:
		h.failureRate += failureWeight * (1 - h.failureRate)
	case Overloaded:
		h.ejectedUntil = now.Add(overloadEjection)
	case Unreachable:
		h.failureRate += failureWeight * (1 - h.failureRate)
		h.ejectedUntil = now.Add(min(minEjection<<min(h.connectFailures, 3), maxEjection))
		h.connectFailures++
	}
}

// penalty returns what doubt about the server adds to its cost.
func (s *server) penalty(now time.Time) float64 {
	return failureCost*max(s.health.failureRate-toleratedFailureRate, 0) + overdueCost*float64(s.overdue(now))
}

// overdue counts the requests that got no first bytes long after they were expected.
func (s *server) overdue(now time.Time) int {
	count := 0
	for attempt := range s.attempts {
		if !attempt.started && now.Sub(attempt.sentAt) > max(overdueFactor*attempt.expected, overdueFloor) {
			count++
		}
	}
	return count
}
