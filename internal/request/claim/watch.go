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

// Intervals and limits of the background work.
const (
	// watchInterval is the time between two checks for watched claims whose lease has ended.
	watchInterval = time.Second
	// maxWatched limits the number of claims that a process watches.
	maxWatched = 4096
	// sweepInterval is the time between two sweeps, each of which deletes the expired claims of one page.
	sweepInterval = time.Minute
	// sweepPageSize is the number of claims that one sweep reads.
	sweepPageSize = 200
)

// watchedClaim is a claim in progress as this process first read it.
type watchedClaim struct {
	row       table.Row
	record    Record
	firstSeen clock.Reading
}

// watch holds the claims in progress for which this process got a repeated request.
type watch struct {
	mu sync.Mutex
	// claims holds at most maxWatched claims; guarded by mu.
	claims map[table.Key]watchedClaim
}

func newWatch() *watch { return &watch{claims: make(map[table.Key]watchedClaim)} }

// add stores a claim with the time at which its current revision was first read.
//
// A new claim is dropped if maxWatched claims are stored.
func (w *watch) add(row table.Row, record Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	old, found := w.claims[row.Key]
	if found && old.row.Revision == row.Revision || !found && len(w.claims) == maxWatched {
		return
	}
	w.claims[row.Key] = watchedClaim{row: row, record: record, firstSeen: clock.Boot()}
}

// removeExpired removes and returns the claims whose lease has ended since they were first read.
//
// A claim may have changed since; the transaction that marks it as unknown then fails, because the row has a new revision.
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

// Run marks abandoned claims as unknown and deletes expired ones until the context is done.
func (m *Manager) Run(ctx context.Context) {
	watchTicker := time.NewTicker(watchInterval)
	defer watchTicker.Stop()
	sweepTicker := time.NewTicker(sweepInterval)
	defer sweepTicker.Stop()
	after := table.Key(fmt.Sprintf("%s%02x", Prefix, rand.IntN(256))) //nolint:gosec // Only spreads the work.
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

// markAbandoned marks abandoned claims as unknown; a claim that has changed meanwhile is left as it is.
func (m *Manager) markAbandoned(ctx context.Context) {
	for _, claim := range m.watch.removeExpired(clock.Boot()) {
		if m.config.Table.Commit(ctx, abandonTransaction(claim.row, claim.record)) == nil {
			m.record("claim_abandoned", claim.record, "the claim's owner recorded no outcome within the lease")
		}
	}
}

// Sweep deletes the expired claims of the page after a key and returns the key after which the next page starts.
//
// Run starts at a random key in each process, so that the processes share the work without coordination.
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
