// Package follow keeps a copy of a table by listing it once and then asking for what has changed.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/table"
)

// Waits after failed calls: short at first, because a store that was away is wanted back at once, then longer.
const (
	firstRetry = 100 * time.Millisecond
	lastRetry  = time.Second
)

// shortWait is the wait of the first question after a failed one: it shows at once how the table stands, where a long one would
// leave what is known to grow older.
const shortWait = time.Millisecond

// Update is what a call brought.
type Update struct {
	table.Batch
	// Snapshot says that Changes are all present rows, so that a row that is missing was deleted.
	Snapshot bool
	// CurrentAsOf is when the call was sent, or a later time at which the state surely was as told: what it brought is at least as
	// new as that.
	CurrentAsOf clock.Reading
}

// Config says which table is followed.
type Config struct {
	Feed table.Feed
	// Table is the first part of the keys.
	Table string
	// PollTimeout is how long a call waits for changes.
	PollTimeout time.Duration
	// BatchDelay is how long changes are gathered after some came, where they come many at a time; 0 asks again at once.
	BatchDelay time.Duration
	// Apply takes the news; it is called by one goroutine, in the order of the table's history.
	Apply func(Update)
	// OnError is told of each failed call; nil means that nobody is.
	OnError func(error)
	// Recovered returns a channel that is closed when the store answers other calls again, which ends the wait after a failed
	// one; nil means that nothing does.
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
	retry := firstRetry
	for ctx.Err() == nil {
		regained := config.Recovered()
		changed, err := follower.step(ctx)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			config.OnError(err)
			pause(ctx, retry, regained)
			retry = min(2*retry, lastRetry)
			continue
		}
		retry = firstRetry
		if changed && config.BatchDelay > 0 {
			pause(ctx, config.BatchDelay, nil)
		}
	}
}

// follower is one copy's place in the table's history.
type follower struct {
	config Config
	// revision is where the copy stands; meaningful only if listed.
	revision table.Revision
	listed   bool
	// failed says that the last call failed.
	failed bool
}

// step makes one call, applies what it brought and reports whether that was anything.
func (f *follower) step(ctx context.Context) (bool, error) {
	news := Update{Snapshot: !f.listed, CurrentAsOf: f.config.Now()}
	wait := f.config.PollTimeout
	if f.failed {
		wait = shortWait
	}
	var err error
	if f.listed {
		news.Batch, err = f.config.Feed.Changes(ctx, f.config.Table, f.revision, wait)
	} else {
		news.Batch, err = f.config.Feed.List(ctx, f.config.Table)
	}
	f.failed = err != nil
	if err != nil {
		if errors.Is(err, table.ErrHistoryUnavailable) {
			f.listed = false
		}
		return false, err
	}
	f.revision, f.listed = news.Revision, true
	news.CurrentAsOf = max(news.CurrentAsOf, news.AsOf)
	f.config.Apply(news)
	return len(news.Changes) > 0, nil
}

// pause waits for about the given time, spread so that processes do not come back in step, or until the channel is closed.
func pause(ctx context.Context, wait time.Duration, early <-chan struct{}) {
	clock.Sleep(ctx, wait/2+rand.N(wait), early) //nolint:gosec // Spreads load only.
}
