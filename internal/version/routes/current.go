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
	// expected is the newest version that another process is known to have; guarded by mu.
	expected ident.Version
	// loadedAt is when the first version was confirmed, 0 before; advanced is set once a later version followed. Guarded by mu.
	loadedAt clock.Reading
	advanced bool
}

// trialPeriod is how long after its start a process takes the news of a later version as a sign that it started from a store that had
// come back from an older copy of its data.
const trialPeriod = 10 * time.Second

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
	next := New(configuration)
	if before := c.table.Load(); before != nil {
		c.advanced = true
		next.follow(before)
	}
	c.table.Store(next)
	return true
}

// Expect records that another process has a version. As long as the own one is older, the store can't confirm it: the store may have
// come back from an older copy. A process that has just started from such a copy does not know which keys were withdrawn since, so
// its version counts as never confirmed.
func (c *Current) Expect(now clock.Reading, version ident.Version) (behind bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version <= c.expected {
		return false
	}
	c.expected = version
	if version <= c.Version() || c.table.Load() == nil {
		return false
	}
	if !c.advanced && c.loadedAt != 0 && now.Sub(c.loadedAt) < trialPeriod {
		c.confirmed = 0
	}
	return true
}

// Confirm records that the store held no newer version at the given time and revision. A revision older than the last
// one confirms nothing, nor does any while another process is known to have a newer version.
func (c *Current) Confirm(asOf clock.Reading, revision table.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table.Load() == nil || revision < c.revision || c.Version() < c.expected {
		return
	}
	if c.loadedAt == 0 {
		c.loadedAt = asOf
	}
	c.revision = revision
	c.confirmed = max(c.confirmed, asOf)
}

// Age returns the time since the version was last known to be the newest; it is infinite if no version has been
// received or confirmed.
func (c *Current) Age(now clock.Reading) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table.Load() == nil || c.confirmed == 0 {
		const never = 1<<63 - 1
		return never
	}
	return now.Sub(c.confirmed)
}
