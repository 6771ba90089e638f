package dispatch

import "sync"

// Limits of retries after an attempt that may have run, or that was refused because the endpoint was overloaded.
const (
	// retriesPerSuccess is the fraction of a retry that each complete response adds to the budget.
	retriesPerSuccess = 0.1
	// maxSavedRetries bounds the retries that the budget holds; it starts with as many.
	maxSavedRetries = 64
)

// budget limits retries to a fraction of the successful requests, so that an outage does not multiply the load.
type budget struct {
	mu sync.Mutex
	// retries is the number of retries left, at most maxSavedRetries; guarded by mu.
	retries float64
}

func newBudget() *budget { return &budget{retries: maxSavedRetries} }

func (b *budget) credit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries = min(b.retries+retriesPerSuccess, maxSavedRetries)
}

// take takes one retry from the budget, and reports whether there was one.
func (b *budget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.retries < 1 {
		return false
	}
	b.retries--
	return true
}
