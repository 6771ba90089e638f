package choice

import (
	"time"

	"vanillapond/pkg/ident"
)

// Figures of ejection.
const (
	// slowFactor is how many times the pool's pace makes an endpoint slow.
	slowFactor = 3.0
	// minLatencySamples is how many times must be known of an endpoint.
	minLatencySamples = 3
	// maxLatencyRatio bounds the effect of one time.
	maxLatencyRatio = 10.0
	// latencyDecay is the share of the old mean that one more sample leaves.
	latencyDecay = 0.7
	// maxFailures is how many failures in a row eject an endpoint.
	maxFailures = 3
	// maxEjectedFraction bounds the ejected part of the subset.
	maxEjectedFraction = 0.3
	// Ejections last from ejectionBase, doubled by each one, to ejectionMax.
	ejectionBase = 2 * time.Second
	ejectionMax  = 30 * time.Second
	// rampTime is how long an endpoint takes from its return to its full share.
	rampTime = 5 * time.Second
	// initialRampFraction is its share at the return.
	initialRampFraction = 0.1
)

// latencyKind tells apart what is timed.
type latencyKind int

// What is timed.
const (
	timeToFirstChunk latencyKind = iota
	interChunkTime
)

// latencyKey names the pool's usual time of a class.
type latencyKey struct {
	class ident.Class
	kind  latencyKind
}

// median follows the median of samples, in steps that don't depend on their size.
type median struct {
	value   float64
	samples int
}

// Steps of a median.
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

// removePending takes the attempt out of those that wait for an answer.
func (a *Attempt) removePending() {
	if a.pendingElement != nil {
		a.state.pending.Remove(a.pendingElement)
		a.pendingElement = nil
	}
}

// recordLatency compares a time with those of the pool.
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

// ejectOutliers ejects what fails or is slow, within the bound.
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

// recordOverdue counts a running request that is already far behind as a slow one, once.
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

// isEjected reports whether the endpoint is ejected.
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

// rampFraction returns the share of its usual load that the endpoint gets after an ejection.
func (e *endpointState) rampFraction(now time.Time) float64 {
	if e.ejectedUntil.IsZero() {
		return 1
	}
	fraction := float64(now.Sub(e.ejectedUntil)) / float64(rampTime)
	return min(max(fraction, initialRampFraction), 1)
}
