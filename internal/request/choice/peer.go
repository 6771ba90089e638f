package choice

import (
	"container/list"
	"math"
	"time"

	"vanillapond/pkg/ident"
)

// Figures of the load estimate.
const (
	// fresh is the age at which a reading has lost most of its worth.
	fresh = time.Second
	// boundFactor is how far above the mean load an endpoint may be and still draw requests by prefix.
	boundFactor = 1.25
)

// peer is one endpoint as an entry knows it.
type peer struct {
	id     ident.Endpoint
	digest uint64
	// own counts this entry's requests at the endpoint.
	own int
	// reading is the last that came at readAt; others is what it told of other entries' requests.
	reading LoadReport
	readAt  time.Time
	others  int
	// accepted holds this entry's streamed attempts that run without an answer, oldest first.
	accepted list.List
	// slowness is the running mean of times against those of the pool; 1 is like the others.
	slowness float64
	// samples counts the times behind slowness.
	samples int
	// failures counts failures without a success between.
	failures int
	// ejections counts ejections without a calm time between.
	ejections int
	// ejectedUntil is the end of the last ejection; zero where there was none.
	ejectedUntil time.Time
}

// read takes a reading over if it is a new one.
func (p *peer) read(now time.Time, reading LoadReport) {
	if reading.Sequence == p.reading.Sequence && !p.readAt.IsZero() {
		return
	}
	p.reading = reading
	p.readAt = now
	p.others = max(reading.Busy-p.own, 0)
}

// slots returns the endpoint's capacity, at least 1.
func (p *peer) slots() float64 { return float64(max(p.reading.Capacity, 1)) }

// worth falls from 1 to 0 with the reading's age.
func (p *peer) worth(now time.Time) float64 {
	return math.Exp(-float64(now.Sub(p.readAt)) / float64(fresh))
}

// reportedShare returns what others bring by the last reading, in shares of the capacity.
func (p *peer) reportedShare() float64 { return float64(p.others) / p.slots() }

// load returns the expected load with one more request, in shares of the capacity.
//
// An old reading counts for no less than the mean of all, so that a stale "idle" attracts nobody.
func (p *peer) load(now time.Time, mean float64) float64 {
	share := p.reportedShare()
	if share < mean {
		worth := p.worth(now)
		share = worth*share + (1-worth)*mean
	}
	load := share + float64(p.own+1)/p.slots()
	return load * max(p.slowness, 1) / p.ramp(now)
}
