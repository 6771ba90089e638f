package routes

import (
	"sync"
	"sync/atomic"
	"time"

	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/table"
	"vanillapond/pkg/ident"
	"vanillapond/platform"
)

// Current is the newest version that a process knows, and how fresh that knowledge is.
type Current struct {
	table atomic.Pointer[Table]
	mu    sync.Mutex
	// confirmed is the latest time at which the version was surely the newest; guarded by mu.
	confirmed clock.Reading
	// revision is the newest state of the store that confirmed anything; guarded by mu.
	revision table.Revision
}

// Table returns the newest version, or nil where none is known.
func (c *Current) Table() *Table { return c.table.Load() }

// Version returns the number of the newest version, 0 where none is known.
func (c *Current) Version() ident.Version {
	if known := c.table.Load(); known != nil {
		return known.version
	}
	return 0
}

// Advance takes over a version unless a newer one is known, and reports whether it did.
func (c *Current) Advance(configuration platform.Configuration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if configuration.Version <= c.Version() {
		return false
	}
	c.table.Store(New(configuration))
	return true
}

// Confirm notes that a state of the store, asked for at a time, holds no newer version; an older state confirms nothing.
func (c *Current) Confirm(since clock.Reading, revision table.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table.Load() == nil || revision < c.revision {
		return
	}
	c.revision = revision
	c.confirmed = max(c.confirmed, since)
}

// Age returns how long ago the version was surely the newest; an unknown version is infinitely old.
func (c *Current) Age(now clock.Reading) time.Duration {
	if c.table.Load() == nil {
		const never = 1<<63 - 1
		return never
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.confirmed)
}
