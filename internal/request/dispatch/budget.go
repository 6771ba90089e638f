package dispatch

import "sync"

// Limits of repeats whose first run is in doubt.
const (
	// retriesPerSuccess is the part of a repeat that each whole answer pays for.
	retriesPerSuccess = 0.1
	// maxSavedRetries bounds the repeats saved up.
	maxSavedRetries = 64
)

// budget bounds repeats by a share of recent successes, so that an outage does not multiply the load.
type budget struct {
	mu sync.Mutex
	// retries is at most maxRepeats; guarded by mu.
	retries float64
}

func newBudget() *budget { return &budget{retries: maxSavedRetries} }

func (b *budget) credit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries = min(b.retries+retriesPerSuccess, maxSavedRetries)
}

// take reports whether a repeat is paid for.
func (b *budget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.retries < 1 {
		return false
	}
	b.retries--
	return true
}
