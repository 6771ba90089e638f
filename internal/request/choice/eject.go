package choice

import (
	"time"

	"vanillapond/pkg/ident"
)

// Figures of ejection.
const (
	// slowFactor is how many times the pool's pace makes an endpoint slow.
	slowFactor = 3.0
	// slowSamples is how many times must be known of an endpoint.
	slowSamples = 3
	// maxRatio bounds the effect of one time.
	maxRatio = 10.0
	// slownessKeep is the share of the old mean that one more sample leaves.
	slownessKeep = 0.7
	// maxFailures is how many failures in a row eject an endpoint.
	maxFailures = 3
	// ejectedShare bounds the ejected part of the subset.
	ejectedShare = 0.3
	// Ejections last from ejectionBase, doubled by each one, to ejectionMax.
	ejectionBase = 2 * time.Second
	ejectionMax  = 30 * time.Second
	// rampTime is how long an endpoint takes from its return to its full share.
	rampTime = 5 * time.Second
	// rampStart is its share at the return.
	rampStart = 0.1
)

// measure tells apart what is timed.
type measure int

// What is timed.
const (
	firstPart measure = iota
	betweenParts
)

// pace names the pool's usual time of a class.
type pace struct {
	class   ident.Class
	measure measure
}

// median follows the median of samples, in steps that don't depend on their size.
type median struct {
	value   float64
	samples int
}

// Steps of a median.
const (
	medianStep      = 1.05
	medianFirstStep = 1.3
	medianFirst     = 16
)

func (m *median) observe(sample float64) {
	if m.samples == 0 {
		m.value = sample
	}
	step := medianStep
	if m.samples < medianFirst {
		step = medianFirstStep
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
func (c *Picker) Accepted(now time.Time, attempt *Attempt) {
	attempt.accepted = now
	if attempt.query.Streamed {
		attempt.element = attempt.peer.accepted.PushBack(attempt)
	}
}

// ResponseStarted implements Policy.
func (c *Picker) ResponseStarted(now time.Time, attempt *Attempt) {
	if attempt.answered || attempt.accepted.IsZero() || !attempt.query.Streamed {
		return
	}
	attempt.answered = true
	attempt.land()
	c.time(attempt.peer, pace{attempt.query.Class, firstPart}, now.Sub(attempt.accepted))
}

// Progress implements Policy.
func (c *Picker) Progress(_ time.Time, attempt *Attempt, between time.Duration) {
	if attempt.query.Streamed {
		c.time(attempt.peer, pace{attempt.query.Class, betweenParts}, between)
	}
}

// End implements Policy.
func (c *Picker) End(_ time.Time, attempt *Attempt, result Result) {
	attempt.land()
	attempt.peer.own--
	switch result {
	case Succeeded:
		attempt.peer.failures = 0
	case Failed:
		attempt.peer.failures++
	default:
	}
}

// land takes the attempt out of those that wait for an answer.
func (f *Attempt) land() {
	if f.element != nil {
		f.peer.accepted.Remove(f.element)
		f.element = nil
	}
}

// time compares a time with those of the pool.
func (c *Picker) time(peer *peer, name pace, took time.Duration) {
	usual := c.paces[name]
	if usual == nil {
		usual = new(median)
		c.paces[name] = usual
	}
	sample := max(took.Seconds(), time.Millisecond.Seconds())
	usual.observe(sample)
	peer.compare(sample / usual.value)
}

func (p *peer) compare(ratio float64) {
	p.slowness = p.slowness*slownessKeep + min(ratio, maxRatio)*(1-slownessKeep)
	p.samples++
}

// judge ejects what fails or is slow, within the bound.
func (c *Picker) judge(now time.Time) {
	out := 0
	for _, peer := range c.subset {
		if peer.out(now) {
			out++
		}
	}
	bound := max(int(ejectedShare*float64(len(c.subset))), 1)
	for _, peer := range c.subset {
		c.overdue(now, peer)
		if peer.out(now) || !peer.bad() {
			continue
		}
		if out >= bound || len(c.subset) < 2 {
			return
		}
		peer.eject(now)
		out++
	}
}

// overdue counts a running request that is already far behind as a slow one, once.
func (c *Picker) overdue(now time.Time, peer *peer) {
	oldest := peer.accepted.Front()
	if oldest == nil {
		return
	}
	attempt, _ := oldest.Value.(*Attempt)
	usual := c.paces[pace{attempt.query.Class, firstPart}]
	if usual == nil || usual.samples < medianFirst {
		return
	}
	ratio := now.Sub(attempt.accepted).Seconds() / usual.value
	if ratio <= slowFactor*2 {
		return
	}
	attempt.answered = true
	attempt.land()
	peer.compare(ratio)
}

func (p *peer) bad() bool {
	return p.failures >= maxFailures || p.samples >= slowSamples && p.slowness > slowFactor
}

// out reports whether the endpoint is ejected.
func (p *peer) out(now time.Time) bool { return now.Before(p.ejectedUntil) }

func (p *peer) eject(now time.Time) {
	if now.Sub(p.ejectedUntil) > ejectionMax {
		p.ejections = 0
	}
	p.ejectedUntil = now.Add(min(ejectionBase<<min(p.ejections, 8), ejectionMax))
	p.ejections++
	p.failures = min(p.failures, maxFailures-1)
	p.slowness = 1
	p.samples = 0
}

// ramp returns the share of its usual load that the endpoint gets after an ejection.
func (p *peer) ramp(now time.Time) float64 {
	if p.ejectedUntil.IsZero() {
		return 1
	}
	since := float64(now.Sub(p.ejectedUntil)) / float64(rampTime)
	return min(max(since, rampStart), 1)
}
