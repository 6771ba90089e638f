// Package repeat holds sends beyond the first of each request to a budget that all entries share without asking.
//
// Load pattern: a service that fails or slows down draws repeats from every entry at once, just when it can bear them
// least. Each entry repeats at most a ratio of its own requests and its part of a fixed number.
package repeat

import (
	"sync"
	"time"
)

// buckets divide the window; the count covers one bucket more than the window, so that no span of its length has more.
const buckets = 20

// Config says what may be repeated.
type Config struct {
	// Ratio is how many repeats each request allows.
	Ratio float64
	// Extra is how many repeats all entries together may make besides, in a window.
	Extra float64
	// Window is the span that the bound holds for.
	Window time.Duration
	// Instances returns how many entries share Extra.
	Instances func() int
}

// Budget counts the repeats to one service.
type Budget struct {
	config Config
	mu     sync.Mutex
	// counts are of the last spans of time, by the number of the span modulo their length; guarded by mu.
	counts [buckets + 1]count
}

type count struct {
	span     int64
	requests int
	repeats  int
}

// New returns a budget of which nothing is used.
func New(config Config) *Budget { return &Budget{config: config} }

func (b *Budget) at(now time.Time) *count {
	span := now.UnixNano() / int64(b.config.Window/buckets)
	c := &b.counts[span%(buckets+1)]
	if c.span != span {
		*c = count{span: span}
	}
	return c
}

// RecordRequest counts a caller's request.
func (b *Budget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.at(now).requests++
}

// Take counts a repeat and reports whether it may be made.
func (b *Budget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left(now) < 1 {
		return false
	}
	b.at(now).repeats++
	return true
}

// Remaining returns how many repeats may be made now.
func (b *Budget) Remaining(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left(now)
}

func (b *Budget) left(now time.Time) float64 {
	newest := b.at(now).span
	requests, repeats := 0, 0
	for _, c := range b.counts {
		if newest-c.span <= buckets {
			requests += c.requests
			repeats += c.repeats
		}
	}
	// One entry more than is known may have just started.
	share := b.config.Extra / float64(b.config.Instances()+1)
	return share + b.config.Ratio*float64(requests) - float64(repeats)
}
