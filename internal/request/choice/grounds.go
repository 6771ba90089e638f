package choice

import "vanillapond/pkg/ident"

// Criterion says what a choice rests on.
type Criterion string

// Bases of choices.
const (
	ByPrefix Criterion = "prefix"
	ByLoad   Criterion = "load"
	ByTurn   Criterion = "turn"
)

// Rationale say why an endpoint was chosen.
type Rationale struct {
	// Usable is how many endpoints of the subset took work.
	Usable    int
	Criterion Criterion
	// Load is the chosen endpoint's load before the request, in shares of its capacity.
	Load float64
	// Alternative is the endpoint that it was compared with, by load alone; it may be the same one.
	Alternative     ident.Endpoint
	AlternativeLoad float64
}
