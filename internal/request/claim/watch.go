package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/table"
)

// Rates of the background work.
const (
	// watchInterval is the time between two looks at the watched claims.
	watchInterval = time.Second
	// maxWatched bounds the watched claims of an entry.
	maxWatched = 4096
	// sweepInterval is the time between two reads of a page for forgotten claims.
	sweepInterval = time.Minute
	// sweepPageSize is how many claims one sweep reads.
	sweepPageSize = 200
)

// watchedClaim is a claim in progress as this entry first saw it.
type watchedClaim struct {
	row       table.Row
	record    Record
	firstSeen clock.Reading
}

// watch holds the claims in progress that repeats have asked for.
type watch struct {
	mu sync.Mutex
	// claims holds at most maxWatched claims; guarded by mu.
	claims map[table.Key]watchedClaim
}

func newWatch() *watch { return &watch{claims: make(map[table.Key]watchedClaim)} }

// add keeps the first sight of each revision.
func (w *watch) add(row table.Row, record Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	old, found := w.claims[row.Key]
	if found && old.row.Revision == row.Revision || !found && len(w.claims) == maxWatched {
		return
	}
	w.claims[row.Key] = watchedClaim{row: row, record: record, firstSeen: clock.Boot()}
}

// removeExpired removes and returns the claims that stood unchanged for their whole lease, as far as this entry knows.
func (w *watch) removeExpired(now clock.Reading) []watchedClaim {
	w.mu.Lock()
	defer w.mu.Unlock()
	var expired []watchedClaim
	for key, claim := range w.claims {
		if now.Sub(claim.firstSeen) > time.Duration(claim.record.LeaseMS)*time.Millisecond {
			expired = append(expired, claim)
			delete(w.claims, key)
		}
	}
	return expired
}

// Run marks abandoned claims and forgets old ones until the context is done.
func (m *Manager) Run(ctx context.Context) {
	watchTicker := time.NewTicker(watchInterval)
	defer watchTicker.Stop()
	sweepTicker := time.NewTicker(sweepInterval)
	defer sweepTicker.Stop()
	after := table.Key(fmt.Sprintf("%s%02x", Prefix, rand.IntN(256))) //nolint:gosec // Only an even spread matters.
	for {
		select {
		case <-watchTicker.C:
			m.markAbandoned(ctx)
		case <-sweepTicker.C:
			after = m.Sweep(ctx, after)
		case <-ctx.Done():
			return
		}
	}
}

// markAbandoned gives abandoned claims the unknown outcome; a claim that has changed meanwhile is left alone.
func (m *Manager) markAbandoned(ctx context.Context) {
	for _, claim := range m.watch.removeExpired(clock.Boot()) {
		if m.config.Table.Commit(ctx, abandonTransaction(claim.row, claim.record)) == nil {
			m.record("claim_abandoned", claim.record, "the owner did not record an outcome within its lease")
		}
	}
}

// Sweep forgets the expired claims of the page after a key and returns where the next page starts.
//
// Each entry starts at a random place, so that the entries share the work without speaking of it.
func (m *Manager) Sweep(ctx context.Context, after table.Key) table.Key {
	rows, err := m.config.Table.Scan(ctx, Prefix, after, sweepPageSize)
	if err != nil {
		return after
	}
	now := m.config.Now().Unix()
	for _, row := range rows {
		record, err := decode(row.Value)
		if err != nil || record.ExpiresUnix > now {
			continue
		}
		_ = m.config.Table.Commit(ctx, table.Transaction{
			Checks: []table.Check{{Key: row.Key, Revision: row.Revision}},
			Writes: []table.Write{{Key: row.Key, Delete: true}},
		})
	}
	if len(rows) < sweepPageSize {
		return Prefix
	}
	return rows[len(rows)-1].Key
}
