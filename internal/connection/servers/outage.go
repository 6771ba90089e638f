package servers

import (
	"time"

	"vanillapond/internal/process/clock"
)

// outage follows whether the store answers.
//
// A call that fails alone, as on a dead connection, is no outage: other calls are answered meanwhile.
type outage struct {
	// answered is when a call was last answered, 0 for never.
	answered clock.Reading
	// failing says that a call has failed since.
	failing bool
	// failed is when the newest call that failed was sent; the store was away then, and may have been back soon after.
	failed clock.Reading
	// until is when entries that lapsed in the last outage had their time to come back, 0 for none.
	until clock.Reading
}

// observe notes a call that ended now; failures without an answer for the configured time are an outage.
func (o *outage) observe(now clock.Reading, took time.Duration, answered bool, config Config) {
	if !answered {
		o.failing = true
		o.failed = max(o.failed, now.Add(-took))
		return
	}
	if o.lasts(now, config) {
		o.until = now.Add(config.ReregistrationTimeout)
		if config.RecoveryBound > 0 {
			o.until = min(o.until, o.failed.Add(config.RecoveryBound))
		}
	}
	o.answered, o.failing = now, false
}

func (o *outage) lasts(now clock.Reading, config Config) bool {
	return o.failing && now.Sub(o.answered) >= config.MinOutage
}

// excuses reports whether entries may be missing because of an outage that lasts or is just over.
func (o *outage) excuses(now clock.Reading, config Config) bool {
	return o.lasts(now, config) || now < o.until
}
