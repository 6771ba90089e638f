package choice

import (
	"time"

	"vanillapond/pkg/ident"
)

// Parameters of outlier ejection.
const (
	// slowFactor is the ratio to the pool's typical latency above which an endpoint counts as slow.
	slowFactor = 3.0
	// minLatencySamples is the number of latency samples needed before an endpoint can count as slow.
	minLatencySamples = 3
	// maxLatencyRatio caps the effect of a single sample.
	maxLatencyRatio = 10.0
	// latencyDecay is the weight of the previous mean when a sample is added.
	latencyDecay = 0.7
	// maxFailures is the number of consecutive failures after which an endpoint is ejected.
	maxFailures = 3
	// maxEjectedFraction is the largest fraction of the subset that may be ejected at a time.
	maxEjectedFraction = 0.3
	// The first ejection lasts ejectionBase; each further one lasts twice as long, up to ejectionMax.
	ejectionBase = 2 * time.Second
	ejectionMax  = 30 * time.Second
	// rampTime is how long a readmitted endpoint takes to return to its full load.
	rampTime = 5 * time.Second
	// initialRampFraction is the fraction of its usual load that an endpoint receives directly after readmission.
	initialRampFraction = 0.1
)

// latencyKind identifies what a latency measures.
type latencyKind int

// Kinds of latency.
const (
	timeToFirstChunk latencyKind = iota
	interChunkTime
)

// latencyKey identifies a typical latency of the pool: one for each class and kind.
type latencyKey struct {
	class ident.Class
	kind  latencyKind
}

// median is a running estimate of the median.
//
// The value moves by at most a fixed factor per sample, however far off the sample is, so that outliers have little effect.
type median struct {
	value   float64
	samples int
}

// Factors by which a median moves for one sample. The first medianWarmupSamples samples use the larger factor.
const (
	medianStep          = 1.05
	medianWarmupStep    = 1.3
	medianWarmupSamples = 16
)

func (m *median) observe(sample float64) {
	if m.samples == 0 {
		m.value = sample
	}
	step := medianStep
	if m.samples < medianWarmupSamples {
		step = medianWarmupStep
	}
	m.samples++
	switch {
	case sample > m.value:
		m.value = min(m.value*step, sample)
	case sample < m.value:
		m.value = max(m.value/step, sample)
	}
}

// Accepted implements Policy.
func (p *Picker) Accepted(now time.Time, attempt *Attempt) {
	attempt.acceptedAt = now
	if attempt.query.Streamed {
		attempt.pendingElement = attempt.state.pending.PushBack(attempt)
	}
}

// ResponseStarted implements Policy.
func (p *Picker) ResponseStarted(now time.Time, attempt *Attempt) {
	if attempt.firstChunkRecorded || attempt.acceptedAt.IsZero() || !attempt.query.Streamed {
		return
	}
	attempt.firstChunkRecorded = true
	attempt.removePending()
	p.recordLatency(attempt.state, latencyKey{attempt.query.Class, timeToFirstChunk}, now.Sub(attempt.acceptedAt))
}

// Progress implements Policy.
func (p *Picker) Progress(_ time.Time, attempt *Attempt, interval time.Duration) {
	if attempt.query.Streamed {
		p.recordLatency(attempt.state, latencyKey{attempt.query.Class, interChunkTime}, interval)
	}
}

// End implements Policy.
func (p *Picker) End(_ time.Time, attempt *Attempt, result Result) {
	attempt.removePending()
	attempt.state.ownRequests--
	switch result {
	case Succeeded:
		attempt.state.consecutiveFailures = 0
	case Failed:
		attempt.state.consecutiveFailures++
	default:
	}
}

// removePending removes the attempt from the list of attempts without a response.
func (a *Attempt) removePending() {
	if a.pendingElement != nil {
		a.state.pending.Remove(a.pendingElement)
		a.pendingElement = nil
	}
}

// recordLatency updates the pool's typical latency and compares the endpoint's latency with it.
func (p *Picker) recordLatency(endpoint *endpointState, key latencyKey, latency time.Duration) {
	typical := p.typicalLatencies[key]
	if typical == nil {
		typical = new(median)
		p.typicalLatencies[key] = typical
	}
	sample := max(latency.Seconds(), time.Millisecond.Seconds())
	typical.observe(sample)
	endpoint.recordRatio(sample / typical.value)
}

func (e *endpointState) recordRatio(ratio float64) {
	e.relativeLatency = e.relativeLatency*latencyDecay + min(ratio, maxLatencyRatio)*(1-latencyDecay)
	e.latencySamples++
}

// ejectOutliers ejects endpoints that fail or are slow, up to the maximum fraction.
func (p *Picker) ejectOutliers(now time.Time) {
	ejected := 0
	for _, endpoint := range p.subset {
		if endpoint.isEjected(now) {
			ejected++
		}
	}
	maxEjected := max(int(maxEjectedFraction*float64(len(p.subset))), 1)
	for _, endpoint := range p.subset {
		p.recordOverdue(now, endpoint)
		if endpoint.isEjected(now) || !endpoint.isOutlier() {
			continue
		}
		if ejected >= maxEjected || len(p.subset) < 2 {
			return
		}
		endpoint.eject(now)
		ejected++
	}
}

// recordOverdue records the oldest attempt without a response as slow if it is already far above the typical latency.
//
// Each attempt is recorded only once.
func (p *Picker) recordOverdue(now time.Time, endpoint *endpointState) {
	oldest := endpoint.pending.Front()
	if oldest == nil {
		return
	}
	attempt, _ := oldest.Value.(*Attempt)
	typical := p.typicalLatencies[latencyKey{attempt.query.Class, timeToFirstChunk}]
	if typical == nil || typical.samples < medianWarmupSamples {
		return
	}
	ratio := now.Sub(attempt.acceptedAt).Seconds() / typical.value
	if ratio <= slowFactor*2 {
		return
	}
	attempt.firstChunkRecorded = true
	attempt.removePending()
	endpoint.recordRatio(ratio)
}

func (e *endpointState) isOutlier() bool {
	return e.consecutiveFailures >= maxFailures || e.latencySamples >= minLatencySamples && e.relativeLatency > slowFactor
}

// isEjected reports whether the endpoint is ejected at the given time.
func (e *endpointState) isEjected(now time.Time) bool { return now.Before(e.ejectedUntil) }

func (e *endpointState) eject(now time.Time) {
	if now.Sub(e.ejectedUntil) > ejectionMax {
		e.ejections = 0
	}
	e.ejectedUntil = now.Add(min(ejectionBase<<min(e.ejections, 8), ejectionMax))
	e.ejections++
	e.consecutiveFailures = min(e.consecutiveFailures, maxFailures-1)
	e.relativeLatency = 1
	e.latencySamples = 0
}

// rampFraction returns the fraction of its usual load that the endpoint receives, which grows over rampTime after an ejection.
func (e *endpointState) rampFraction(now time.Time) float64 {
	if e.ejectedUntil.IsZero() {
		return 1
	}
	fraction := float64(now.Sub(e.ejectedUntil)) / float64(rampTime)
	return min(max(fraction, initialRampFraction), 1)
}
