// Package admission decides whether a request is sent to its server now or is refused with a time after which to retry.
//
// It reads no clock and draws no random numbers: the caller passes both.
package admission

import "time"

const (
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
	// StartIn is the time until the latest start with which the caller can still use the response.
	StartIn time.Duration
	// SecondLook means that the router decides on the same request again, after it waited, so that it is not counted twice. A caller's repetition of a
	// refused request is a request of its own.
	SecondLook bool
	// Random is a random number between 0 and 1, for jitter.
	Random float64
}

// Decision is the decision on a request.
type Decision struct {
	Admit bool
	// Blocked reports whether the request is refused only because requests of higher priority are refused.
	Blocked bool
	// RetryAfter is the time after which a server will likely be able to start the request; 0 if admitted.
	RetryAfter time.Duration
}

// Decide refuses a request that no server starts by its latest start.
//
// Its caller would leave before the response, and the prefill of its prompt would delay others in vain. Every other request is admitted, also one that will
// be later than its objective: its caller still waits for it. Prompts of lower priority do not count towards the queue delay, so that no request is
// refused because of one with lower priority.
func Decide(request Request) Decision {
	excess := request.QueueDelay - request.StartIn
	if request.QueueDelay <= 0 || excess <= 0 {
		return Decision{Admit: true}
	}
	return Decision{RetryAfter: withJitter(excess, request.Random)}
}

// withJitter returns a time to retry after: at least minRetryAfter, and randomly extended by up to retryJitter; random is
// between 0 and 1.
func withJitter(after time.Duration, random float64) time.Duration {
	after = max(after, minRetryAfter)
	return after + time.Duration(retryJitter*random*float64(after))
}
