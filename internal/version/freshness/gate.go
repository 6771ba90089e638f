package freshness

import (
	"sync"
	"sync/atomic"

	"vanillapond/internal/process/clock"
)

// Gate makes a tracker usable by several goroutines, with a cheap check on the request path.
type Gate struct {
	now func() clock.Reading
	mu  sync.Mutex
	// tracker is guarded by mu.
	tracker *Tracker
	// freshUntil is the result of the tracker's FreshUntil after the last call of Do.
	freshUntil atomic.Int64
}

// NewGate returns a gate for a tracker; now returns the time since boot, nil means clock.Boot.
func NewGate(tracker *Tracker, now func() clock.Reading) *Gate {
	if now == nil {
		now = clock.Boot
	}
	return &Gate{now: now, tracker: tracker}
}

// Do calls use with the tracker, which it may modify, and the current time.
func (g *Gate) Do(use func(tracker *Tracker, now clock.Reading)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	use(g.tracker, now)
	g.freshUntil.Store(int64(g.tracker.FreshUntil(now)))
}

// ObserveTable records a read of the head row begun at sent.
func (g *Gate) ObserveTable(sent clock.Reading) {
	g.Do(func(tracker *Tracker, _ clock.Reading) { tracker.ObserveTable(sent) })
}

// Open reports whether keys may be accepted now.
//
// Evidence that requires no response, as in a process without peers, is renewed by any call of Do.
func (g *Gate) Open() bool { return int64(g.now()) < g.freshUntil.Load() }
