package router

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/platform"
)

// TestPollTimeoutsWithinContact checks that a poll whose response is lost at the end of a fault that affects only this instance
// times out and is repeated within the recovery bound. Otherwise the instance would use servers that deregistered during
// the fault, or miss configuration versions that were published during it.
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

// maxPollResume is the maximum time that a poll takes after one that failed, if the store responds: the pause before it and the
// response.
const maxPollResume = 250 * time.Millisecond

// TestMissingServerTimeoutWithinContact checks that servers whose registrations are missing after an outage are no longer
// used when the recovery bound has passed.
func TestMissingServerTimeoutWithinContact(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	is.True(missingServerTimeout(platform.Bounds{Contact: 3 * time.Second}) >= reregistrationTime)
	is.True(missingServerTimeout(platform.Bounds{Contact: 2 * time.Second})+sweepInterval < 2*time.Second)
	is.Equal(missingServerTimeout(platform.Bounds{}), time.Duration(0))
}
