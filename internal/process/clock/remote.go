package clock

import (
	"sync"
	"time"
)

// MaxDrift bounds how far two steady clocks go apart, as a part of the time that passes; quartz clocks stay well below it.
const MaxDrift = 0.001

// resolution is that of times that other processes show: they are told in whole milliseconds, rounded down.
const resolution = time.Millisecond

// Remote tells when, by the own clock, another process's steady clock showed a time: a lower bound, as late as is certain.
//
// One quick call tells how the clocks stand to each other, so that an answer that was waited for long counts from when it was
// given and not from when it was asked for.
type Remote struct {
	mu sync.Mutex
	// offset is the own clock less the other one, never more than it truly is; guarded by mu.
	offset time.Duration
	// at is when offset was last right; known says that there is one. Guarded by mu.
	at    Reading
	known bool
}

// ToLocal returns when the other clock showed a time, which it did between the sending of a call and now; 0 shows nothing.
func (r *Remote) ToLocal(sent, now Reading, shown time.Duration) Reading {
	if shown == 0 {
		return sent
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	offset, at := time.Duration(sent)-shown-resolution, sent
	if r.known {
		before := r.offset - time.Duration(MaxDrift*float64(now.Sub(r.at)))
		// Where the time would lie ahead, the other clock has begun anew, and what was known of it is void.
		if before > offset && Reading(shown+before) <= now {
			offset, at = before, now
		}
	}
	r.offset, r.at, r.known = offset, at, true
	return min(max(Reading(shown+offset), sent), now)
}
