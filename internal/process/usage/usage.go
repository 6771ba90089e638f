// Package usage counts the requests that began to run, by customer and window of true time, and reports each window once.
package usage

import (
	"sync"
	"time"

	"vanillapond/pkg/ident"
)

// Window numbers a span of true time, counted from 1970.
type Window int64

// Counts holds what began to run, by window and customer.
type Counts map[Window]map[ident.Customer]int64

// keptWindows is how many past windows an entry keeps for a report that an outage of the store holds up.
const keptWindows = 12

// Counter counts for one process.
type Counter struct {
	length time.Duration
	now    func() time.Time
	mu     sync.Mutex
	counts Counts
}

// NewCounter returns a counter; length is that of a window, and now tells true time.
func NewCounter(length time.Duration, now func() time.Time) *Counter {
	return &Counter{length: length, now: now, counts: make(Counts)}
}

// WindowAt returns the window of a time.
func WindowAt(at time.Time, length time.Duration) Window {
	return Window(at.UnixNano() / int64(length))
}

// End returns when a window ends.
func (w Window) End(length time.Duration) time.Time { return time.Unix(0, int64(w+1)*int64(length)) }

// RequestStarted counts one request of a customer that began to run now.
func (c *Counter) RequestStarted(customer ident.Customer) {
	window := WindowAt(c.now(), c.length)
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.counts[window]
	if counts == nil {
		counts = make(map[ident.Customer]int64)
		c.counts[window] = counts
	}
	counts[customer]++
}

// Counts returns a copy of what is counted, without windows too old to be reported.
func (c *Counter) Counts() Counts {
	newest := WindowAt(c.now(), c.length)
	c.mu.Lock()
	defer c.mu.Unlock()
	copied := make(Counts, len(c.counts))
	for window, counts := range c.counts {
		if window < newest-keptWindows {
			delete(c.counts, window)
			continue
		}
		inner := make(map[ident.Customer]int64, len(counts))
		for customer, count := range counts {
			inner[customer] = count
		}
		copied[window] = inner
	}
	return copied
}

// RetentionPeriod returns how long counts are kept, so that the row of an ended process may go after it.
func RetentionPeriod(length time.Duration) time.Duration { return (keptWindows + 2) * length }

// Merge adds what other holds, by the greater of two counts of one thing: an entry's counts only grow.
func (c Counts) Merge(other Counts) Counts {
	merged := make(Counts, len(c))
	for _, source := range []Counts{c, other} {
		for window, counts := range source {
			if merged[window] == nil {
				merged[window] = make(map[ident.Customer]int64, len(counts))
			}
			for customer, count := range counts {
				merged[window][customer] = max(merged[window][customer], count)
			}
		}
	}
	return merged
}
