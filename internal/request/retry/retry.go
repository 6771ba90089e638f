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
	// Extra is the number of additional retries allowed per window, of all router instances together. An instance earns its share of them
	// over time, so that one that starts again has not yet earned any.
	Extra float64
	// Window is the length of the intervals for which the limit holds.
	Window time.Duration
	// MaxDelay is how long after it was allowed a retry may reach its server; it is shorter than Window.
	MaxDelay time.Duration
	// Share returns the fraction of Extra that the instance earns per window, from 0 to 1; it may change. All instances that run at a time
	// have at most 1 together.
	Share func() float64
	// Start is when the instance started, from when on it earns its share.
	Start clock.Reading
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
// draws on its own requests and on those of the window before it by halves, and is within the ratio of the larger of the two. The time that the
// instance runs counts like requests. The limit is linear in both, so that the sum over instances, and over the successive starts of an instance
// that forgets all when it is killed, keeps it too.
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
	// earnedUntil is the time until which the buckets hold the earned share, and share the fraction then; guarded by mu.
	earnedUntil clock.Reading
	share       float64
}

type bucket struct {
	// index is the bucket's number since boot.
	index    int64
	requests int
	retries  int
	// earned is the part of Extra that the instance earned in the time of the bucket, as a fraction.
	earned float64
}

// New returns an unused budget.
func New(config Config) *Budget {
	width := config.Window / bucketsPerWindow
	return &Budget{
		config: config, delayBuckets: min(int64((config.MaxDelay+width-1)/width), bucketsPerWindow-1),
		earnedUntil: config.Start, share: 1,
	}
}

// advance returns the bucket of a time after the instance has earned its share until then; the caller holds mu. Of two shares it earns the
// smaller one between the times at which they were found.
func (b *Budget) advance(now clock.Reading) *bucket {
	now = max(now, b.earnedUntil)
	current := b.config.Share()
	share, width := min(b.share, current), b.config.Window/bucketsPerWindow
	b.share = current
	for from := max(b.earnedUntil, now.Add(-buckets*width)); from < now; {
		end := min(now, (from/clock.Reading(width)+1)*clock.Reading(width))
		b.bucket(from).earned += share * float64(end.Sub(from)) / float64(b.config.Window)
		from = end
	}
	b.earnedUntil = now
	return b.bucket(now)
}

func (b *Budget) bucket(at clock.Reading) *bucket {
	index := int64(at) / int64(b.config.Window/bucketsPerWindow)
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
	b.advance(now).requests++
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
	newest := b.advance(now)
	if b.remaining(newest.index) >= 1 {
		newest.retries += taken
		return Decision{Allowed: true}
	}
	if b.usedUpAt != 0 && now.Sub(b.usedUpAt) < usedUpInterval {
		return Decision{}
	}
	b.usedUpAt = now
	decision := Decision{UsedUp: true}
	for age := range int64(buckets) {
		each := b.aged(newest.index, age)
		decision.Requests += each.requests
		decision.Retries += each.retries
	}
	return decision
}

// Remaining returns the number of retries that are allowed now.
func (b *Budget) Remaining(now clock.Reading) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.remaining(b.advance(now).index)
}

// remaining returns the smallest number of retries left over all intervals that end in the newest bucket; the caller holds mu.
//
// A window of arrivals holds retries that were allowed up to MaxDelay before it, so that the longest interval is longer by MaxDelay, and
// the requests that it draws on begin later by as much.
func (b *Budget) remaining(newest int64) float64 {
	earlier := bucketsPerWindow - b.delayBuckets - 1
	allowed, retries := 0.0, 0
	for age := range earlier {
		allowed += b.allowance(newest, age)
	}
	remaining := math.Inf(1)
	for age := range bucketsPerWindow + b.delayBuckets + 1 {
		retries += b.aged(newest, age).retries
		allowed += b.allowance(newest, age+earlier)
		remaining = min(remaining, allowed-float64(retries))
	}
	return remaining
}

// allowance returns how many retries a bucket allows in an interval; the caller holds mu.
func (b *Budget) allowance(newest, age int64) float64 {
	each := b.aged(newest, age)
	return (b.config.Ratio*float64(each.requests) + b.config.Extra*each.earned) / 2
}

// aged returns the bucket that is age buckets older than the newest; the caller holds mu.
func (b *Budget) aged(newest, age int64) bucket {
	index := newest - age
	if index < 0 || b.buckets[index%buckets].index != index {
		return bucket{}
	}
	return b.buckets[index%buckets]
}
