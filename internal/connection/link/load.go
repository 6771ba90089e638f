package link

import (
	"github.com/samber/oops"

	"vanillapond/internal/process/suspect"
)

// Load is the current load of an endpoint, as its sidecar sees it.
type Load struct {
	// Sequence increases with each load that a sidecar sends; a load with a lower number than the last one is ignored.
	Sequence uint64 `cbor:"1,keyasint"`
	// Running is the number of requests that the backend runs.
	Running int `cbor:"2,keyasint"`
	// Waiting is the number of requests in the sidecar's queue.
	Waiting int `cbor:"3,keyasint"`
	// Capacity is how many requests the backend runs at a time.
	Capacity int `cbor:"4,keyasint"`
	// Draining means that the sidecar accepts no new requests.
	Draining bool `cbor:"5,keyasint,omitempty"`
}

// Check returns an error if a count is negative.
func (l Load) Check() error {
	if l.Running < 0 || l.Waiting < 0 || l.Capacity < 0 {
		return oops.Errorf("load: found a negative count, want 0 or more")
	}
	return nil
}

// LoadReport carries a load outside of any stream.
type LoadReport struct {
	Load Load `cbor:"1,keyasint"`
	// Suspicions are new or changed suspicions of requests that were running when a backend crashed.
	Suspicions []suspect.Suspicion `cbor:"2,keyasint,omitempty"`
}

// Kind implements Frame.
func (*LoadReport) Kind() Kind { return KindLoad }

// Check implements Frame.
func (l *LoadReport) Check() error {
	for _, suspicion := range l.Suspicions {
		if err := suspicion.Check(); err != nil {
			return err
		}
	}
	return l.Load.Check()
}
