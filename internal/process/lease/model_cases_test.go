//go:build !race

package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// modelCase is one variant of the model: the lease as implemented, or with one of its safeguards left out.
type modelCase struct {
	name        string
	assumptions assumptions
	violation   bool
}

// Cases of the model. Random walks find only the violations of the simple cases.
var (
	simpleCases = []modelCase{
		{"sound", assumptions{clockStalls: 1}, false},
		{"term_from_answer", assumptions{termFromResponse: true}, true},
		{"no_check_before_send", assumptions{noCheck: true}, true},
		{"taker_does_not_wait", assumptions{noAcquireDelay: true}, true},
	}
	exhaustiveCases = []modelCase{
		{"sound_with_fencing_receiver", assumptions{checksFence: true}, false},
		{"no_guard", assumptions{noGuard: true, clockStalls: 1}, true},
		{"no_drift", assumptions{noDrift: true, clockStalls: 1}, true},
		{"release_under_way", assumptions{earlyRelease: true}, true},
	}
)

// runCases runs the model for each case and verifies that a violation is found exactly where one is expected.
func runCases(t *testing.T, cases []modelCase, processes int, run func(*checker) string) {
	t.Helper()
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := &checker{assumptions: test.assumptions}
			c.processes = processes
			summary := run(c)
			t.Logf("%s, %d acquisitions from another holder, %d orders accepted, %d refused %.*s",
				summary, c.acquisitionsFromOther, c.accepts, c.refusals, maxViolationLength, c.violation)
			is.Equal(c.violation != "", test.violation)
			if !test.violation {
				is.True(c.acquisitionsFromOther > 0 && c.accepts > 0)
				is.Equal(c.refusals > 0, test.assumptions.checksFence)
			}
		})
	}
}

// TestModel visits every reachable state of a model with two processes.
func TestModel(t *testing.T) {
	t.Parallel()
	runCases(t, slices.Concat(simpleCases, exhaustiveCases), 2, func(c *checker) string {
		c.run()
		return fmt.Sprintf("%d states", len(c.visited))
	})
}

// TestModelWalk walks at random through the states of a model with three processes, which are too many to visit exhaustively.
func TestModelWalk(t *testing.T) {
	t.Parallel()
	const seeds, steps = 40, 3000
	runCases(t, simpleCases, 3, func(c *checker) string {
		seed := uint64(0)
		for ; seed < seeds && c.violation == ""; seed++ {
			c.walk(rand.New(rand.NewPCG(seed, 1)), steps)
		}
		return fmt.Sprintf("seeds 0 to %d of %d steps", seed-1, steps)
	})
}
