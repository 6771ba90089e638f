// Package usage counts the requests that began to run, by customer and time window, and reports the counts of each window.
//
// Windows are intervals of agreed time, the time of day by the median of the router instances' clocks. Each instance counts
// on its own. The holder of a lease adds up the counts of all instances, freezes the sum in the store and sends it to the
// platform, so that every report of a window has the same sum even if it is sent more than once.
package usage

import (
	"sync"
	"time"

	"vanillapond/pkg/ident"
)

// Window is the number of a time window, counted from 1970.
type Window int64

// Counts holds the number of requests that began to run, by window and customer.
type Counts map[Window]map[ident.Customer]int64

// retainedWindows is the number of past windows whose counts a router instance retains, because an outage of the store may
// delay their report.
const retainedWindows = 12

// Counter counts the requests of one router instance. It is safe for concurrent use.
type Counter struct {
	length time.Duration
	now    func() time.Time
	mu     sync.Mutex
	counts Counts
}

// NewCounter returns a counter for windows of the given length; now returns the agreed time.
func NewCounter(length time.Duration, now func() time.Time) *Counter {
	return &Counter{length: length, now: now, counts: make(Counts)}
}

// WindowAt returns the window that contains a time.
func WindowAt(at time.Time, length time.Duration) Window {
	return Window(at.UnixNano() / int64(length))
}

// End returns the time at which the window ends.
func (w Window) End(length time.Duration) time.Time { return time.Unix(0, int64(w+1)*int64(length)) }

// RequestStarted counts one request of a customer in the current window.
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

// Counts returns a copy of the counts and deletes those of windows that are too old to be reported.
func (c *Counter) Counts() Counts {
	current := WindowAt(c.now(), c.length)
	c.mu.Lock()
	defer c.mu.Unlock()
	copied := make(Counts, len(c.counts))
	for window, counts := range c.counts {
		if window < current-retainedWindows {
			delete(c.counts, window)
			continue
		}
		windowCounts := make(map[ident.Customer]int64, len(counts))
		for customer, count := range counts {
			windowCounts[customer] = count
		}
		copied[window] = windowCounts
	}
	return copied
}

// RetentionPeriod returns how long counts are retained; after it, the row of a process that has ended may be deleted.
func RetentionPeriod(length time.Duration) time.Duration { return (retainedWindows + 2) * length }

// Merge returns the union of two sets of counts of the same router instance. It takes the greater of two counts of the same
// window and customer, because an instance's counts only grow.
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
