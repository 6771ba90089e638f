package choice

import "vanillapond/pkg/ident"

// Criterion is what a selection is based on.
type Criterion string

// Criteria of selections. Baseline policies always report ByTurn.
const (
	ByPrefix Criterion = "prefix"
	ByLoad   Criterion = "load"
	ByTurn   Criterion = "turn"
)

// Rationale explains why an endpoint was selected.
type Rationale struct {
	// Usable is the number of endpoints in the subset that accept requests.
	Usable    int
	Criterion Criterion
	// Load is the selected endpoint's estimated load with this request, as a fraction of its capacity.
	Load float64
	// Alternative is the endpoint that lost the comparison when selecting by load; it may be the selected endpoint itself.
	Alternative     ident.Endpoint
	AlternativeLoad float64
}
