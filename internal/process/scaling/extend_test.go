package scaling_test

import (
	"testing"

	"github.com/matryer/is"

	"vanillapond/internal/process/scaling"
)

func TestExtrapolateDemand(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	everywhere := scaling.ObservedLoad{Endpoints: 32, Requests: 64}
	is.Equal(scaling.ExtrapolateDemand(scaling.ObservedLoad{Endpoints: 3, Requests: 9}, everywhere, 3), 9.0)                                      // all are seen
	is.Equal(scaling.ExtrapolateDemand(scaling.ObservedLoad{Endpoints: 4, Requests: 16}, everywhere, 136), 544.0)                                 // enough are seen
	is.Equal(scaling.ExtrapolateDemand(scaling.ObservedLoad{Endpoints: 3, Requests: 0}, everywhere, 136), 272.0)                                  // too few: the other domains help
	is.Equal(scaling.ExtrapolateDemand(scaling.ObservedLoad{}, everywhere, 136), 272.0)                                                           // none is seen
	is.Equal(scaling.ExtrapolateDemand(scaling.ObservedLoad{}, scaling.ObservedLoad{}, 136), 0.0)                                                 // nothing is known
	is.Equal(scaling.ExtrapolateDemand(scaling.ObservedLoad{Endpoints: 1, Requests: 8}, scaling.ObservedLoad{}, 1), 8.0)                          // a pool of one
	is.Equal(scaling.ExtrapolateDemand(scaling.ObservedLoad{Endpoints: 1, Requests: 8}, scaling.ObservedLoad{Endpoints: 1, Requests: 8}, 0), 0.0) // none runs
}
