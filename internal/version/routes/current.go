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

// Current holds the newest configuration version that the process has received, and when it was last confirmed as the
// newest.
type Current struct {
	table atomic.Pointer[Table]
	mu    sync.Mutex
	// confirmed is the latest time as of which the version is known to have been the newest; guarded by mu.
	confirmed clock.Reading
	// revision is the greatest revision of the store that confirmed the version; guarded by mu.
	revision table.Revision
}

// Table returns the newest version, or nil if none has been received.
func (c *Current) Table() *Table { return c.table.Load() }

// Version returns the number of the newest version, or 0 if none has been received.
func (c *Current) Version() ident.Version {
	if known := c.table.Load(); known != nil {
		return known.version
	}
	return 0
}

// Advance stores a version if it is newer than the current one, and reports whether it did.
func (c *Current) Advance(configuration platform.Configuration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if configuration.Version <= c.Version() {
		return false
	}
	c.table.Store(New(configuration))
	return true
}

// Confirm records that the store held no newer version at the given time and revision. A revision older than the last
// one confirms nothing.
func (c *Current) Confirm(asOf clock.Reading, revision table.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table.Load() == nil || revision < c.revision {
		return
	}
	c.revision = revision
	c.confirmed = max(c.confirmed, asOf)
}

// Age returns the time since the version was last known to be the newest; it is infinite if no version has been
// received.
func (c *Current) Age(now clock.Reading) time.Duration {
	if c.table.Load() == nil {
		const never = 1<<63 - 1
		return never
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.confirmed)
}
