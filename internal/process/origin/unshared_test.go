package origin

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/clock"
	"vanillapond/pkg/ident"
)

// TestUnsharedStreamsAreBounded checks that an instance whose service has one version, so that nothing is told, forgets the streams that it would
// have to tell once they can't be taken up any more.
func TestUnsharedStreamsAreBounded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := clock.Reading(time.Hour)
	r := New(Config{Memory: func() time.Duration { return time.Minute }, Now: func() clock.Reading { return now }})
	r.ObserveVersions(map[ident.Pool][]ident.Software{"s": {"v1"}})
	now = now.Add(2 * time.Minute)
	for index := range 1000 {
		r.Begin(Origin{Stream: ident.Request(strconv.Itoa(index)), Service: "s", Software: "v1"})
		now = now.Add(time.Second)
	}
	is.True(len(r.unshared["s"]) <= 62) // those of the last minute
}
