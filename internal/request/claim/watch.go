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
	// sweepPage is how many claims one sweep reads.
	sweepPage = 200
)

// watched is a claim in progress as this entry first saw it.
type watched struct {
	row    table.Row
	record Record
	seen   clock.Reading
}

// watch holds the claims in progress that repeats have asked for.
type watch struct {
	mu sync.Mutex
	// claims holds at most maxWatched claims; guarded by mu.
	claims map[table.Key]watched
}

func newWatch() *watch { return &watch{claims: make(map[table.Key]watched)} }

// add keeps the first sight of each revision.
func (w *watch) add(row table.Row, record Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	old, found := w.claims[row.Key]
	if found && old.row.Revision == row.Revision || !found && len(w.claims) == maxWatched {
		return
	}
	w.claims[row.Key] = watched{row: row, record: record, seen: clock.Boot()}
}

// due removes and returns the claims that stood unchanged for their whole lease, as far as this entry knows.
func (w *watch) due(now clock.Reading) []watched {
	w.mu.Lock()
	defer w.mu.Unlock()
	var due []watched
	for key, claim := range w.claims {
		if now.Sub(claim.seen) > time.Duration(claim.record.LeaseMS)*time.Millisecond {
			due = append(due, claim)
			delete(w.claims, key)
		}
	}
	return due
}

// Run marks abandoned claims and forgets old ones until the context is done.
func (c *Manager) Run(ctx context.Context) {
	watching := time.NewTicker(watchInterval)
	defer watching.Stop()
	sweeping := time.NewTicker(sweepInterval)
	defer sweeping.Stop()
	after := table.Key(fmt.Sprintf("%s%02x", Prefix, rand.IntN(256))) //nolint:gosec // Only an even spread matters.
	for {
		select {
		case <-watching.C:
			c.mark(ctx)
		case <-sweeping.C:
			after = c.Sweep(ctx, after)
		case <-ctx.Done():
			return
		}
	}
}

// mark gives abandoned claims the unknown outcome; a claim that has changed meanwhile is left alone.
func (c *Manager) mark(ctx context.Context) {
	for _, claim := range c.watch.due(clock.Boot()) {
		if c.config.Table.Commit(ctx, abandoned(claim.row, claim.record)) == nil {
			c.record("claim_abandoned", claim.record, "the owner did not record an outcome within its lease")
		}
	}
}

// Sweep forgets the expired claims of the page after a key and returns where the next page starts.
//
// Each entry starts at a random place, so that the entries share the work without speaking of it.
func (c *Manager) Sweep(ctx context.Context, after table.Key) table.Key {
	rows, err := c.config.Table.Scan(ctx, Prefix, after, sweepPage)
	if err != nil {
		return after
	}
	now := c.config.Now().Unix()
	for _, row := range rows {
		record, err := decode(row.Value)
		if err != nil || record.ExpiresUnix > now {
			continue
		}
		_ = c.config.Table.Commit(ctx, table.Transaction{
			Checks: []table.Check{{Key: row.Key, Revision: row.Revision}},
			Writes: []table.Write{{Key: row.Key, Delete: true}},
		})
	}
	if len(rows) < sweepPage {
		return Prefix
	}
	return rows[len(rows)-1].Key
}
