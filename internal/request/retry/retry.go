// Package retry limits the retries of requests by a budget that all router instances share without communication.
//
// Load pattern: when a service fails or slows down, every router instance retries at the same time, just when the service
// is least able to handle more load. All instances together may therefore retry at most a fixed ratio of the callers' requests, plus a
// fixed number, in any window, whenever instances start, are killed or are cut off.
package retry

import (
	"math"
	"sync"
	"time"

	"vanillapond/internal/process/clock"
)

const (
	// bucketsPerWindow is the number of buckets that a window is divided into.
	bucketsPerWindow = 20
	// buckets is the number of buckets that are kept: a window of retries may draw on the requests of the window before it.
	buckets = 2 * bucketsPerWindow
)

// Config configures a Budget.
type Config struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Extra is the number of additional retries allowed per window, of all router instances together.
	Extra float64
	// Window is the length of the intervals for which the limit holds.
	Window time.Duration
	// MaxDelay is how long after it was allowed a retry may reach its server; it is shorter than Window.
	MaxDelay time.Duration
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
	// the numbers of the last two windows.
	UsedUp            bool
	Requests, Retries int
}

// Budget is the retry budget of one service at one router instance. It is safe for concurrent use.
//
// The retries of any interval up to a window are at most half the ratio of the requests since one window before the interval. A window thus
// draws on its own requests and on those of the window before it by halves, and is within the ratio of the larger of the two. The limit is linear in the
// requests, so that the sum over instances, and over the successive starts of an instance that forgets all when it is killed, keeps it too.
//
// It counts by the boot-time clock: the time of day may step, and would then empty a part of the window.
type Budget struct {
	config Config
	// delayBuckets is MaxDelay in buckets.
	delayBuckets int64
	mu           sync.Mutex
	// buckets are a ring of the last buckets, indexed by the bucket's number modulo their count; guarded by mu.
	buckets [buckets]bucket
	// usedUpAt is when a decision last had UsedUp; guarded by mu.
	usedUpAt clock.Reading
}

type bucket struct {
	// index is the bucket's number since boot.
	index    int64
	requests int
	retries  int
}

// New returns an unused budget.
func New(config Config) *Budget {
	width := config.Window / bucketsPerWindow
	return &Budget{config: config, delayBuckets: min(int64((config.MaxDelay+width-1)/width), bucketsPerWindow-1)}
}

func (b *Budget) bucket(now clock.Reading) *bucket {
	index := int64(now) / int64(b.config.Window/bucketsPerWindow)
	current := &b.buckets[index%buckets]
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
	decision := b.decide(now, 1)
	b.report(decision)
	return decision.Allowed
}

// Allows reports whether a retry would be allowed. It is for callers that have work to do before they know that the retry is sent; one that is not
// allowed is a decision, as with Take.
func (b *Budget) Allows(now clock.Reading) bool {
	decision := b.decide(now, 0)
	if !decision.Allowed {
		b.report(decision)
	}
	return decision.Allowed
}

func (b *Budget) report(decision Decision) {
	if b.config.OnDecision != nil {
		b.config.OnDecision(decision)
	}
}

// decide decides on a retry, and adds taken to the count of retries if it is allowed.
func (b *Budget) decide(now clock.Reading, taken int) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.remaining(now) >= 1 {
		b.bucket(now).retries += taken
		return Decision{Allowed: true}
	}
	if b.usedUpAt != 0 && now.Sub(b.usedUpAt) < usedUpInterval {
		return Decision{}
	}
	b.usedUpAt = now
	decision := Decision{UsedUp: true}
	newest := b.bucket(now).index
	for age := range int64(buckets) {
		each := b.aged(newest, age)
		decision.Requests += each.requests
		decision.Retries += each.retries
	}
	return decision
}

// Remaining returns the number of retries that are allowed now.
func (b *Budget) Remaining(now clock.Reading) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.remaining(now)
}

// remaining returns the smallest number of retries left over all intervals that end now; the caller holds mu.
//
// A window of arrivals holds retries that were allowed up to MaxDelay before it, so that the longest interval is longer by MaxDelay, and
// the requests that it draws on begin later by as much.
func (b *Budget) remaining(now clock.Reading) float64 {
	newest := b.bucket(now).index
	earlier := bucketsPerWindow - b.delayBuckets - 1
	requests, retries := 0, 0
	for age := range earlier {
		requests += b.aged(newest, age).requests
	}
	// One instance more than is known may have just started.
	share := b.config.Extra / float64(b.config.Instances()+1)
	remaining := math.Inf(1)
	for age := range bucketsPerWindow + b.delayBuckets + 1 {
		retries += b.aged(newest, age).retries
		requests += b.aged(newest, age+earlier).requests
		remaining = min(remaining, share+b.config.Ratio*float64(requests)/2-float64(retries))
	}
	return remaining
}

// aged returns the bucket that is age buckets older than the newest; the caller holds mu.
func (b *Budget) aged(newest, age int64) bucket {
	index := newest - age
	if index < 0 || b.buckets[index%buckets].index != index {
		return bucket{}
	}
	return b.buckets[index%buckets]
}
