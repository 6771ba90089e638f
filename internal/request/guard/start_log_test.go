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

// TestStartLogIsConsistent checks that a request reported as not run was not started before and is not started afterwards.
func TestStartLogIsConsistent(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s := newStartLog(0)
		started, declaredNotRun := make(map[requestKey]bool), make(map[requestKey]bool)
		for now := clock.Reading(1); now < 40; now++ {
			key := requestKey{entry: "e", request: ident.Request(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "request")))}
			if rapid.Bool().Draw(t, "ask") {
				declaredNotRun[key] = declaredNotRun[key] || s.query(key, 0, now) == outcome.NotRun
			} else {
				started[key] = s.begin(key, now) || started[key]
			}
			if started[key] && declaredNotRun[key] {
				t.Fatalf("%v was started, but also reported as not run", key)
			}
		}
	})
}

// TestStartLogEvictsOldest checks that the outcome of a request is unknown if its record may have been evicted.
func TestStartLogEvictsOldest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newStartLog(0)
	first := requestKey{entry: "e", request: "first"}
	is.True(s.begin(first, 10))
	for index := range maxStartRecords {
		s.begin(requestKey{entry: "e", request: ident.Request(fmt.Sprint(index))}, clock.Reading(20+index))
	}
	is.Equal(s.query(first, 9, 1e6), outcome.Unknown)
	is.Equal(s.query(requestKey{entry: "e", request: "never"}, 15, 1e6), outcome.NotRun)
}
