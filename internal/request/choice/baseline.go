package choice

import (
	"time"
)

// Baseline is a plain policy to compare with; it learns nothing from outcomes.
type Baseline struct {
	members []*peer
	// next is where the next round starts.
	next int
	// least takes the endpoint with the fewest own requests in place of the next one.
	least bool
}

// NewRoundRobin returns a policy that takes the endpoints in turn.
func NewRoundRobin() *Baseline { return &Baseline{} }

// NewLeastOutstanding returns a policy that takes the endpoint with the fewest requests of this entry.
func NewLeastOutstanding() *Baseline { return &Baseline{least: true} }

// Update implements Policy.
func (b *Baseline) Update(members []Member) {
	b.members = b.members[:0]
	for _, member := range members {
		b.members = append(b.members, &peer{id: member.ID})
	}
}

// Pick implements Policy.
func (b *Baseline) Pick(_ time.Time, query Query, view LoadLookup) *Attempt {
	var chosen *peer
	for offset := range b.members {
		candidate := b.members[(b.next+offset)%len(b.members)]
		if _, usable := view(candidate.id); !usable {
			continue
		}
		if chosen == nil || b.least && candidate.own < chosen.own {
			chosen = candidate
		}
	}
	if chosen == nil {
		return nil
	}
	b.next++
	chosen.own++
	return &Attempt{Endpoint: chosen.id, Rationale: Rationale{Criterion: ByTurn}, query: query, peer: chosen}
}

// Accepted implements Policy.
func (*Baseline) Accepted(time.Time, *Attempt) {}

// ResponseStarted implements Policy.
func (*Baseline) ResponseStarted(time.Time, *Attempt) {}

// Progress implements Policy.
func (*Baseline) Progress(time.Time, *Attempt, time.Duration) {}

// End implements Policy.
func (*Baseline) End(_ time.Time, attempt *Attempt, _ Result) { attempt.peer.own-- }
