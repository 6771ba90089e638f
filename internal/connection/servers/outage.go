package servers

import (
	"time"

	"vanillapond/internal/process/clock"
)

// outageDetector detects outages of the store from the results of calls.
//
// A single failed call, as on a broken connection, is no outage, because other calls succeed meanwhile.
type outageDetector struct {
	// lastResponse is when a call was last answered, 0 for never.
	lastResponse clock.Reading
	// failing reports whether a call has failed since lastResponse.
	failing bool
	// lastFailure is the latest time at which a call that failed was sent. The store was unavailable then, but may have
	// recovered soon after.
	lastFailure clock.Reading
	// excusedUntil is the time until which registrations that expired in the last outage may be missing, 0 for none.
	excusedUntil clock.Reading
}

// observe records a call that ended now. If calls fail and none is answered for MinOutage, the store has an outage.
func (d *outageDetector) observe(now clock.Reading, duration time.Duration, responded bool, config Config) {
	if !responded {
		d.failing = true
		d.lastFailure = max(d.lastFailure, now.Add(-duration))
		return
	}
	if d.ongoing(now, config) {
		d.excusedUntil = now.Add(config.ReregistrationTimeout)
		if config.RecoveryBound > 0 {
			d.excusedUntil = min(d.excusedUntil, d.lastFailure.Add(config.RecoveryBound))
		}
	}
	d.lastResponse, d.failing = now, false
}

func (d *outageDetector) ongoing(now clock.Reading, config Config) bool {
	return d.failing && now.Sub(d.lastResponse) >= config.MinOutage
}

// excusesMissing reports whether registrations may be missing because of an outage that is ongoing or has just ended.
func (d *outageDetector) excusesMissing(now clock.Reading, config Config) bool {
	return d.ongoing(now, config) || now < d.excusedUntil
}
