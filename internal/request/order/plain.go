package order

import (
	"slices"
	"time"

	"vanillapond/pkg/ident"
)

// Baseline is a simple policy to compare with: it knows neither targets nor floors nor customers.
type Baseline struct {
	config Config
	// byTier serves the most urgent tier first, in place of the oldest request.
	byTier  bool
	running int
	// queue holds the waiting requests in the order of service.
	queue []*Item
}

// NewFIFO returns a policy that serves the oldest request first and refuses the newest.
func NewFIFO(config Config) *Baseline { return &Baseline{config: config} }

// NewStrictPriority returns a policy that serves the most urgent tier first and refuses the newest of the least urgent.
func NewStrictPriority(config Config) *Baseline { return &Baseline{config: config, byTier: true} }

// Enqueue implements Policy.
func (p *Baseline) Enqueue(_ time.Time, item *Item) []Decision {
	at := len(p.queue)
	for p.byTier && at > 0 && p.queue[at-1].Tier > item.Tier {
		at--
	}
	p.queue = slices.Insert(p.queue, at, item)
	if len(p.queue) <= p.config.SharedCapacity {
		return nil
	}
	last := p.queue[len(p.queue)-1]
	p.queue = p.queue[:len(p.queue)-1]
	return []Decision{{Item: last, Outcome: Full}}
}

// Schedule implements Policy.
func (p *Baseline) Schedule(now time.Time) []Decision {
	var verdicts []Decision
	for p.running < p.config.Slots && len(p.queue) > 0 {
		item := p.queue[0]
		p.queue = p.queue[1:]
		p.running++
		item.started = now
		verdicts = append(verdicts, Decision{Item: item, Outcome: Started})
	}
	return verdicts
}

// Cancel implements Policy.
func (p *Baseline) Cancel(_ time.Time, item *Item) bool {
	at := slices.Index(p.queue, item)
	if at < 0 {
		return false
	}
	p.queue = slices.Delete(p.queue, at, at+1)
	return true
}

// Progress implements Policy.
func (*Baseline) Progress(*Item, ident.Tokens) {}

// Finish implements Policy.
func (p *Baseline) Finish(time.Time, *Item, ident.Tokens) { p.running-- }
