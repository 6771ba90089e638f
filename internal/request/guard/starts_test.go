package guard

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/outcome"
	"vanillapond/pkg/ident"
)

// TestStartLogIsConsistent checks that no request is said not to have run that was started before or starts after the answer.
func TestStartLogIsConsistent(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s := newStarts(0)
		started, denied := make(map[startKey]bool), make(map[startKey]bool)
		for now := clock.Reading(1); now < 40; now++ {
			key := startKey{entry: "e", request: ident.Request(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "request")))}
			if rapid.Bool().Draw(t, "ask") {
				denied[key] = denied[key] || s.asked(key, 0, now) == outcome.NotRun
			} else {
				started[key] = s.begin(key, now) || started[key]
			}
			if started[key] && denied[key] {
				t.Fatalf("%v was started and said not to have run", key)
			}
		}
	})
}

// TestStartLogForgetsOldest checks that nothing is claimed of a time whose starts are forgotten.
func TestStartLogForgetsOldest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newStarts(0)
	first := startKey{entry: "e", request: "first"}
	is.True(s.begin(first, 10))
	for index := range maxStarts {
		s.begin(startKey{entry: "e", request: ident.Request(fmt.Sprint(index))}, clock.Reading(20+index))
	}
	is.Equal(s.asked(first, 9, 1e6), outcome.Unknown)
	is.Equal(s.asked(startKey{entry: "e", request: "never"}, 15, 1e6), outcome.NotRun)
}
