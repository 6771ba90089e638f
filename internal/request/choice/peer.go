package choice

import (
	"container/list"
	"math"
	"time"

	"vanillapond/pkg/ident"
)

// Figures of the load estimate.
const (
	// freshnessDecay is the age at which a reading has lost most of its worth.
	freshnessDecay = time.Second
	// maxPrefixLoadFactor is how far above the mean load an endpoint may be and still draw requests by prefix.
	maxPrefixLoadFactor = 1.25
)

// endpointState is one endpoint as an entry knows it.
type endpointState struct {
	id     ident.Endpoint
	digest uint64
	// ownRequests counts this entry's requests at the endpoint.
	ownRequests int
	// report is the last that came at readAt; others is what it told of other entries' requests.
	report           LoadReport
	reportedAt       time.Time
	externalRequests int
	// pending holds this entry's streamed attempts that run without an answer, oldest first.
	pending list.List
	// relativeLatency is the running mean of times against those of the pool; 1 is like the others.
	relativeLatency float64
	// latencySamples counts the times behind slowness.
	latencySamples int
	// consecutiveFailures counts failures without a success between.
	consecutiveFailures int
	// ejections counts ejections without a calm time between.
	ejections int
	// ejectedUntil is the end of the last ejection; zero where there was none.
	ejectedUntil time.Time
}

// applyReport takes a reading over if it is a new one.
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

// freshness falls from 1 to 0 with the reading's age.
func (e *endpointState) freshness(now time.Time) float64 {
	return math.Exp(-float64(now.Sub(e.reportedAt)) / float64(freshnessDecay))
}

// externalLoad returns what others bring by the last reading, in shares of the capacity.
func (e *endpointState) externalLoad() float64 { return float64(e.externalRequests) / e.slots() }

// load returns the expected load with one more request, in shares of the capacity.
//
// An old reading counts for no less than the mean of all, so that a stale "idle" attracts nobody.
func (e *endpointState) load(now time.Time, meanExternal float64) float64 {
	external := e.externalLoad()
	if external < meanExternal {
		freshness := e.freshness(now)
		external = freshness*external + (1-freshness)*meanExternal
	}
	load := external + float64(e.ownRequests+1)/e.slots()
	return load * max(e.relativeLatency, 1) / e.rampFraction(now)
}
