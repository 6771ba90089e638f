package order

import (
	"slices"
	"time"

	"vanillapond/pkg/ident"
)

// Baseline is a reference policy for comparisons: it ignores start deadlines, floors and customers.
type Baseline struct {
	config Config
	// byTier makes the highest tier be served first; otherwise requests are served in order of arrival.
	byTier  bool
	running int
	// queue holds the waiting requests in the order of service.
	queue []*Item
}

// NewFIFO returns a policy that serves the oldest request first and rejects the newest one when the queue is full.
func NewFIFO(config Config) *Baseline { return &Baseline{config: config} }

// NewStrictPriority returns a policy that serves the highest tier first.
//
// When the queue is full, it rejects the newest request of the lowest tier.
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
