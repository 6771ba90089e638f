package router

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/platform"
)

// TestPollTimeoutsWithinContact holds that a question whose answer is lost at the end of a disturbance of this process alone is given up and asked
// again by the time the disturbance counts as over: a server may have left, or a version come, while it went on.
func TestPollTimeoutsWithinContact(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for _, contact := range []time.Duration{4 * time.Second, 3 * time.Second, 2 * time.Second} {
		bounds := platform.Bounds{Contact: contact, Revoke: 5 * time.Second}
		for _, wait := range []time.Duration{serversWait(bounds), configWait(bounds)} {
			is.True(wait >= minWait)
			is.True(wait+storeTimeout+lastResume < contact)
		}
	}
	is.Equal(serversWait(platform.Bounds{}), maxServersWait)
	is.Equal(serversWait(platform.Bounds{Contact: time.Second}), minWait)
	is.Equal(configWait(platform.Bounds{Revoke: 2 * time.Second}), share(configShare, 2*time.Second))
}

// lastResume is what a question takes at most after one that was given up, where the store answers: a pause and an answer.
const lastResume = 250 * time.Millisecond

// TestMissingServerTimeoutWithinContact holds that missing servers are not used any more when the disturbance that hides them counts as over.
func TestMissingServerTimeoutWithinContact(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	is.True(contactLeft(platform.Bounds{Contact: 3 * time.Second}) >= returnTime)
	is.True(contactLeft(platform.Bounds{Contact: 2 * time.Second})+sweepInterval < 2*time.Second)
	is.Equal(contactLeft(platform.Bounds{}), time.Duration(0))
}
