// Package clock reads the boot-time clock, which keeps running while the machine is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Reading is a reading of the boot-time clock: the time since boot, including time in suspension.
type Reading time.Duration

// Boot returns the time since boot.
//
// It panics if the kernel has no boot-time clock, because leases would not be safe without it.
func Boot() Reading {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		panic(err)
	}
	return Reading(spec.Nano())
}

// Add returns the reading r+d.
func (r Reading) Add(d time.Duration) Reading {
	return r + Reading(d)
}

// Sub returns the duration r-other.
func (r Reading) Sub(other Reading) time.Duration {
	return time.Duration(r - other)
}
