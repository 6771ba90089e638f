package routes_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/clock"
	"vanillapond/internal/version/routes"
	"vanillapond/platform"
)

// TestStartFromOlderCopy checks that a process that has started from a store which came back from an older copy does not take its
// configuration as current once it hears of a later version, and does again when it has that version.
func TestStartFromOlderCopy(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := clock.Reading(time.Hour)
	current := &routes.Current{}
	current.Advance(platform.Configuration{Version: 3})
	current.Confirm(now, 7)
	is.True(!current.Expect(now, 2))
	is.Equal(current.Age(now), time.Duration(0))
	is.True(current.Expect(now, 4))
	is.True(current.Age(now) >= time.Hour)
	current.Confirm(now, 8)
	is.True(current.Age(now) >= time.Hour)
	current.Advance(platform.Configuration{Version: 4})
	current.Confirm(now, 9)
	is.Equal(current.Age(now), time.Duration(0))
}

// TestLaterVersionHeardFirst checks that a process that has heard of a later version before it loads an older one from the store does
// not take that one as current.
func TestLaterVersionHeardFirst(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := clock.Reading(time.Second) // The machine has just started, too.
	current := &routes.Current{}
	current.Expect(now, 4)
	current.Advance(platform.Configuration{Version: 3})
	current.Confirm(now, 7)
	is.True(current.Age(now) >= time.Hour)
}

// TestPeerIsAhead checks that a process that has been running for a while goes on with its version when it hears of a later one, but
// does not count it as confirmed any more.
func TestPeerIsAhead(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := clock.Reading(time.Hour)
	current := &routes.Current{}
	current.Advance(platform.Configuration{Version: 3})
	current.Confirm(now, 7)
	now = now.Add(time.Minute)
	current.Confirm(now, 7)
	is.True(current.Expect(now, 4))
	now = now.Add(time.Second)
	current.Confirm(now, 7)
	is.Equal(current.Age(now), time.Second)
}
