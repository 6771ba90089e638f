//go:build !race

package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// modelCase is the mechanism as it is, or with one part left out.
type modelCase struct {
	name        string
	assumptions assumptions
	broken      bool
}

// Cases of the model; random walks find the plain ones only.
var (
	plainCases = []modelCase{
		{"sound", assumptions{slips: 1}, false},
		{"term_from_answer", assumptions{termFromAnswer: true}, true},
		{"no_check_before_send", assumptions{noCheck: true}, true},
		{"taker_does_not_wait", assumptions{noWait: true}, true},
	}
	subtleCases = []modelCase{
		{"sound_with_fencing_receiver", assumptions{checksFence: true}, false},
		{"no_guard", assumptions{noGuard: true, slips: 1}, true},
		{"no_drift", assumptions{noDrift: true, slips: 1}, true},
		{"release_under_way", assumptions{earlyRelease: true}, true},
	}
)

// eachCase runs the model for each case and checks whether it was found broken.
func eachCase(t *testing.T, cases []modelCase, processes int, run func(*checker) string) {
	t.Helper()
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := &checker{assumptions: test.assumptions}
			c.processes = processes
			done := run(c)
			t.Logf("%s, %d hand-overs, %d orders accepted, %d refused %.*s",
				done, c.handOvers, c.accepts, c.refusals, modelStatesLogged, c.broken)
			is.Equal(c.broken != "", test.broken)
			if !test.broken {
				is.True(c.handOvers > 0 && c.accepts > 0)
				is.Equal(c.refusals > 0, test.assumptions.checksFence)
			}
		})
	}
}

// TestModel visits every state of two processes.
func TestModel(t *testing.T) {
	t.Parallel()
	eachCase(t, slices.Concat(plainCases, subtleCases), 2, func(c *checker) string {
		c.run()
		return fmt.Sprintf("%d states", len(c.visited))
	})
}

// TestModelWalk walks at random among the states of three processes, which are too many to visit.
func TestModelWalk(t *testing.T) {
	t.Parallel()
	const seeds, steps = 40, 3000
	eachCase(t, plainCases, 3, func(c *checker) string {
		seed := uint64(0)
		for ; seed < seeds && c.broken == ""; seed++ {
			c.walk(rand.New(rand.NewPCG(seed, 1)), steps)
		}
		return fmt.Sprintf("seeds 0 to %d of %d steps", seed-1, steps)
	})
}
