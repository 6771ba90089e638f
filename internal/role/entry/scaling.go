package entry

import (
	"context"
	"sync"
	"time"

	"vanillapond/internal/connection/fleet"
	"vanillapond/internal/process/event"
	"vanillapond/internal/process/lease"
	"vanillapond/internal/process/orders"
	"vanillapond/internal/process/platform"
	"vanillapond/internal/process/scaling"
	"vanillapond/internal/process/table"
	"vanillapond/internal/version/snapshot"
	"vanillapond/pkg/configuration"
	"vanillapond/pkg/ident"
)

// scalingInterval is the time between two scaling decisions for a failure domain.
const scalingInterval = time.Second

// assumedEntries is the number of entries that is assumed until the platform's list has been read.
const assumedEntries = 100

// orderLeasePrefix precedes the failure domain in the names of the leases for scaling orders.
const orderLeasePrefix = "orders."

// scalingConfig configures a scalingControl.
type scalingConfig struct {
	Process     ident.Process
	Incarnation ident.Incarnation
	Term        time.Duration
	Table       table.Table
	Orders      platform.Orders
	Fleet       *fleet.Fleet
	Meter       *scaling.Meter
	Snapshots   *snapshot.Holder
	Events      *event.Recorder
}

// scalingControl competes for the leases for scaling orders, one for each failure domain, and scales the domains whose lease this
// entry holds.
type scalingControl struct {
	config scalingConfig
	ctx    context.Context
	cancel context.CancelFunc
	loops  sync.WaitGroup
	mu     sync.Mutex
	// domains holds a scaler for each failure domain seen so far; guarded by mu.
	domains map[ident.FailureDomain]*domainScaler
}

func newScalingControl(config scalingConfig) *scalingControl {
	ctx, cancel := context.WithCancel(context.Background())
	return &scalingControl{config: config, ctx: ctx, cancel: cancel, domains: make(map[ident.FailureDomain]*domainScaler)}
}

// update starts to compete for the leases of failure domains that are new in a configuration snapshot.
func (c *scalingControl) update(next *snapshot.Snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, endpoint := range next.Configuration.Endpoints {
		if c.domains[endpoint.Domain] != nil || c.ctx.Err() != nil {
			continue
		}
		scaler := newDomainScaler(c.config, endpoint.Domain)
		c.domains[endpoint.Domain] = scaler
		c.loops.Go(func() { scaler.lease.Run(c.ctx) })
		c.loops.Go(func() { scaler.runner.Run(c.ctx, scalingInterval) })
	}
}

// stop ends all scaling loops, then releases each lease under which no order can still be in flight. The others lapse.
func (c *scalingControl) stop(ctx context.Context) {
	c.cancel()
	c.loops.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, scaler := range c.domains {
		if scaler.runner.NoneInFlight() {
			_ = scaler.lease.Release(ctx)
		}
	}
}

// domainScaler scales one failure domain while this entry holds its lease.
type domainScaler struct {
	config scalingConfig
	domain ident.FailureDomain
	lease  *lease.Lease
	runner *orders.Runner
	pools  map[ident.Pool]*poolScaler
	// fence is the fencing number under which pools was created; under a new number, all policies start anew.
	fence ident.Fence
}

// poolScaler holds a pool's scaling policy and the request counts at its last sample.
type poolScaler struct {
	policy    *scaling.Policy
	lastCount scaling.Count
}

func newDomainScaler(config scalingConfig, domain ident.FailureDomain) *domainScaler {
	d := &domainScaler{config: config, domain: domain}
	name := orderLeasePrefix + string(domain)
	d.lease = lease.New(lease.Config{
		Table: config.Table, Name: name, Process: config.Process, Incarnation: config.Incarnation, Events: config.Events,
		Term: config.Term, Ranking: func() lease.Ranking { return leaseRank(config.Fleet, name, config.Process) },
	})
	d.runner = orders.New(orders.Config{
		Domain: domain, Process: config.Process, Lease: d.lease, Term: d.lease.Term(),
		Table: config.Table, Orders: config.Orders, Events: config.Events, Decide: d.decide,
	})
	return d
}

// decide returns the endpoints to start and stop according to the scaling policies.
func (d *domainScaler) decide(record orders.Record) []orders.DesiredAction {
	current := d.config.Snapshots.Current()
	if current == nil {
		return nil
	}
	if fence, _, _ := d.lease.Held(); fence != d.fence {
		d.fence = fence
		d.pools = make(map[ident.Pool]*poolScaler)
	}
	var desired []orders.DesiredAction
	for _, pool := range current.Configuration.Pools {
		if pool.MaxPerDomain > 0 {
			desired = append(desired, d.decidePool(current, pool, record)...)
		}
	}
	return desired
}

func (d *domainScaler) decidePool(
	current *snapshot.Snapshot, pool configuration.Pool, record orders.Record,
) []orders.DesiredAction {
	var running, stopped []ident.Endpoint
	domains := make(map[ident.FailureDomain]bool)
	for _, endpoint := range current.Configuration.Endpoints {
		if endpoint.Pool != pool.ID || endpoint.Draining {
			continue
		}
		domains[endpoint.Domain] = true
		switch {
		case endpoint.Domain != d.domain:
		case record.IsStopped(endpoint.ID):
			stopped = append(stopped, endpoint.ID)
		default:
			running = append(running, endpoint.ID)
		}
	}
	if len(running)+len(stopped) == 0 {
		return nil
	}
	poolConfig := scaling.PoolConfig{
		Min: pool.MinPerDomain, Max: pool.MaxPerDomain, Slots: pool.Concurrency,
		Domains: len(domains), CostPerHour: pool.CostPerHour,
	}
	target := d.target(pool.ID, poolConfig, len(running), domains)
	return orders.ScaleTo(pool.ID, target, running, stopped)
}

func (d *domainScaler) target(
	pool ident.Pool, poolConfig scaling.PoolConfig, running int, domains map[ident.FailureDomain]bool,
) int {
	scaler := d.pools[pool]
	if scaler == nil {
		scaler = &poolScaler{policy: scaling.New(running), lastCount: d.config.Meter.Count(pool)}
		d.pools[pool] = scaler
	}
	count := d.config.Meter.Count(pool)
	sample := d.sample(pool, running, domains, count)
	sample.Requests = count.Ended - scaler.lastCount.Ended
	sample.Attained = count.Attained - scaler.lastCount.Attained
	scaler.lastCount = count
	return scaler.policy.Target(time.Duration(d.lease.Now()), poolConfig, sample)
}

// sample extrapolates what this entry observes to the complete system: from the endpoints that it is linked with to all endpoints,
// and from itself to all entries.
func (d *domainScaler) sample(
	pool ident.Pool, running int, domains map[ident.FailureDomain]bool, count scaling.Count,
) scaling.Sample {
	live, _ := d.config.Fleet.Entries()
	entries := float64(max(len(live), 1))
	var localStreams int
	var inAllDomains scaling.ObservedLoad
	for domain := range domains {
		sum := d.config.Fleet.PoolLoad(pool, domain)
		localStreams += sum.LocalStreams
		inAllDomains.Endpoints += sum.Linked
		inAllDomains.Requests += sum.Requests
	}
	inDomain := d.config.Fleet.PoolLoad(pool, d.domain)
	busy := scaling.ExtrapolateDemand(
		scaling.ObservedLoad{Endpoints: inDomain.Linked, Requests: inDomain.Requests}, inAllDomains, running)
	unplaced := float64(max(count.InFlight-localStreams, 0)) * entries / float64(len(domains))
	return scaling.Sample{Demand: busy + unplaced, TopTierDemand: float64(count.TopTiers) * entries}
}
