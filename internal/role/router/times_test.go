package router

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/platform"
)

// TestServersWait holds that a question whose answer is lost at the end of a disturbance is given up and asked again before
// a server that leaves once the disturbance is over must get no new requests.
func TestServersWait(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for _, c := range []struct{ contact, drain time.Duration }{
		{4 * time.Second, 3 * time.Second}, {3 * time.Second, 2 * time.Second}, {2 * time.Second, 1500 * time.Millisecond},
	} {
		wait := serversWait(platform.Bounds{Contact: c.contact, Drain: c.drain})
		is.True(wait >= time.Second)
		is.True(wait+storeTimeout < c.contact+c.drain)
	}
	is.Equal(serversWait(platform.Bounds{}), maxServersWait)
	is.Equal(serversWait(platform.Bounds{Contact: time.Second, Drain: time.Second}), minServersWait)
}

// TestContactLeft holds that missing servers are not used any more when the disturbance that hides them counts as over.
func TestContactLeft(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	is.True(contactLeft(platform.Bounds{Contact: 3 * time.Second}) >= returnTime)
	is.True(contactLeft(platform.Bounds{Contact: 2 * time.Second})+sweepInterval < 2*time.Second)
	is.Equal(contactLeft(platform.Bounds{}), time.Duration(0))
}
