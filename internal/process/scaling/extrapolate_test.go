package scaling_test

import (
	"testing"

	"github.com/matryer/is"

	"vanillapond/internal/process/scaling"
)

func TestExtrapolateDemand(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	totalLoad := scaling.ObservedLoad{Endpoints: 32, Requests: 64}
	// All endpoints observed.
	is.Equal(scaling.ExtrapolateDemand(scaling.ObservedLoad{Endpoints: 3, Requests: 9}, totalLoad, 3), 9.0)
	// Enough endpoints observed.
	is.Equal(scaling.ExtrapolateDemand(scaling.ObservedLoad{Endpoints: 4, Requests: 16}, totalLoad, 136), 544.0)
	// Too few observed: uses all domains.
	is.Equal(scaling.ExtrapolateDemand(scaling.ObservedLoad{Endpoints: 3, Requests: 0}, totalLoad, 136), 272.0)
	// None observed.
	is.Equal(scaling.ExtrapolateDemand(scaling.ObservedLoad{}, totalLoad, 136), 272.0)
	// None observed in any domain.
	is.Equal(scaling.ExtrapolateDemand(scaling.ObservedLoad{}, scaling.ObservedLoad{}, 136), 0.0)
	// A pool of one endpoint.
	is.Equal(scaling.ExtrapolateDemand(scaling.ObservedLoad{Endpoints: 1, Requests: 8}, scaling.ObservedLoad{}, 1), 8.0)
	// No endpoint running.
	is.Equal(scaling.ExtrapolateDemand(
		scaling.ObservedLoad{Endpoints: 1, Requests: 8}, scaling.ObservedLoad{Endpoints: 1, Requests: 8}, 0), 0.0)
}
