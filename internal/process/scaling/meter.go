package scaling

import (
	"sync"

	"vanillapond/pkg/ident"
)

// MaxTopTier is the numerically greatest of the top tiers, for whose requests enough endpoints are kept running to survive the loss
// of a failure domain.
const MaxTopTier ident.Tier = 1

// Meter counts the requests of one process by pool.
type Meter struct {
	mu sync.Mutex
	// pools holds the counts since the start of the process; guarded by mu.
	pools map[ident.Pool]*Count
}

// Count holds the request counts of one pool in one process.
type Count struct {
	// InFlight is the number of requests in flight; TopTiers is the number of those of the top tiers.
	InFlight, TopTiers int
	// Ended is the number of requests that have ended since the start; Attained is the number of those within their latency target.
	Ended, Attained int
}

// NewMeter returns a meter with all counts at zero.
func NewMeter() *Meter { return &Meter{pools: make(map[ident.Pool]*Count)} }

// Request is one counted request. End must be called exactly once.
type Request struct {
	meter   *Meter
	pool    ident.Pool
	topTier int
}

// Begin counts a request that has arrived.
func (m *Meter) Begin(pool ident.Pool, tier ident.Tier) *Request {
	request := &Request{meter: m, pool: pool}
	if tier <= MaxTopTier {
		request.topTier = 1
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	count := m.pools[pool]
	if count == nil {
		count = new(Count)
		m.pools[pool] = count
	}
	count.InFlight++
	count.TopTiers += request.topTier
	return request
}

// End counts the end of the request; attained says that it met its latency target.
func (r *Request) End(attained bool) {
	r.meter.mu.Lock()
	defer r.meter.mu.Unlock()
	count := r.meter.pools[r.pool]
	count.InFlight--
	count.TopTiers -= r.topTier
	count.Ended++
	if attained {
		count.Attained++
	}
}

// Count returns the counts of a pool.
func (m *Meter) Count(pool ident.Pool) Count {
	m.mu.Lock()
	defer m.mu.Unlock()
	if count := m.pools[pool]; count != nil {
		return *count
	}
	return Count{}
}
