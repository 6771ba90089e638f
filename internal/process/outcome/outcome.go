// Package outcome defines what is known about the execution of a request.
package outcome

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
