package placement

import "time"

// balanceInterval is the minimum time between two samples of how evenly the load is spread.
const balanceInterval = 100 * time.Millisecond

// Balance says how evenly the estimated load of a service is spread over its servers.
type Balance struct {
	// Sampled reports whether the other fields are set; they are at most once every balanceInterval, at load-aware services.
	Sampled bool
	// Imbalance is the load of the busiest server relative to the mean, both relative to the servers' speed; 0 while there is less than one request per
	// server on average.
	Imbalance float64
	// OverloadedBesideIdle reports whether a server had no free slot while another was idle.
	OverloadedBesideIdle bool
}

// balance is when the last sample was taken.
type balance struct{ sampledAt time.Time }

// sampleBalance returns the balance of the servers of the current decision.
func (b *Balancer) sampleBalance(now time.Time) Balance {
	last := &b.estimates.balance
	if !b.settings.LoadAware || now.Sub(last.sampledAt) < balanceInterval {
		return Balance{}
	}
	last.sampledAt = now
	sample := Balance{Sampled: true}
	busiest, sum := 0.0, 0.0
	idle, full := false, false
	for _, candidate := range b.eligible {
		busy := float64(candidate.load.Active) / candidate.figures.rate
		busiest = max(busiest, busy)
		sum += busy
		idle = idle || candidate.load.Active == 0
		full = full || candidate.load.Active >= candidate.Slots
	}
	sample.OverloadedBesideIdle = idle && full
	if b.estimates.active >= len(b.eligible) && sum > 0 {
		sample.Imbalance = busiest * float64(len(b.eligible)) / sum
	}
	return sample
}
