package router

import (
	"context"
	"sync"
	"time"

	"vanillapond/internal/process/peers"
	"vanillapond/internal/process/table"
	"vanillapond/internal/process/usage"
	"vanillapond/pkg/ident"
)

// usageByPeer is what peers that cannot write to the store have told of their usage.
type usageByPeer struct {
	mu sync.Mutex
	// tallies are by incarnation; guarded by mu.
	tallies map[ident.Incarnation]usage.InstanceCounts
}

// record takes over what a peer tells; of two the later one holds more.
func (u *usageByPeer) record(incarnation ident.Incarnation, tally usage.InstanceCounts) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.tallies == nil {
		u.tallies = make(map[ident.Incarnation]usage.InstanceCounts)
	}
	if tally.Until.After(u.tallies[incarnation].Until) {
		u.tallies[incarnation] = tally
	}
}

// evict forgets what is older than a time.
func (u *usageByPeer) evict(cutoff time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for incarnation, tally := range u.tallies {
		if tally.Until.Before(cutoff) {
			delete(u.tallies, incarnation)
		}
	}
}

// combine returns what a row and the peer itself tell together.
func (u *usageByPeer) combine(row peers.Row) usage.InstanceCounts {
	tally := usage.InstanceCounts{Counts: row.Usage, Until: time.UnixMilli(row.UsageUntilMS), Ended: row.Leaving}
	u.mu.Lock()
	defer u.mu.Unlock()
	received, found := u.tallies[row.Incarnation]
	if !found {
		return tally
	}
	if received.Until.After(tally.Until) {
		tally.Until = received.Until
	}
	tally.Counts = tally.Counts.Merge(received.Counts)
	return tally
}

// collectUsage reads what all entries have counted, and removes rows of entries that have long ended.
func (r *Router) collectUsage(ctx context.Context) ([]usage.InstanceCounts, error) {
	rows, err := r.peers.Read(ctx)
	if err != nil {
		return nil, err
	}
	retention := usage.RetentionPeriod(r.settings.Bounds.UsageWindow)
	r.peerUsage.evict(r.peers.TrueTime().Add(-retention))
	tallies := make([]usage.InstanceCounts, 0, len(rows))
	var removals []table.Write
	for key, row := range rows {
		if key == r.peers.Key() {
			// The own counts are at hand, newer than the row.
			row.Usage, row.UsageUntilMS = r.counter.Counts(), r.peers.TrueTime().UnixMilli()
		} else if r.peers.Idle(key) > retention {
			removals = append(removals, table.Write{Key: key, Delete: true})
		}
		tallies = append(tallies, r.peerUsage.combine(row))
	}
	if len(removals) > 0 {
		if err := r.store.Commit(ctx, table.Transaction{Writes: removals}); err != nil {
			r.journal.Log("ended_entries_not_removed", "entries", len(removals), "err", err)
		}
	}
	return tallies, nil
}
