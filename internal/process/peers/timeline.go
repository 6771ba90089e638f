package peers

import (
	"slices"
	"time"

	"vanillapond/internal/process/clock"
)

// timeline tells the time of day that the middle one of the entries' clocks shows.
//
// The time of day of single VMs may jump by seconds. The store's steady clock is common to all, so that each entry's
// offset from it can be compared, and the middle offset is right as long as less than half of the clocks have jumped.
type timeline struct {
	// steady is the store's steady clock less the own boot clock.
	steady time.Duration
	// read says that steady is known.
	known bool
	// ownOffset is the own time of day, since 1970, less the store's steady clock.
	ownOffset time.Duration
	// agreed is the middle offset of the entries; 0 before any is known.
	agreed time.Duration
}

// read notes the store's clock as it was half a round trip ago.
func (t *timeline) read(now clock.Reading, half, service time.Duration, wall time.Time) {
	if service == 0 {
		return
	}
	at := service + half
	t.steady = at - time.Duration(now)
	t.known = true
	t.ownOffset = time.Duration(wall.UnixNano()) - at
}

// agree takes the middle of the offsets, in milliseconds.
func (t *timeline) agree(offsets []int64) {
	if len(offsets) == 0 {
		return
	}
	slices.Sort(offsets)
	t.agreed = time.Duration(offsets[len(offsets)/2]) * time.Millisecond
}

// at returns the true time, or the own time of day while nothing else is known.
func (t *timeline) at(now clock.Reading, wall time.Time) time.Time {
	if !t.known || t.agreed == 0 {
		return wall
	}
	return time.Unix(0, int64(time.Duration(now)+t.steady+t.agreed))
}
