package event

import (
	"sync"
	"time"

	"github.com/samber/oops"
)

// Time is a reading of a hybrid logical clock.
type Time struct {
	// WallMS is the latest wall time observed, in Unix milliseconds.
	WallMS int64 `cbor:"1,keyasint" json:"wall_ms"`
	// Counter orders readings with the same WallMS.
	Counter uint32 `cbor:"2,keyasint" json:"counter"`
}

// Compare returns -1, 0 or 1 if t is before, equal to or after other.
func (t Time) Compare(other Time) int {
	switch {
	case t.WallMS < other.WallMS, t.WallMS == other.WallMS && t.Counter < other.Counter:
		return -1
	case t == other:
		return 0
	default:
		return 1
	}
}

// Check returns an error if the wall time is negative.
func (t Time) Check() error {
	if t.WallMS < 0 {
		return oops.Errorf("time.wall_ms: found %d, want 0 or more", t.WallMS)
	}
	return nil
}

// Clock is a hybrid logical clock.
type Clock struct {
	wall func() time.Time
	mu   sync.Mutex
	// last is the last reading and never decreases; guarded by mu.
	last Time
}

// NewClock returns a clock that takes the wall time from wall.
func NewClock(wall func() time.Time) *Clock {
	return &Clock{wall: wall}
}

// Now returns a reading that is after every earlier one.
func (c *Clock) Now() Time {
	return c.Observe(Time{})
}

// Observe returns a reading that is after every earlier one and after remote, a reading of another process.
func (c *Clock) Observe(remote Time) Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if remote.Compare(c.last) > 0 {
		c.last = remote
	}
	wall := Time{WallMS: c.wall().UnixMilli()}
	if wall.Compare(c.last) > 0 {
		c.last = wall
		return c.last
	}
	c.last.Counter++
	return c.last
}
