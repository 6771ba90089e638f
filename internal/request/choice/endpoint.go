package choice

import (
	"container/list"
	"math"
	"time"

	"vanillapond/pkg/ident"
)

// Parameters of the load estimate.
const (
	// freshnessDecay is the time constant with which a load report loses weight: after this time, 37% is left.
	freshnessDecay = time.Second
	// maxPrefixLoadFactor is the largest ratio to the mean load at which an endpoint is still selected by prefix.
	maxPrefixLoadFactor = 1.25
)

// endpointState is what an entry knows about one endpoint.
type endpointState struct {
	id     ident.Endpoint
	digest uint64
	// ownRequests is the number of requests that this entry has at the endpoint.
	ownRequests int
	// report is the last load report, received at reportedAt. externalRequests is the part of it caused by other entries.
	report           LoadReport
	reportedAt       time.Time
	externalRequests int
	// pending holds this entry's accepted streaming attempts without a response, oldest first.
	pending list.List
	// relativeLatency is the moving average of the ratio of latencies to the pool's typical latencies; 1 is typical.
	relativeLatency float64
	// latencySamples is the number of samples in relativeLatency since the last ejection.
	latencySamples int
	// consecutiveFailures is the number of failures since the last success.
	consecutiveFailures int
	// ejections is the number of ejections in a row; it restarts if ejectionMax has passed since the last one ended.
	ejections int
	// ejectedUntil is the end of the last ejection; zero if there was none.
	ejectedUntil time.Time
}

// applyReport stores a load report if it is new.
func (e *endpointState) applyReport(now time.Time, report LoadReport) {
	if report.Sequence == e.report.Sequence && !e.reportedAt.IsZero() {
		return
	}
	e.report = report
	e.reportedAt = now
	e.externalRequests = max(report.Busy-e.ownRequests, 0)
}

// slots returns the endpoint's capacity, at least 1.
func (e *endpointState) slots() float64 { return float64(max(e.report.Capacity, 1)) }

// freshness returns the weight of the load report, which falls from 1 towards 0 with its age.
func (e *endpointState) freshness(now time.Time) float64 {
	return math.Exp(-float64(now.Sub(e.reportedAt)) / float64(freshnessDecay))
}

// externalLoad returns the load caused by other entries according to the last report, as a fraction of capacity.
func (e *endpointState) externalLoad() float64 { return float64(e.externalRequests) / e.slots() }

// load returns the expected load with one more request, as a fraction of capacity.
//
// A stale report below the mean is moved towards the mean, so that an endpoint that was idle some time ago does not attract
// requests from all entries at once.
func (e *endpointState) load(now time.Time, meanExternal float64) float64 {
	external := e.externalLoad()
	if external < meanExternal {
		freshness := e.freshness(now)
		external = freshness*external + (1-freshness)*meanExternal
	}
	load := external + float64(e.ownRequests+1)/e.slots()
	return load * max(e.relativeLatency, 1) / e.rampFraction(now)
}
