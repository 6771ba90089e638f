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
	// byIncarnation holds the latest counts, by incarnation of the peer; guarded by mu.
	byIncarnation map[ident.Incarnation]usage.InstanceCounts
}

// record stores a peer's counts unless later ones are stored. Later counts include the earlier ones.
func (u *usageByPeer) record(incarnation ident.Incarnation, counts usage.InstanceCounts) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.byIncarnation == nil {
		u.byIncarnation = make(map[ident.Incarnation]usage.InstanceCounts)
	}
	if counts.Until.After(u.byIncarnation[incarnation].Until) {
		u.byIncarnation[incarnation] = counts
	}
}

// evict removes counts from before the cutoff.
func (u *usageByPeer) evict(cutoff time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for incarnation, counts := range u.byIncarnation {
		if counts.Until.Before(cutoff) {
			delete(u.byIncarnation, incarnation)
		}
	}
}

// combine merges a peer's row in the store with the counts that the peer sent by gossip.
func (u *usageByPeer) combine(row peers.Row) usage.InstanceCounts {
	counts := usage.InstanceCounts{Counts: row.Usage, Until: time.UnixMilli(row.UsageUntilMS), Ended: row.Draining}
	u.mu.Lock()
	defer u.mu.Unlock()
	received, found := u.byIncarnation[row.Incarnation]
	if !found {
		return counts
	}
	if received.Until.After(counts.Until) {
		counts.Until = received.Until
	}
	counts.Counts = counts.Counts.Merge(received.Counts)
	return counts
}

// collectUsage returns the usage counts of all router instances, and removes the rows that have not changed for longer than the
// retention period, because their instances have ended.
func (r *Router) collectUsage(ctx context.Context) ([]usage.InstanceCounts, error) {
	rows, err := r.peers.Read(ctx)
	if err != nil {
		return nil, err
	}
	retention := usage.RetentionPeriod(r.settings.Bounds.UsageWindow)
	r.peerUsage.evict(r.peers.AgreedTime().Add(-retention))
	counts := make([]usage.InstanceCounts, 0, len(rows))
	var ended []table.Key
	for key, row := range rows {
		if key == r.peers.Key() {
			// This instance's counts in memory are newer than its row.
			row.Usage, row.UsageUntilMS = r.counter.Counts(), r.peers.AgreedTime().UnixMilli()
		} else if r.peers.UnchangedFor(key) > retention {
			ended = append(ended, key)
		}
		counts = append(counts, r.peerUsage.combine(row))
	}
	if err := r.peers.Remove(ctx, ended); err != nil {
		r.journal.Log("ended_entries_not_removed", "entries", len(ended), "err", err)
	}
	return counts, nil
}
