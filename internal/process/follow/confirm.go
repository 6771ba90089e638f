package follow

import (
	"context"
	"sync"
	"time"

	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/table"
)

// ConfirmerConfig configures a Confirmer.
type ConfirmerConfig struct {
	Feed table.Feed
	// Table is the first part of the keys of the table.
	Table string
	// Interval returns the least time between two calls to the feed; nil means none.
	Interval func() time.Duration
	// Now reads the clock; nil means clock.Boot.
	Now func() clock.Reading
}

// Confirmer tells since when a followed copy of a table is known to be current. It asks the feed once for all that wait for an answer.
//
// A response tells the state of the table at some time after the call was sent. When it is read says nothing: the process may have stood still, or the
// link may have been cut, in between.
type Confirmer struct {
	config ConfirmerConfig
	// wake has an entry while a call may have to be made.
	wake chan struct{}
	mu   sync.Mutex
	// revision is that of the copy, 0 before the first update; guarded by mu.
	revision table.Revision
	// asOf is the latest time as of which the copy is known to be current; guarded by mu.
	asOf clock.Reading
	// ahead is the revision of changes that the copy has not got yet, and aheadAsOf the time as of which it is current with them; guarded by mu.
	ahead     table.Revision
	aheadAsOf clock.Reading
	// waiting holds the times that wait to be confirmed; guarded by mu.
	waiting map[*confirmation]struct{}
}

// confirmation waits until the copy is known to be current as of a time.
type confirmation struct {
	at   clock.Reading
	done chan struct{}
}

// NewConfirmer returns a confirmer of a copy that has not got any update.
func NewConfirmer(config ConfirmerConfig) *Confirmer {
	if config.Now == nil {
		config.Now = clock.Boot
	}
	if config.Interval == nil {
		config.Interval = func() time.Duration { return 0 }
	}
	return &Confirmer{config: config, wake: make(chan struct{}, 1), waiting: make(map[*confirmation]struct{})}
}

// Applied records that the copy has got an update.
func (c *Confirmer) Applied(update Update) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision = update.Revision
	c.advance(update.CurrentAsOf)
	if c.ahead != 0 && c.revision >= c.ahead {
		c.ahead = 0
		c.advance(c.aheadAsOf)
	}
}

// AsOf returns the latest time as of which the copy is known to be current, 0 before the first update.
func (c *Confirmer) AsOf() clock.Reading {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.asOf
}

// advance records as of when the copy is current; the caller holds mu.
func (c *Confirmer) advance(asOf clock.Reading) {
	c.asOf = max(c.asOf, asOf)
	for each := range c.waiting {
		if each.at <= c.asOf {
			delete(c.waiting, each)
			close(each.done)
		}
	}
}

// Confirm returns a channel that is closed once the copy is known to be current as of a time; it asks the feed until the context is done.
func (c *Confirmer) Confirm(ctx context.Context, at clock.Reading) <-chan struct{} {
	wanted := &confirmation{at: at, done: make(chan struct{})}
	c.mu.Lock()
	c.waiting[wanted] = struct{}{}
	c.advance(c.asOf)
	c.mu.Unlock()
	context.AfterFunc(ctx, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.waiting, wanted)
	})
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return wanted.done
}

// Run asks the feed while times wait to be confirmed, until the context is done.
func (c *Confirmer) Run(ctx context.Context) {
	for {
		select {
		case <-c.wake:
		case <-ctx.Done():
			return
		}
		for ctx.Err() == nil && c.isAwaited() {
			delay := c.config.Interval()
			if !c.ask(ctx) {
				delay = max(delay, minRetryDelay)
			}
			clock.Sleep(ctx, delay, nil)
		}
	}
}

// isAwaited reports whether a time waits to be confirmed that a call can confirm.
func (c *Confirmer) isAwaited() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision != 0 && len(c.waiting) > 0
}

// ask makes one call, and reports whether the feed responded.
func (c *Confirmer) ask(ctx context.Context) bool {
	c.mu.Lock()
	revision := c.revision
	c.mu.Unlock()
	sent := c.config.Now()
	batch, err := c.config.Feed.Changes(ctx, c.config.Table, revision, shortPollTimeout)
	if err != nil {
		return false
	}
	var last table.Revision
	for _, change := range batch.Changes {
		last = max(last, change.Revision)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if last <= c.revision {
		c.advance(sent)
	} else {
		// The copy gets these changes from its own call.
		c.ahead, c.aheadAsOf = last, sent
	}
	return true
}
