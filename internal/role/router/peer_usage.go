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

// usageByPeer holds the usage counts received by gossip from peers that cannot write to the store.
type usageByPeer struct {
	mu sync.Mutex
	// tallies is by incarnation of the peer; guarded by mu.
	tallies map[ident.Incarnation]usage.InstanceCounts
}

// record stores a peer's counts unless later ones are known. Later counts include the earlier ones.
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

// evict removes counts from before the cutoff.
func (u *usageByPeer) evict(cutoff time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for incarnation, tally := range u.tallies {
		if tally.Until.Before(cutoff) {
			delete(u.tallies, incarnation)
		}
	}
}

// combine merges a peer's row in the store with the counts that the peer sent by gossip.
func (u *usageByPeer) combine(row peers.Row) usage.InstanceCounts {
	tally := usage.InstanceCounts{Counts: row.Usage, Until: time.UnixMilli(row.UsageUntilMS), Ended: row.Draining}
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

// collectUsage returns the usage counts of all router instances, and removes the rows of instances that have ended and are past
// the retention time.
func (r *Router) collectUsage(ctx context.Context) ([]usage.InstanceCounts, error) {
	rows, err := r.peers.Read(ctx)
	if err != nil {
		return nil, err
	}
	retention := usage.RetentionPeriod(r.settings.Bounds.UsageWindow)
	r.peerUsage.evict(r.peers.AgreedTime().Add(-retention))
	tallies := make([]usage.InstanceCounts, 0, len(rows))
	var removals []table.Write
	for key, row := range rows {
		if key == r.peers.Key() {
			// This instance's counts in memory are newer than its row.
			row.Usage, row.UsageUntilMS = r.counter.Counts(), r.peers.AgreedTime().UnixMilli()
		} else if r.peers.UnchangedFor(key) > retention {
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
