package peers

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/clock"
)

// Times that the cases share; the store's monotonic clock runs at the rate of the boot clocks.
var actualTime = time.Unix(1_784_000_000, 0)

const storeTimeAtStart = 50 * time.Second

// simulatedVM is a VM with a wall clock that may be wrong.
type simulatedVM struct {
	clockEstimator
	// clockError is the wall clock minus the actual time.
	clockError time.Duration
}

func (v *simulatedVM) wall(now clock.Reading) time.Time {
	return actualTime.Add(time.Duration(now) + v.clockError)
}

// readStore reads the store's clock with a round trip of zero.
func (v *simulatedVM) readStore(now clock.Reading) {
	v.observeStore(now, 0, storeTimeAtStart+time.Duration(now), v.wall(now))
}

// estimateError returns the agreed time minus the actual time.
func (v *simulatedVM) estimateError(now clock.Reading) time.Duration {
	return v.agreedTime(now, v.wall(now)).Sub(actualTime.Add(time.Duration(now)))
}

// exchangeOffsets gives all VMs each other's offsets.
func exchangeOffsets(now clock.Reading, vms ...*simulatedVM) {
	var offsets []int64
	for _, vm := range vms {
		vm.readStore(now)
		offsets = append(offsets, vm.localOffset.Milliseconds())
	}
	for _, vm := range vms {
		vm.updateMedian(append([]int64(nil), offsets...))
	}
}

func atSecond(n int) clock.Reading { return clock.Reading(n) * clock.Reading(time.Second) }

// TestAgreedTime checks that steps of the local clock, or of fewer than half of the instances' clocks, do not move the agreed
// time.
func TestAgreedTime(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var estimator clockEstimator
	is.Equal(estimator.agreedTime(0, actualTime), actualTime) // No offset is known yet.

	// The local clock is two seconds ahead.
	read := func(now clock.Reading, clockError time.Duration) {
		estimator.observeStore(now, 0, storeTimeAtStart+time.Duration(now), actualTime.Add(time.Duration(now)+clockError))
	}
	read(0, 2*time.Second)
	correctOffset := (time.Duration(actualTime.UnixNano()) - storeTimeAtStart).Milliseconds()
	estimator.updateMedian([]int64{correctOffset, correctOffset + 1, estimator.localOffset.Milliseconds()})
	deviation := estimator.agreedTime(0, actualTime.Add(2*time.Second)).Sub(actualTime)
	is.True(deviation.Abs() <= time.Millisecond)

	later := clock.Reading(30 * time.Second)
	read(later, -5*time.Second)
	estimator.updateMedian([]int64{correctOffset, correctOffset + 1, estimator.localOffset.Milliseconds()})
	deviation = estimator.agreedTime(later, actualTime).Sub(actualTime.Add(30 * time.Second))
	is.True(deviation.Abs() <= time.Millisecond)
}

// TestMostClocksStep checks that the agreed time stays correct while the clocks of most or all VMs step and step back.
func TestMostClocksStep(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	vms := []*simulatedVM{{}, {}, {}}
	exchangeOffsets(atSecond(1), vms...)
	for round, step := range []time.Duration{4 * time.Second, 0, -5 * time.Second, 2 * time.Second} {
		for index, vm := range vms {
			if index > 0 || round == 2 {
				vm.clockError = step
			}
		}
		now := atSecond(10 * (round + 1))
		exchangeOffsets(now, vms...)
		for _, vm := range vms {
			is.True(vm.estimateError(now).Abs() <= time.Millisecond)
		}
	}
}

// TestClockWrongAtStart checks that a process that starts while its clock is wrong uses the others' clocks, and that, once its
// clock is corrected, it has the correct time even after the others are gone.
func TestClockWrongAtStart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	wrong, a, b := &simulatedVM{clockError: 3 * time.Second}, &simulatedVM{}, &simulatedVM{}
	exchangeOffsets(atSecond(1), wrong, a, b)
	is.True(wrong.estimateError(atSecond(1)).Abs() <= time.Millisecond)
	wrong.clockError = 0
	exchangeOffsets(atSecond(2), wrong, a, b)
	exchangeOffsets(atSecond(3), wrong)
	is.True(wrong.estimateError(atSecond(3)).Abs() <= time.Millisecond)
}

// TestLastingStepIsAccepted checks that a step that lasts on most VMs is accepted after a while: the clocks were wrong before it.
func TestLastingStepIsAccepted(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	vms := []*simulatedVM{{clockError: -time.Hour}, {clockError: -time.Hour}, {clockError: -time.Hour}}
	exchangeOffsets(atSecond(1), vms...)
	for _, vm := range vms {
		vm.clockError = 0
	}
	exchangeOffsets(atSecond(2), vms...)
	is.Equal(vms[0].estimateError(atSecond(2)).Round(time.Minute), -time.Hour)
	exchangeOffsets(atSecond(900), vms...)
	is.True(vms[0].estimateError(atSecond(900)).Abs() <= time.Millisecond)
}

// TestSlowResponses checks that slow responses of the store do not replace the more precise reading from a fast one.
func TestSlowResponses(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var vm simulatedVM
	exchangeOffsets(atSecond(1), &vm)
	const roundTrip = 800 * time.Millisecond
	// The request took the whole round trip and the response took no time.
	vm.observeStore(atSecond(2), roundTrip/2, storeTimeAtStart+time.Duration(atSecond(2)), vm.wall(atSecond(2)))
	is.True(vm.estimateError(atSecond(2)).Abs() <= time.Millisecond)
	vm.updateMedian([]int64{vm.localOffset.Milliseconds()})
	is.True(vm.estimateError(atSecond(2)).Abs() <= time.Millisecond)
}

// TestStoreClockRestart checks that a reading after a restart of the store's clock replaces the earlier one.
func TestStoreClockRestart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var vm simulatedVM
	exchangeOffsets(atSecond(1), &vm)
	now := atSecond(2)
	vm.observeStore(now, time.Millisecond, time.Second, vm.wall(now))
	vm.updateMedian([]int64{vm.localOffset.Milliseconds()})
	is.True(vm.estimateError(now).Abs() <= 2*time.Millisecond)
}
