package peers

import (
	"slices"
	"time"

	"vanillapond/internal/process/clock"
)

// Limits for the detection of clock steps.
const (
	// minStep is the smallest change of the wall clock against the boot clock between two readings that counts as a step. Clocks
	// that are disciplined by slewing or by small steps change by a few milliseconds between readings.
	minStep = 100 * time.Millisecond
	// stepAcceptedAfter is how long a clock must run without another step until its last step counts as the correction of a
	// wrong clock. It is longer than clock faults last.
	stepAcceptedAfter = 10 * time.Minute
)

// clockEstimator estimates the time of day from the median of the wall clocks of all router instances.
//
// The wall clocks of VMs may step by seconds and back, on many VMs at once. All instances read the store's monotonic clock, so
// their offsets from it can be compared. Each instance excludes its recent steps from the offset that it publishes. Therefore
// only processes that started while their clock was wrong publish a wrong offset, and the median is correct as long as these
// are fewer than half.
type clockEstimator struct {
	// storeOffset is the store's monotonic clock minus the local boot clock, by the reading with the least uncertainty.
	storeOffset time.Duration
	// uncertainty is the maximum error of storeOffset when it was measured, at readAt.
	uncertainty time.Duration
	readAt      clock.Reading
	// synced is set once storeOffset is known.
	synced bool
	// localOffset is the local time of day without excluded steps, as time since 1970, minus the store's monotonic clock.
	localOffset time.Duration
	// medianOffset is the median of the instances' offsets; 0 until one is known.
	medianOffset time.Duration
	// wallOffset is the wall clock minus the boot clock at the last reading; initialized is set after the first reading.
	wallOffset  time.Duration
	initialized bool
	// excluded is the sum of the steps that are left out of the local time; the last one was detected at lastStepAt.
	excluded   time.Duration
	lastStepAt clock.Reading
}

// observeStore records a reading of the store's clock from half a round trip ago, unless an earlier one is more precise.
func (e *clockEstimator) observeStore(now clock.Reading, halfRoundTrip, storeTime time.Duration, wall time.Time) {
	if storeTime == 0 {
		return
	}
	uncertainty := e.uncertainty + time.Duration(clock.MaxDrift*float64(now.Sub(e.readAt)))
	if offset := storeTime + halfRoundTrip - time.Duration(now); !e.synced || halfRoundTrip <= uncertainty ||
		(offset-e.storeOffset).Abs() > halfRoundTrip+uncertainty {
		// A difference larger than both uncertainties together means that the store's clock was restarted.
		e.storeOffset, e.uncertainty, e.readAt, e.synced = offset, halfRoundTrip, now, true
	}
	e.localOffset = e.localTime(now, wall) - e.storeOffset - time.Duration(now)
}

// localTime returns the local time of day, as time since 1970, without excluded steps.
func (e *clockEstimator) localTime(now clock.Reading, wall time.Time) time.Duration {
	wallTime := time.Duration(wall.UnixNano())
	offset := wallTime - time.Duration(now)
	if step := offset - e.wallOffset; e.initialized && step.Abs() > minStep && !e.corrects(now, wallTime, step) {
		e.excluded += step
		e.lastStepAt = now
	}
	e.wallOffset, e.initialized = offset, true
	if now.Sub(e.lastStepAt) > stepAcceptedAfter {
		e.excluded = 0
	}
	return wallTime - e.excluded
}

// corrects reports whether a step brings the local time of day closer to the agreed time, as happens when the process started
// while its clock was wrong and the clock is then corrected.
func (e *clockEstimator) corrects(now clock.Reading, wallTime, step time.Duration) bool {
	if !e.synced || e.medianOffset == 0 {
		return false
	}
	deviation := wallTime - e.excluded - time.Duration(now) - e.storeOffset - e.medianOffset
	return deviation.Abs() < (deviation - step).Abs()
}

// updateMedian sets medianOffset to the median of the offsets, which are in milliseconds.
func (e *clockEstimator) updateMedian(offsets []int64) {
	if len(offsets) == 0 {
		return
	}
	slices.Sort(offsets)
	e.medianOffset = time.Duration(offsets[len(offsets)/2]) * time.Millisecond
}

// agreedTime returns the time of day by the median offset, or the local time of day without excluded steps until the median is
// known.
func (e *clockEstimator) agreedTime(now clock.Reading, wall time.Time) time.Time {
	local := e.localTime(now, wall)
	if !e.synced || e.medianOffset == 0 {
		return time.Unix(0, int64(local))
	}
	return time.Unix(0, int64(time.Duration(now)+e.storeOffset+e.medianOffset))
}
