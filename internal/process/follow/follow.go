// Package follow keeps a copy of a table up to date: it lists the table once and then long-polls for changes.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/table"
)

// Retry delays after failed calls: short at first, so that the copy is current again soon after a short outage of the store, then
// longer.
const (
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
)

// shortPollTimeout is the timeout of the first long poll after a failed call. Its response shows at once that the copy is
// current; a long poll without changes would leave the copy stale until the timeout.
const shortPollTimeout = time.Millisecond

// Update is the result of one call to the feed.
type Update struct {
	table.Batch
	// Snapshot says that Changes are all present rows, so that a missing row was deleted.
	Snapshot bool
	// CurrentAsOf is the time when the call was sent, or a later time for which the feed confirms the data (Batch.AsOf). The data is
	// at least as new as the state of the table at that time.
	CurrentAsOf clock.Reading
}

// Config describes the table to follow and how.
type Config struct {
	Feed table.Feed
	// Table is the first part of the keys of the table.
	Table string
	// PollTimeout is how long a call waits for changes.
	PollTimeout time.Duration
	// BatchDelay is the delay before the next call after changes were received, so that the changes of a burst are fetched together;
	// 0 means none.
	BatchDelay time.Duration
	// Apply receives the updates; it is called by one goroutine, in the order of the table's history.
	Apply func(Update)
	// OnError receives the error of each failed call; nil means that the errors are ignored.
	OnError func(error)
	// Recovered returns a channel that is closed when the store responds to other calls again, which ends the retry delay after a
	// failed call; nil means that the delay always runs to its end.
	Recovered func() <-chan struct{}
	// Now reads the clock; nil means clock.Boot.
	Now func() clock.Reading
}

// Run follows the table until the context is done.
func Run(ctx context.Context, config Config) {
	if config.Now == nil {
		config.Now = clock.Boot
	}
	if config.OnError == nil {
		config.OnError = func(error) {}
	}
	if config.Recovered == nil {
		config.Recovered = func() <-chan struct{} { return nil }
	}
	follower := follower{config: config}
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		recovered := config.Recovered()
		changed, err := follower.step(ctx)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			config.OnError(err)
			sleep(ctx, retryDelay, recovered)
			retryDelay = min(2*retryDelay, maxRetryDelay)
			continue
		}
		retryDelay = minRetryDelay
		if changed && config.BatchDelay > 0 {
			sleep(ctx, config.BatchDelay, nil)
		}
	}
}

// follower is the position of one copy in the table's history.
type follower struct {
	config Config
	// revision is the table revision of the copy; meaningful only if listed is set.
	revision table.Revision
	listed   bool
	failed   bool
}

// step makes one call, applies its update and reports whether the update contains changes.
func (f *follower) step(ctx context.Context) (bool, error) {
	update := Update{Snapshot: !f.listed, CurrentAsOf: f.config.Now()}
	pollTimeout := f.config.PollTimeout
	if f.failed {
		pollTimeout = shortPollTimeout
	}
	var err error
	if f.listed {
		update.Batch, err = f.config.Feed.Changes(ctx, f.config.Table, f.revision, pollTimeout)
	} else {
		update.Batch, err = f.config.Feed.List(ctx, f.config.Table)
	}
	f.failed = err != nil
	if err != nil {
		if errors.Is(err, table.ErrHistoryUnavailable) {
			f.listed = false
		}
		return false, err
	}
	f.revision, f.listed = update.Revision, true
	update.CurrentAsOf = max(update.CurrentAsOf, update.AsOf)
	f.config.Apply(update)
	return len(update.Changes) > 0, nil
}

// sleep waits for about the given time, or until the channel is closed. The random spread keeps processes from calling the store at
// the same moment.
func sleep(ctx context.Context, wait time.Duration, interrupt <-chan struct{}) {
	clock.Sleep(ctx, wait/2+rand.N(wait), interrupt) //nolint:gosec // Spreads load; needs no secure randomness.
}
