package placement

import "time"

// How failures keep a server from new work.
const (
	// firstOut and lastOut bound how long a server is left out after its connection failed.
	firstOut = 500 * time.Millisecond
	lastOut  = 4 * time.Second
	// fullOut is how long a server that refused for want of room is left out.
	fullOut = 150 * time.Millisecond
	// failureWeight is the weight of the newest result in the share of failures.
	failureWeight = 0.1
	// failureCost is added for a server all of whose requests fail.
	failureCost = 1.5
	// toleratedFailures is a share that plain mistakes of callers may reach.
	toleratedFailures = 0.25
	// overdueFactor and overdueFloor say when a request without an answer casts doubt on its server.
	overdueFactor = 3
	overdueFloor  = 400 * time.Millisecond
	// overdueCost is added for each overdue request.
	overdueCost = 0.3
)

// health is what the ends of requests tell of a server.
type health struct {
	// failures is the weighted share of requests that failed.
	failures float64
	// outUntil is when the server gets new work again; streak counts its failures to connect since one succeeded.
	outUntil time.Time
	streak   int
}

func (h *health) out(now time.Time) bool { return now.Before(h.outUntil) }

func (h *health) note(now time.Time, result Result) {
	switch result {
	case Neutral:
	case Succeeded:
		h.failures -= failureWeight * h.failures
		h.streak = 0
	case Failed:
		h.failures += failureWeight * (1 - h.failures)
	case Overloaded:
		h.outUntil = now.Add(fullOut)
	case Unreachable:
		h.failures += failureWeight * (1 - h.failures)
		h.outUntil = now.Add(min(firstOut<<min(h.streak, 3), lastOut))
		h.streak++
	}
}

// penalty returns what doubt about the server adds to its cost.
func (s *server) penalty(now time.Time) float64 {
	return failureCost*max(s.health.failures-toleratedFailures, 0) + overdueCost*float64(s.overdue(now))
}

// overdue counts the requests that got no first bytes long after they were expected.
func (s *server) overdue(now time.Time) int {
	count := 0
	for ticket := range s.tickets {
		if !ticket.started && now.Sub(ticket.sent) > max(overdueFactor*ticket.expected, overdueFloor) {
			count++
		}
	}
	return count
}
