// Package admission decides whether a request goes to its server now or is refused with a time to come back.
//
// It is pure: the caller gives what it knows and a random number.
package admission

import "time"

// Bounds of admission.
const (
	// lateShare is the part of the objective that others' prompts may take up before a request is refused: with its own
	// prompt and the way it would be late.
	lateShare = 0.75
	// giveWayShare is that part while less urgent work is under way, which is given up first: a late answer is worth more than
	// a refusal beside it.
	giveWayShare = 1.5
	// returnShare is the part of the objective that may still be taken up when a refused request comes back.
	returnShare = 0.4
	// minReturn is the least time to come back after: some round trips, so that returns are no load of their own.
	minReturn = 300 * time.Millisecond
	// returnSpread is the part by which times to come back vary, so that those refused together do not return together.
	returnSpread = 0.5
)

// Request is what is known of a request and of the best server for it.
type Request struct {
	// QueueDelay is how long the server reads prompts that go before the request.
	QueueDelay time.Duration
	// Objective is when the first bytes are due, counted from Waited ago.
	Objective time.Duration
	// Waited is how long the request has been here.
	Waited time.Duration
	// LowerPriorityActive says that less urgent work is under way.
	LowerPriorityActive bool
	// Random is between 0 and 1.
	Random float64
}

// Decision is what becomes of a request.
type Decision struct {
	Admit bool
	// LikelyLate says that the request will hardly be in time.
	LikelyLate bool
	// Blocked says that it is refused for more urgent requests alone.
	Blocked bool
	// RetryAfter is when coming back may help; 0 if admitted.
	RetryAfter time.Duration
}

// Decide refuses a request that would be late because of what is ahead of it, unless less urgent work can be given up first.
//
// Load pattern: a burst of one class beyond what the engines read. Served in order of arrival, every request of the
// class is late; refused where the backlog is as long as the objective, those that are admitted are in time, and the
// engines' time goes to them. A request's own size plays no part, so that large ones are not refused more often, and
// less urgent prompts are not ahead, so that no request is refused for one of a lower rank.
func Decide(request Request) Decision {
	wait := request.QueueDelay + request.Waited
	switch {
	case request.Objective <= 0 || wait <= part(lateShare, request.Objective):
		return Decision{Admit: true}
	case request.LowerPriorityActive && wait <= part(giveWayShare, request.Objective):
		return Decision{Admit: true, LikelyLate: true}
	}
	return Decision{LikelyLate: true, RetryAfter: returnAfter(request.QueueDelay-part(returnShare, request.Objective), request.Random)}
}

// returnAfter spreads a time to come back after, which is never too short; random is between 0 and 1.
func returnAfter(after time.Duration, random float64) time.Duration {
	after = max(after, minReturn)
	return after + part(returnSpread*random, after)
}

func part(share float64, of time.Duration) time.Duration { return time.Duration(share * float64(of)) }
