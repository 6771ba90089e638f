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

// told is what peers that cannot write to the store have told of their usage.
type told struct {
	mu sync.Mutex
	// tallies are by incarnation; guarded by mu.
	tallies map[ident.Incarnation]usage.InstanceCounts
}

// hear takes over what a peer tells; of two the later one holds more.
func (t *told) hear(from ident.Incarnation, tally usage.InstanceCounts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.tallies == nil {
		t.tallies = make(map[ident.Incarnation]usage.InstanceCounts)
	}
	if tally.Until.After(t.tallies[from].Until) {
		t.tallies[from] = tally
	}
}

// trim forgets what is older than a time.
func (t *told) trim(before time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for incarnation, tally := range t.tallies {
		if tally.Until.Before(before) {
			delete(t.tallies, incarnation)
		}
	}
}

// merge returns what a row and the peer itself tell together.
func (t *told) merge(row peers.Row) usage.InstanceCounts {
	tally := usage.InstanceCounts{Counts: row.Usage, Until: time.UnixMilli(row.UsageUntilMS), Ended: row.Draining}
	t.mu.Lock()
	defer t.mu.Unlock()
	heard, found := t.tallies[row.Incarnation]
	if !found {
		return tally
	}
	if heard.Until.After(tally.Until) {
		tally.Until = heard.Until
	}
	tally.Counts = tally.Counts.Merge(heard.Counts)
	return tally
}

// gatherUsage reads what all entries have counted, and removes rows of entries that have long ended.
func (r *Router) gatherUsage(ctx context.Context) ([]usage.InstanceCounts, error) {
	rows, err := r.peers.Read(ctx)
	if err != nil {
		return nil, err
	}
	kept := usage.RetentionPeriod(r.settings.Bounds.UsageWindow)
	r.told.trim(r.peers.AgreedTime().Add(-kept))
	tallies := make([]usage.InstanceCounts, 0, len(rows))
	var ended []table.Write
	for key, row := range rows {
		if key == r.peers.Key() {
			// The own counts are at hand, newer than the row.
			row.Usage, row.UsageUntilMS = r.counter.Counts(), r.peers.AgreedTime().UnixMilli()
		} else if r.peers.UnchangedFor(key) > kept {
			ended = append(ended, table.Write{Key: key, Delete: true})
		}
		tallies = append(tallies, r.told.merge(row))
	}
	if len(ended) > 0 {
		if err := r.store.Commit(ctx, table.Transaction{Writes: ended}); err != nil {
			r.journal.Log("ended_entries_not_removed", "entries", len(ended), "err", err)
		}
	}
	return tallies, nil
}
