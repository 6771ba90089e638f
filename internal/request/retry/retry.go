// Package retry limits the retries of requests by a budget that all router instances share without communication.
//
// Load pattern: when a service fails or slows down, every router instance retries at the same time, just when the service
// is least able to handle more load. Each instance therefore retries at most a fixed ratio of its own requests, plus its
// share of a fixed number.
package retry

import (
	"sync"
	"time"

	"vanillapond/internal/process/clock"
)

// bucketsPerWindow is the number of buckets that a window is divided into. The count covers one bucket more than the
// window, so that no interval as long as the window exceeds the budget.
const bucketsPerWindow = 20

// Config configures a Budget.
type Config struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Extra is the number of additional retries allowed per window, of all router instances together.
	Extra float64
	// Window is the length of the intervals for which the limit holds.
	Window time.Duration
	// Instances returns the number of router instances that share Extra.
	Instances func() int
	// OnDecision receives each decision, nil if nothing does.
	OnDecision func(Decision)
}

// usedUpInterval is the shortest time between two decisions with UsedUp.
const usedUpInterval = time.Second

// Decision is the decision on one retry.
type Decision struct {
	Allowed bool
	// UsedUp is set for the first refused retry, and for one a usedUpInterval while retries are refused. Requests and Retries are then
	// the numbers in the window.
	UsedUp            bool
	Requests, Retries int
}

// Budget is the retry budget of one service. It is safe for concurrent use.
//
// It counts by the boot-time clock: the time of day may step, and would then empty a part of the window.
type Budget struct {
	config Config
	mu     sync.Mutex
	// buckets are a ring of the last buckets, indexed by the bucket's number modulo their count; guarded by mu.
	buckets [bucketsPerWindow + 1]bucket
	// usedUpAt is when a decision last had UsedUp; guarded by mu.
	usedUpAt clock.Reading
}

type bucket struct {
	index    int64
	requests int
	retries  int
}

// New returns an unused budget.
func New(config Config) *Budget { return &Budget{config: config} }

func (b *Budget) bucket(now clock.Reading) *bucket {
	index := int64(now) / int64(b.config.Window/bucketsPerWindow)
	current := &b.buckets[index%(bucketsPerWindow+1)]
	if current.index != index {
		*current = bucket{index: index}
	}
	return current
}

// RecordRequest counts a caller's request.
func (b *Budget) RecordRequest(now clock.Reading) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket(now).requests++
}

// Take reports whether a retry is allowed, and counts it if so.
func (b *Budget) Take(now clock.Reading) bool {
	decision := b.decide(now)
	if b.config.OnDecision != nil {
		b.config.OnDecision(decision)
	}
	return decision.Allowed
}

func (b *Budget) decide(now clock.Reading) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.remaining(now) >= 1 {
		b.bucket(now).retries++
		return Decision{Allowed: true}
	}
	if b.usedUpAt != 0 && now.Sub(b.usedUpAt) < usedUpInterval {
		return Decision{}
	}
	b.usedUpAt = now
	requests, retries := b.count(now)
	return Decision{UsedUp: true, Requests: requests, Retries: retries}
}

// Remaining returns the number of retries that are allowed now.
func (b *Budget) Remaining(now clock.Reading) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.remaining(now)
}

func (b *Budget) remaining(now clock.Reading) float64 {
	requests, retries := b.count(now)
	// One instance more than is known may have just started.
	share := b.config.Extra / float64(b.config.Instances()+1)
	return share + b.config.Ratio*float64(requests) - float64(retries)
}

// count returns the numbers of requests and retries in the window.
func (b *Budget) count(now clock.Reading) (requests, retries int) {
	newest := b.bucket(now).index
	for _, each := range b.buckets {
		if newest-each.index <= bucketsPerWindow {
			requests += each.requests
			retries += each.retries
		}
	}
	return requests, retries
}
