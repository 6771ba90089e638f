package waiting

import (
	"math"
	"time"
)

// paceWindow is the time constant with which events are forgotten. At 20 events a second, the rate is then known to about 16%.
const paceWindow = 2 * time.Second

// pace measures how often something happens. The zero value has seen nothing.
type pace struct {
	// count is the exponentially decaying number of events after the first, decayed up to countedAt.
	count            float64
	since, countedAt time.Time
}

func (p *pace) observe(now time.Time) {
	if p.since.IsZero() {
		p.since, p.countedAt = now, now
		return
	}
	p.count = p.count*decay(now.Sub(p.countedAt)) + 1
	p.countedAt = now
}

// interval returns the mean time between two events, 0 if it is not known.
func (p *pace) interval(now time.Time) time.Duration {
	count := p.count * decay(now.Sub(p.countedAt))
	if count <= 0 {
		return 0
	}
	observed := float64(paceWindow) * (1 - decay(now.Sub(p.since)))
	return time.Duration(min(observed/count, float64(paceWindow)))
}

func decay(elapsed time.Duration) float64 {
	return math.Exp(-float64(max(elapsed, 0)) / float64(paceWindow))
}
