// Package outcome says what is known of a request's execution.
package outcome

// Outcome is what is known of a request's execution.
type Outcome int

// Outcomes; the zero value claims nothing.
const (
	// Unknown says that the request may have run, or may still run.
	Unknown Outcome = iota
	// NotRun says that the request did not run and never will.
	NotRun
	// Ran says that the request ran and its answer is whole.
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

// FromNotRun returns NotRun if the proof holds, else Unknown.
func FromNotRun(notRun bool) Outcome {
	if notRun {
		return NotRun
	}
	return Unknown
}
