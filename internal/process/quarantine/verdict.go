package quarantine

import (
	"github.com/samber/oops"

	"vanillapond/pkg/ident"
)

// Part is the id of a prompt part.
type Part uint64

// Verdict says whether a part is quarantined.
type Verdict struct {
	Part Part `cbor:"1,keyasint" json:"part"`
	// Sequence orders the verdicts on one part. Of two with the same sequence, the one that quarantines holds.
	Sequence    int64 `cbor:"2,keyasint" json:"sequence"`
	Quarantined bool  `cbor:"3,keyasint" json:"quarantined"`
	// Trials is the number of requests that were let through in this quarantine.
	Trials int `cbor:"4,keyasint,omitempty" json:"trials"`
}

// Check returns an error if a field is out of range.
func (v Verdict) Check() error {
	if v.Sequence <= 0 || v.Trials < 0 {
		return oops.Errorf("verdict on a prompt part: found sequence %d and %d trials, want at least 1 and 0", v.Sequence, v.Trials)
	}
	return nil
}

// IsNewerThan reports whether the verdict replaces another one on the same part.
func (v Verdict) IsNewerThan(other Verdict) bool {
	switch {
	case v.Sequence != other.Sequence:
		return v.Sequence > other.Sequence
	case v.Quarantined != other.Quarantined:
		return v.Quarantined
	default:
		return v.Trials > other.Trials
	}
}

// Event is a change of what the registry holds about a part.
type Event struct {
	// Name is part_suspected, part_quarantined, part_trial, part_cleared or part_expired. An instance that forgets a quarantine for lack
	// of requests reports part_expired, and changes no verdict.
	Name string
	Verdict
	// Server is the server that crashed, for part_suspected.
	Server ident.ServerStart
	// Crashes is the number of servers whose crashes count against the part.
	Crashes int
	// FromPeer means that another instance has found the change.
	FromPeer bool
}
