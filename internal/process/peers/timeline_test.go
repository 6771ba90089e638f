package peers

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/clock"
)

// Times that the cases share; the store's steady clock runs with the boot clocks.
var truth = time.Unix(1_784_000_000, 0)

const steadyAtStart = 50 * time.Second

// day is one VM with its clock.
type day struct {
	timeline
	// ahead is by how much its time of day is wrong.
	ahead time.Duration
}

func (d *day) wall(now clock.Reading) time.Time { return truth.Add(time.Duration(now) + d.ahead) }

// look reads the store's clock by an answer that took no time.
func (d *day) look(now clock.Reading) { d.read(now, 0, steadyAtStart+time.Duration(now), d.wall(now)) }

// off returns by how much true time, as told, is wrong.
func (d *day) off(now clock.Reading) time.Duration {
	return d.at(now, d.wall(now)).Sub(truth.Add(time.Duration(now)))
}

// meet lets all VMs know each other's offsets.
func meet(now clock.Reading, days ...*day) {
	var offsets []int64
	for _, d := range days {
		d.look(now)
		offsets = append(offsets, d.ownOffset.Milliseconds())
	}
	for _, d := range days {
		d.agree(append([]int64(nil), offsets...))
	}
}

func second(n int) clock.Reading { return clock.Reading(n) * clock.Reading(time.Second) }

// TestAgreedTime holds that neither a jump of the own clock nor one of fewer than half of the entries moves true time.
func TestAgreedTime(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var own timeline
	is.Equal(own.at(0, truth), truth) // Nothing else is known yet.

	// The own clock is two seconds ahead.
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

// TestMostClocksStep holds that true time stands while the clocks of most VMs, or of all, jump and jump back.
func TestMostClocksStep(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	days := []*day{{}, {}, {}}
	meet(second(1), days...)
	for at, jump := range []time.Duration{4 * time.Second, 0, -5 * time.Second, 2 * time.Second} {
		for index, d := range days {
			if index > 0 || at == 2 {
				d.ahead = jump
			}
		}
		now := second(10 * (at + 1))
		meet(now, days...)
		for _, d := range days {
			is.True(d.off(now).Abs() <= time.Millisecond)
		}
	}
}

// TestClockWrongAtStart holds that a process that starts while its clock is wrong goes by the others, and by its own clock again
// once that is right, when the others are gone.
func TestClockWrongAtStart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	late, a, b := &day{ahead: 3 * time.Second}, &day{}, &day{}
	meet(second(1), late, a, b)
	is.True(late.off(second(1)).Abs() <= time.Millisecond)
	late.ahead = 0
	meet(second(2), late, a, b)
	meet(second(3), late)
	is.True(late.off(second(3)).Abs() <= time.Millisecond)
}

// TestLastingStepIsAccepted holds that a jump that lasts on most VMs is believed in the end: the clocks were wrong before.
func TestLastingStepIsAccepted(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	days := []*day{{ahead: -time.Hour}, {ahead: -time.Hour}, {ahead: -time.Hour}}
	meet(second(1), days...)
	for _, d := range days {
		d.ahead = 0
	}
	meet(second(2), days...)
	is.Equal(days[0].off(second(2)).Round(time.Minute), -time.Hour)
	meet(second(900), days...)
	is.True(days[0].off(second(900)).Abs() <= time.Millisecond)
}

// TestSlowResponses holds that answers of the store that took long do not blur what quick ones have told.
func TestSlowResponses(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var d day
	meet(second(1), &d)
	const way = 800 * time.Millisecond
	// All of the time was spent on the way to the store, none on the way back.
	d.read(second(2), way/2, steadyAtStart+time.Duration(second(2)), d.wall(second(2)))
	is.True(d.off(second(2)).Abs() <= time.Millisecond)
	d.agree([]int64{d.ownOffset.Milliseconds()})
	is.True(d.off(second(2)).Abs() <= time.Millisecond)
}

// TestStoreClockRestart holds that a store whose clock has begun anew is believed.
func TestStoreClockRestart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var d day
	meet(second(1), &d)
	now := second(2)
	d.read(now, time.Millisecond, time.Second, d.wall(now))
	d.agree([]int64{d.ownOffset.Milliseconds()})
	is.True(d.off(now).Abs() <= 2*time.Millisecond)
}
