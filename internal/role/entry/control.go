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

// controlInterval is the time between two decisions about a failure domain.
const controlInterval = time.Second

// unknownMembers stands for the number of entries before the platform's list was read.
const unknownMembers = 100

// orderLease is the prefix of the names of the leases for orders.
const orderLease = "orders."

// controlConfig says what the control of failure domains works with.
type controlConfig struct {
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

// control is this entry's part in the leases for orders, one for each failure domain.
type control struct {
	config controlConfig
	done   context.Context
	cancel context.CancelFunc
	loops  sync.WaitGroup
	mu     sync.Mutex
	// controllers hold one for each failure domain seen so far; guarded by mu.
	controllers map[ident.FailureDomain]*controller
}

func newControl(config controlConfig) *control {
	ctx, cancel := context.WithCancel(context.Background())
	return &control{config: config, done: ctx, cancel: cancel, controllers: make(map[ident.FailureDomain]*controller)}
}

// update takes part in the leases of failure domains that are new in a snapshot.
func (c *control) update(next *snapshot.Snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, endpoint := range next.Configuration.Endpoints {
		if c.controllers[endpoint.Domain] != nil || c.done.Err() != nil {
			continue
		}
		d := newController(c.config, endpoint.Domain)
		c.controllers[endpoint.Domain] = d
		c.loops.Go(func() { d.lease.Run(c.done) })
		c.loops.Go(func() { d.runner.Run(c.done, controlInterval) })
	}
}

// stop ends all decisions, then hands the leases over where nothing sent may still be under way.
func (c *control) stop(ctx context.Context) {
	c.cancel()
	c.loops.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range c.controllers {
		if d.runner.NoneInFlight() {
			_ = d.lease.Release(ctx)
		}
	}
}

// controller scales one failure domain while this entry holds its lease.
type controller struct {
	config   controlConfig
	domain   ident.FailureDomain
	lease    *lease.Lease
	runner   *orders.Runner
	policies map[ident.Pool]*watched
	// fence is that of the lease when the policies were started.
	fence ident.Fence
}

// watched is a pool's policy and the counts at its last sample.
type watched struct {
	policy *scaling.Policy
	last   scaling.Count
}

func newController(config controlConfig, domain ident.FailureDomain) *controller {
	d := &controller{config: config, domain: domain}
	name := orderLease + string(domain)
	d.lease = lease.New(lease.Config{
		Table: config.Table, Name: name, Process: config.Process, Incarnation: config.Incarnation, Events: config.Events,
		Term: config.Term, Ranking: func() lease.Ranking { return place(config.Fleet, name, config.Process) },
	})
	d.runner = orders.New(orders.Config{
		Domain: domain, Process: config.Process, Lease: d.lease, Term: d.lease.Term(),
		Table: config.Table, Orders: config.Orders, Events: config.Events, Decide: d.decide,
	})
	return d
}

// decide returns the starts and stops that the policies ask for.
func (d *controller) decide(record orders.Record) []orders.DesiredAction {
	current := d.config.Snapshots.Current()
	if current == nil {
		return nil
	}
	if fence, _, _ := d.lease.Held(); fence != d.fence {
		d.fence = fence
		d.policies = make(map[ident.Pool]*watched)
	}
	var wants []orders.DesiredAction
	for _, pool := range current.Configuration.Pools {
		if pool.MaxPerDomain > 0 {
			wants = append(wants, d.decidePool(current, pool, record)...)
		}
	}
	return wants
}

func (d *controller) decidePool(current *snapshot.Snapshot, pool configuration.Pool, record orders.Record) []orders.DesiredAction {
	var running, stopped []ident.Endpoint
	domains := make(map[ident.FailureDomain]bool)
	for _, endpoint := range current.Configuration.Endpoints {
		if endpoint.Pool != pool.ID || endpoint.Leaving {
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
	rules := scaling.PoolConfig{
		Min: pool.MinPerDomain, Max: pool.MaxPerDomain, Slots: pool.Concurrency,
		Domains: len(domains), CostPerHour: pool.CostPerHour,
	}
	target := d.target(pool.ID, rules, len(running), domains)
	return orders.ScaleTo(pool.ID, target, running, stopped)
}

func (d *controller) target(pool ident.Pool, rules scaling.PoolConfig, running int, domains map[ident.FailureDomain]bool) int {
	seen := d.policies[pool]
	if seen == nil {
		seen = &watched{policy: scaling.New(running), last: d.config.Meter.Count(pool)}
		d.policies[pool] = seen
	}
	count := d.config.Meter.Count(pool)
	sample := d.sample(pool, running, domains, count)
	sample.Requests = count.Ended - seen.last.Ended
	sample.Attained = count.Attained - seen.last.Attained
	seen.last = count
	return seen.policy.Target(time.Duration(d.lease.Now()), rules, sample)
}

// sample extends what this entry sees to the whole: linked endpoints stand for all, this entry for all entries.
func (d *controller) sample(pool ident.Pool, running int, domains map[ident.FailureDomain]bool, count scaling.Count) scaling.Sample {
	listed, _ := d.config.Fleet.Entries()
	entries := float64(max(len(listed), 1))
	var own int
	var everywhere scaling.ObservedLoad
	for domain := range domains {
		sum := d.config.Fleet.Sum(pool, domain)
		own += sum.Own
		everywhere.Endpoints += sum.Linked
		everywhere.Requests += sum.Busy
	}
	here := d.config.Fleet.Sum(pool, d.domain)
	busy := scaling.ExtrapolateDemand(scaling.ObservedLoad{Endpoints: here.Linked, Requests: here.Busy}, everywhere, running)
	unplaced := float64(max(count.InFlight-own, 0)) * entries / float64(len(domains))
	return scaling.Sample{Demand: busy + unplaced, TopTierDemand: float64(count.TopTiers) * entries}
}
