// Package admission decides whether a request is sent to its server now or is refused with a time after which to retry.
//
// It reads no clock and draws no random numbers: the caller passes both.
package admission

import "time"

// Limits of admission, as fractions of the objective where not stated otherwise.
const (
	// lateFraction is the fraction of the objective that the queue delay may take up before a request is refused: with the
	// prefill of its own prompt and the network round trip it would be late.
	lateFraction = 0.75
	// lowerPriorityLateFraction replaces lateFraction while requests of lower priority are in flight. They are sacrificed first,
	// because a late response to this request is worth more than a refusal while lower priorities are served.
	lowerPriorityLateFraction = 1.5
	// loadAwareMargin is the fraction of the objective that is added to the wait of requests of load-aware services: there, the prompts that are ahead
	// delay the running streams, too, and what other instances have just sent is not known yet.
	loadAwareMargin = 0.375
	// queuedMargin replaces loadAwareMargin for a request that has waited for capacity, so that it is released only when a server has become free. All
	// instances see a queue delay fall at the same time: if each released a request as soon as an arriving one is admitted, it would rise far above.
	queuedMargin = 0.5
	// retryFraction is the fraction of the objective that the queue delay may still take up when a refused request is retried.
	retryFraction = 0.4
	// minRetryAfter is the shortest time to retry after. It is several round trips long, so that the retries cause no
	// significant load.
	minRetryAfter = 300 * time.Millisecond
	// retryJitter is the largest fraction by which the time to retry after is randomly extended, so that requests refused
	// together are not retried together.
	retryJitter = 0.5
)

// Request describes a request and the state of the best server for it.
type Request struct {
	// QueueDelay is how long the server will prefill the prompts that are ahead of the request.
	QueueDelay time.Duration
	// Objective is the service level objective for the time to the first bytes, counted from the arrival of the request; 0
	// means none.
	Objective time.Duration
	// Waited is the time since the arrival of the request.
	Waited time.Duration
	// LoadAware means that the service is load-aware.
	LoadAware bool
	// Queued means that the request has waited for capacity.
	Queued bool
	// LowerPriorityActive reports whether requests of lower priority are in flight.
	LowerPriorityActive bool
	// Repeated means that the same request was decided on before, so that it is not counted again.
	Repeated bool
	// Random is a random number between 0 and 1, for jitter.
	Random float64
}

// Decision is the decision on a request.
type Decision struct {
	Admit bool
	// LikelyLate reports whether the request would probably miss its objective.
	LikelyLate bool
	// Blocked reports whether the request is refused only because requests of higher priority are likely to be late.
	Blocked bool
	// RetryAfter is the time to retry after; 0 if admitted.
	RetryAfter time.Duration
	// Excess is by how much the queue delay must fall until the request is admitted; 0 if it is admitted or blocked.
	Excess time.Duration
}

// Decide refuses a request that the queue delay would make late, unless requests of lower priority are in flight and it
// would be only a little late.
//
// Load pattern: a burst of one class that exceeds the engines' prefill capacity. If all requests were served in order of
// arrival, every one of the class would be late. By refusing requests while the backlog takes most of the objective, the
// admitted ones are in time and the engines' capacity is spent on them. The size of the request itself is not considered,
// so that large requests are not refused more often. Prompts of lower priority do not count towards the queue delay, so
// that no request is refused because of one with lower priority.
func Decide(request Request) Decision {
	wait, limit := request.QueueDelay+request.Waited, scaled(lateFraction, request.Objective)
	switch {
	case request.Queued:
		wait += scaled(queuedMargin, request.Objective)
	case request.LoadAware:
		wait += scaled(loadAwareMargin, request.Objective)
	}
	if request.Objective <= 0 || wait <= limit {
		return Decision{Admit: true}
	}
	if request.LowerPriorityActive {
		if limit = scaled(lowerPriorityLateFraction, request.Objective); wait <= limit {
			return Decision{Admit: true, LikelyLate: true}
		}
	}
	return Decision{
		LikelyLate: true, RetryAfter: withJitter(request.QueueDelay-scaled(retryFraction, request.Objective), request.Random),
		Excess: wait - limit,
	}
}

// withJitter returns a time to retry after: at least minRetryAfter, and randomly extended by up to retryJitter; random is
// between 0 and 1.
func withJitter(after time.Duration, random float64) time.Duration {
	after = max(after, minRetryAfter)
	return after + scaled(retryJitter*random, after)
}

func scaled(fraction float64, duration time.Duration) time.Duration {
	return time.Duration(fraction * float64(duration))
}
