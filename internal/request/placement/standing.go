package placement

import (
	"time"

	"vanillapond/pkg/ident"
)

// Standing is what the board believes of a server, for whoever looks into a running entry.
type Standing struct {
	Server ident.Endpoint
	// Own is the work that this entry has sent, and All that of all entries.
	Own, All Work
	// Failures is the weighted share of this entry's requests that failed there, 0 to 1.
	Failures float64
	// Out is for how long the server gets no new work from this entry; 0 means that it does.
	Out time.Duration
	// Overdue counts this entry's requests there that got no first bytes long after they were expected.
	Overdue int
}

// Standings returns what is believed of each server that takes new work, in no order.
func (b *Board) Standings(now time.Time) []Standing {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	done := b.readSince(now)
	standings := make([]Standing, 0, len(b.members))
	for _, each := range b.members {
		all := each.remote
		all.Prefill.drain(done)
		all.add(each.own)
		standings = append(standings, Standing{
			Server: each.ID, Own: each.own, All: all, Failures: each.health.failures,
			Out: max(each.health.outUntil.Sub(now), 0), Overdue: each.overdue(now),
		})
	}
	return standings
}
