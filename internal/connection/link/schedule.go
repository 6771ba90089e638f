package link

import (
	"sync"
	"time"

	"vanillapond/internal/process/clock"
)

// Intervals between load reports on a link; a load sent with a frame of a response counts as a report.
const (
	// changedReportInterval is the minimum time before a changed load is reported outside of a response.
	changedReportInterval = 5 * time.Second
	// unchangedReportInterval is the time after which an unchanged load is reported again.
	unchangedReportInterval = 15 * time.Second
)

// reportSchedule decides when a link's other end needs a new load report.
type reportSchedule struct {
	mu sync.Mutex
	// lastLoad and sentAt are the last load sent and when it was sent; guarded by mu.
	lastLoad Load
	sentAt   clock.Reading
}

// record stores a load that was sent.
func (r *reportSchedule) record(load Load, now clock.Reading) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastLoad = load
	r.sentAt = now
}

// due reports whether a load is to be reported in a frame of its own; a load with Draining always is.
func (r *reportSchedule) due(load Load, now clock.Reading) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	sinceLast := now.Sub(r.sentAt)
	changed := load.Running != r.lastLoad.Running || load.Waiting != r.lastLoad.Waiting || load.Capacity != r.lastLoad.Capacity
	return load.Draining || sinceLast >= unchangedReportInterval || changed && sinceLast >= changedReportInterval
}
