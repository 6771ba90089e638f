package scaling

import (
	"sync"

	"vanillapond/pkg/ident"
)

// MaxTopTier is the greatest tier whose requests are kept safe from the loss of a failure domain.
const MaxTopTier ident.Tier = 1

// Meter counts one process's requests by pool.
type Meter struct {
	mu sync.Mutex
	// pools holds counts since the start; guarded by mu.
	pools map[ident.Pool]*Count
}

// Count is what one process sees of a pool.
type Count struct {
	// InFlight is how many requests are under way; Top counts those of the top tiers.
	InFlight, TopTiers int
	// Ended and Attained count requests that ended, and those of them within their target, since the start.
	Ended, Attained int
}

// NewMeter returns a meter without counts.
func NewMeter() *Meter { return &Meter{pools: make(map[ident.Pool]*Count)} }

// Request is one counted request; End is called once.
type Request struct {
	meter *Meter
	pool  ident.Pool
	top   int
}

// Begin counts a request that has come.
func (m *Meter) Begin(pool ident.Pool, tier ident.Tier) *Request {
	request := &Request{meter: m, pool: pool}
	if tier <= MaxTopTier {
		request.top = 1
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	count := m.pools[pool]
	if count == nil {
		count = new(Count)
		m.pools[pool] = count
	}
	count.InFlight++
	count.TopTiers += request.top
	return request
}

// End counts the request's end, within its target or not.
func (r *Request) End(attained bool) {
	r.meter.mu.Lock()
	defer r.meter.mu.Unlock()
	count := r.meter.pools[r.pool]
	count.InFlight--
	count.TopTiers -= r.top
	count.Ended++
	if attained {
		count.Attained++
	}
}

// Count returns what was seen of a pool.
func (m *Meter) Count(pool ident.Pool) Count {
	m.mu.Lock()
	defer m.mu.Unlock()
	if count := m.pools[pool]; count != nil {
		return *count
	}
	return Count{}
}
