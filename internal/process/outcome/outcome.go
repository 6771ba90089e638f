// Package outcome defines what is known about the execution of a request.
package outcome

import "net/http"

// Outcome is what is known about the execution of a request.
type Outcome int

// Outcomes; the zero value is Unknown.
const (
	// Unknown means that the request may have run, or may still run.
	Unknown Outcome = iota
	// NotRun means that the request did not run and never will, so that it can be retried safely.
	NotRun
	// Ran means that the request ran and its response is complete.
	Ran
)

// String implements fmt.Stringer.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not_run"
	case Ran:
		return "ran"
	default:
		return "unknown"
	}
}

// FromNotRun returns NotRun if it is certain that the request did not run, else Unknown.
func FromNotRun(notRun bool) Outcome {
	if notRun {
		return NotRun
	}
	return Unknown
}

// Status returns the status with which a response to a request may end, given the one that it would have. 408, 421, 429 and 503 state that the request
// did not run and never will, so they become 502 unless that is certain.
func (o Outcome) Status(status int) int {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if o != NotRun {
			return http.StatusBadGateway
		}
	}
	return status
}
