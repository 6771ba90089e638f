package peers

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/clock"
)

// TestTrueTime holds that neither a jump of the own clock nor one of fewer than half of the entries moves true time.
func TestTrueTime(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	truth := time.Unix(1_784_000_000, 0)
	const steadyAtStart = 50 * time.Second
	var own timeline
	is.Equal(own.at(0, truth), truth) // Nothing else is known yet.

	// The own clock is two seconds ahead; the store's steady clock runs with the boot clock.
	read := func(now clock.Reading, ahead time.Duration) {
		own.read(now, 0, steadyAtStart+time.Duration(now), truth.Add(time.Duration(now)+ahead))
	}
	read(0, 2*time.Second)
	right := (time.Duration(truth.UnixNano()) - steadyAtStart).Milliseconds()
	own.agree([]int64{right, right + 1, own.ownOffset.Milliseconds()})
	off := own.at(0, truth.Add(2*time.Second)).Sub(truth)
	is.True(off.Abs() <= time.Millisecond)

	later := clock.Reading(30 * time.Second)
	read(later, -5*time.Second)
	own.agree([]int64{right, right + 1, own.ownOffset.Milliseconds()})
	off = own.at(later, truth).Sub(truth.Add(30 * time.Second))
	is.True(off.Abs() <= time.Millisecond)
}
