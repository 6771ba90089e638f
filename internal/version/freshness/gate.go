package freshness

import (
	"sync"
	"sync/atomic"

	"vanillapond/internal/process/clock"
)

// Gate shares a machine between goroutines, with a cheap look on the request path.
type Gate struct {
	now func() clock.Reading
	mu  sync.Mutex
	// machine is guarded by mu.
	machine *Tracker
	// until is what the machine last said.
	until atomic.Int64
}

// NewGate returns a gate over a machine; now is the boot clock, nil meaning clock.Boot.
func NewGate(machine *Tracker, now func() clock.Reading) *Gate {
	if now == nil {
		now = clock.Boot
	}
	return &Gate{now: now, machine: machine}
}

// Do changes or asks the machine.
func (g *Gate) Do(use func(m *Tracker, now clock.Reading)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	use(g.machine, now)
	g.until.Store(int64(g.machine.FreshUntil(now)))
}

// ObserveTable takes note of a read of the head row begun at sent.
func (g *Gate) ObserveTable(sent clock.Reading) {
	g.Do(func(m *Tracker, _ clock.Reading) { m.ObserveTable(sent) })
}

// Open reports whether keys may be taken now.
//
// Evidence that needs no answer, as in a process without peers, is renewed by any call of Do.
func (g *Gate) Open() bool { return int64(g.now()) < g.until.Load() }
