package link

import (
	"time"

	"vanillapond/internal/process/clock"
)

// driftDivisor bounds the relative drift of two boot clocks: 1/driftDivisor.
const driftDivisor = 5000

// delayEstimator estimates how much longer the frames of one link take than the fastest frame.
//
// Both ends read their boot clocks, which keep running while a process or VM is paused, and which differ by a constant and a small
// drift. The least difference between arrival and sending belongs to the fastest frame; what a later frame takes beyond it is its
// excess delay.
type delayEstimator struct {
	// minDifference is the least difference between arrival and sending, increased by the greatest possible drift since then.
	minDifference time.Duration
	// adjustedAt is when minDifference was last increased.
	adjustedAt clock.Reading
	// initialized is set with the first frame.
	initialized bool
}

// excessDelay returns how much longer a frame took than the fastest one.
func (e *delayEstimator) excessDelay(sent, arrived clock.Reading) time.Duration {
	difference := arrived.Sub(sent)
	if e.initialized {
		e.minDifference += arrived.Sub(e.adjustedAt) / driftDivisor
	}
	if !e.initialized || difference < e.minDifference {
		e.minDifference = difference
		e.initialized = true
	}
	e.adjustedAt = arrived
	return difference - e.minDifference
}

// bootMillis returns the current reading of the boot clock in milliseconds, as it is sent to the peer.
func bootMillis() int64 { return time.Duration(clock.Boot()).Milliseconds() }

// bootReading converts milliseconds from a frame to a reading of the peer's boot clock.
func bootReading(millis int64) clock.Reading {
	return clock.Reading(time.Duration(millis) * time.Millisecond)
}
