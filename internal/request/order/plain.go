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
func (b *Baseline) Enqueue(_ time.Time, item *Item) []Decision {
	at := len(b.queue)
	for b.byTier && at > 0 && b.queue[at-1].Tier > item.Tier {
		at--
	}
	b.queue = slices.Insert(b.queue, at, item)
	if len(b.queue) <= b.config.SharedCapacity {
		return nil
	}
	last := b.queue[len(b.queue)-1]
	b.queue = b.queue[:len(b.queue)-1]
	return []Decision{{Item: last, Outcome: Full}}
}

// Schedule implements Policy.
func (b *Baseline) Schedule(now time.Time) []Decision {
	var decisions []Decision
	for b.running < b.config.Slots && len(b.queue) > 0 {
		item := b.queue[0]
		b.queue = b.queue[1:]
		b.running++
		item.startedAt = now
		decisions = append(decisions, Decision{Item: item, Outcome: Started})
	}
	return decisions
}

// Cancel implements Policy.
func (b *Baseline) Cancel(_ time.Time, item *Item) bool {
	at := slices.Index(b.queue, item)
	if at < 0 {
		return false
	}
	b.queue = slices.Delete(b.queue, at, at+1)
	return true
}

// Progress implements Policy.
func (*Baseline) Progress(*Item, ident.Tokens) {}

// Finish implements Policy.
func (b *Baseline) Finish(time.Time, *Item, ident.Tokens) { b.running-- }
