package clock

import (
	"sync"
	"time"
)

// MaxDrift is the maximum drift between two monotonic clocks, as a fraction of the elapsed time. Quartz clocks stay well below
// it.
const MaxDrift = 0.001

// remoteResolution is the resolution of clock readings from other processes, which send whole milliseconds, rounded down.
const remoteResolution = time.Millisecond

// Remote converts readings of another process's monotonic clock to local readings. The result is a lower bound: the latest local
// time that is certain not to be after the moment of the remote reading.
//
// A call with a short round trip gives a tight bound for the offset between the two clocks. With it, the response of a long poll
// counts from when it was sent and not from when it was requested.
type Remote struct {
	mu sync.Mutex
	// offset is a lower bound of the local clock minus the remote one; guarded by mu.
	offset time.Duration
	// offsetAt is when the bound was computed; known is set once there is one. Guarded by mu.
	offsetAt Reading
	known    bool
}

// ToLocal returns a lower bound of the local time at which the remote clock was read, which was between sent and received. A
// remote reading of 0 means that there is none; the bound is then sent.
func (r *Remote) ToLocal(sent, received Reading, remote time.Duration) Reading {
	if remote == 0 {
		return sent
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	offset, at := time.Duration(sent)-remote-remoteResolution, sent
	if r.known {
		previous := r.offset - time.Duration(MaxDrift*float64(received.Sub(r.offsetAt)))
		// If the result would be after received, the remote clock was restarted and the previous offset is invalid.
		if previous > offset && Reading(remote+previous) <= received {
			offset, at = previous, received
		}
	}
	r.offset, r.offsetAt, r.known = offset, at, true
	return min(max(Reading(remote+offset), sent), received)
}
