package router

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/clock"
	"vanillapond/pkg/ident"
)

// TestPeerFreshness guards against callers that are sent to other instances at once while these can't check keys either.
func TestPeerFreshness(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var freshness peerFreshness
	const maxAge = 4 * time.Second
	now := clock.Reading(time.Minute)
	is.True(!freshness.mostlyCurrent(now, maxAge)) // Nobody was heard.
	for index, age := range []time.Duration{time.Second, 5 * time.Second} {
		freshness.record(now, ident.Process(rune('a'+index)), age)
	}
	is.True(!freshness.mostlyCurrent(now, maxAge)) // Half of them are current.
	freshness.record(now, "c", time.Second)
	is.True(freshness.mostlyCurrent(now, maxAge))
	is.True(!freshness.mostlyCurrent(now.Add(freshnessTTL+1), maxAge)) // The reports have expired.
	freshness.record(now.Add(freshnessTTL+1), "d", time.Second)
	is.Equal(len(freshness.reports), 1) // Expired reports take no memory.
}
