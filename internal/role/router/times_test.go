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
		for _, timeout := range []time.Duration{serversPollTimeout(bounds), configPollTimeout(bounds)} {
			is.True(timeout >= minPollTimeout)
			is.True(timeout+storeTimeout+maxPollResume < contact)
		}
	}
	is.Equal(serversPollTimeout(platform.Bounds{}), maxServersPollTimeout)
	is.Equal(serversPollTimeout(platform.Bounds{Contact: time.Second}), minPollTimeout)
	is.Equal(configPollTimeout(platform.Bounds{Revoke: 2 * time.Second}), fraction(configPollFraction, 2*time.Second))
}

// maxPollResume is what a question takes at most after one that was given up, where the store answers: a pause and an answer.
const maxPollResume = 250 * time.Millisecond

// TestMissingServerTimeoutWithinContact holds that missing servers are not used any more when the disturbance that hides them counts as over.
func TestMissingServerTimeoutWithinContact(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	is.True(missingServerTimeout(platform.Bounds{Contact: 3 * time.Second}) >= reregistrationTime)
	is.True(missingServerTimeout(platform.Bounds{Contact: 2 * time.Second})+sweepInterval < 2*time.Second)
	is.Equal(missingServerTimeout(platform.Bounds{}), time.Duration(0))
}
