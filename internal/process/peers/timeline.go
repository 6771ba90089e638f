package peers

import (
	"slices"
	"time"

	"vanillapond/internal/process/clock"
)

// Limits of how clocks go.
const (
	// minJump is the least change of the time of day against the boot clock between two looks that counts as a jump: clocks that
	// are kept right by small steps or by slewing change by a few milliseconds between looks.
	minJump = 100 * time.Millisecond
	// trustJump is how long a clock must run on after a jump until the jump counts as the setting right of a clock that was
	// wrong before: longer than disturbances last.
	trustJump = 10 * time.Minute
)

// timeline tells the time of day that the middle one of the entries' clocks shows.
//
// The time of day of VMs may jump by seconds and back, on many at once. The store's steady clock is common to all, so that the
// entries' offsets from it can be compared. Each entry leaves the jumps that it has seen lately out of its own offset, so that
// only processes that start while their clock is wrong tell a wrong one, and the middle offset is right as long as these are
// fewer than half.
type timeline struct {
	// steady is the store's steady clock less the own boot clock, by the reading that was surest.
	steady time.Duration
	// doubt bounds the error of steady when it was read, at readAt.
	doubt  time.Duration
	readAt clock.Reading
	// known says that steady is known.
	known bool
	// ownOffset is the own time of day without its jumps, since 1970, less the store's steady clock.
	ownOffset time.Duration
	// agreed is the middle offset of the entries; 0 before any is known.
	agreed time.Duration
	// gap is the time of day less the boot clock at the last look; looked says that there was one.
	gap    time.Duration
	looked bool
	// jumped sums up the jumps that are left out, of which the last was seen at jumpedAt.
	jumped   time.Duration
	jumpedAt clock.Reading
}

// read notes the store's clock as it was half a round trip ago, unless an earlier reading is surer.
func (t *timeline) read(now clock.Reading, half, service time.Duration, wall time.Time) {
	if service == 0 {
		return
	}
	doubt := t.doubt + time.Duration(clock.MaxDrift*float64(now.Sub(t.readAt)))
	if steady := service + half - time.Duration(now); !t.known || half <= doubt || (steady-t.steady).Abs() > half+doubt {
		// A difference that neither doubt explains means that the store's clock has begun anew.
		t.steady, t.doubt, t.readAt, t.known = steady, half, now, true
	}
	t.ownOffset = t.smooth(now, wall) - t.steady - time.Duration(now)
}

// smooth returns the own time of day since 1970 without its jumps.
func (t *timeline) smooth(now clock.Reading, wall time.Time) time.Duration {
	day := time.Duration(wall.UnixNano())
	gap := day - time.Duration(now)
	if jump := gap - t.gap; t.looked && jump.Abs() > minJump && !t.rights(now, day, jump) {
		t.jumped += jump
		t.jumpedAt = now
	}
	t.gap, t.looked = gap, true
	if now.Sub(t.jumpedAt) > trustJump {
		t.jumped = 0
	}
	return day - t.jumped
}

// rights reports whether a jump brings the own time of day nearer to what most entries agree on, as it does where the process
// started while its clock was wrong.
func (t *timeline) rights(now clock.Reading, day, jump time.Duration) bool {
	if !t.known || t.agreed == 0 {
		return false
	}
	off := day - t.jumped - time.Duration(now) - t.steady - t.agreed
	return off.Abs() < (off - jump).Abs()
}

// agree takes the middle of the offsets, in milliseconds.
func (t *timeline) agree(offsets []int64) {
	if len(offsets) == 0 {
		return
	}
	slices.Sort(offsets)
	t.agreed = time.Duration(offsets[len(offsets)/2]) * time.Millisecond
}

// at returns the true time, or the own time of day without its jumps while nothing else is known.
func (t *timeline) at(now clock.Reading, wall time.Time) time.Time {
	own := t.smooth(now, wall)
	if !t.known || t.agreed == 0 {
		return time.Unix(0, int64(own))
	}
	return time.Unix(0, int64(time.Duration(now)+t.steady+t.agreed))
}
