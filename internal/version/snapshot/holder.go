package snapshot

import (
	"sync"
	"sync/atomic"
)

// Holder holds the snapshot that is in force in a process.
type Holder struct {
	current atomic.Pointer[Snapshot]
	mu      sync.Mutex
	// observers are called in order after each change; guarded by mu.
	observers []func(*Snapshot)
}

// Current returns the snapshot in force, or nil if there is none yet.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Observe calls observer with the snapshot in force, if any, and with every later one, in order.
func (h *Holder) Observe(observer func(*Snapshot)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.observers = append(h.observers, observer)
	if current := h.current.Load(); current != nil {
		observer(current)
	}
}

// Advance puts a snapshot in force if its version is greater, and reports whether it did.
func (h *Holder) Advance(next *Snapshot) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if current := h.current.Load(); current != nil && current.Version() >= next.Version() {
		return false
	}
	h.current.Store(next)
	for _, observer := range h.observers {
		observer(next)
	}
	return true
}
