package fairshare

import (
	"math"
	"time"
)

// Limits of the pressure, which is the queue delay of the best server as a fraction of the objective.
const (
	// shortPressure is the pressure from which on the service is short of capacity, and reliefPressure that below which capacity is left. The
	// distance between them is larger than the error of the estimated queue delay, so that the state does not change with each request.
	shortPressure  = 0.5
	reliefPressure = 0.25
	// pressurePeriod is the time constant with which the pressure of the most delayed request decays: the time between two reports of peers in a
	// fleet of about 25 instances.
	pressurePeriod = 250 * time.Millisecond
)

// Control of the capacity.
const (
	// initialCapacity is the capacity, as a fraction of the work in use, when the service becomes short: it is less than what was admitted.
	initialCapacity = 0.9
	// shrinkPeriod and growthPeriod are the time constants with which the capacity is reduced under pressure and raised without. The capacity
	// grows slower than the sums decay, so that the effect is seen before the next step.
	shrinkPeriod = 2 * time.Second
	growthPeriod = 8 * time.Second
	// excessFraction is the fraction of the capacity by which customers together may be above their shares while it is reduced further.
	// Above that the queue already becomes shorter without.
	excessFraction = 0.05
	// refreshInterval is the time between two computations of the shares, the shortest time between two reports of a peer.
	refreshInterval = 100 * time.Millisecond
	// maxRefreshInterval bounds the time for which one step of the control counts.
	maxRefreshInterval = time.Second
	// negligible is the least work of a customer that counts as demand.
	negligible = 1
)

// capacity estimates how much work the service does, while it is short, and how the customers share it.
type capacity struct {
	short bool
	// pressure is the highest pressure, decaying, as of observedAt.
	pressure   float64
	observedAt time.Time
	// work is the capacity as a decaying sum of work; 0 while the service is not short.
	work float64
	// level is the share of each customer with a larger demand; infinite if there is none.
	level float64
	// fleetScale is by how much the sums of all instances exceed those of the instances that are heard; at least 1.
	fleetScale  float64
	refreshedAt time.Time
	// over is the number of customers with a larger demand than their share.
	over int
}

// observe updates the pressure by a request.
func (p *capacity) observe(now time.Time, request Request) {
	if request.Objective > 0 {
		p.raise(now, float64(request.QueueDelay+request.Waited)/float64(request.Objective))
	}
}

// raise sets the pressure to a higher one.
func (p *capacity) raise(now time.Time, pressure float64) {
	p.decay(now)
	p.pressure = max(p.pressure, min(pressure, 1))
	if p.pressure > shortPressure && !p.short {
		p.short, p.work, p.level, p.fleetScale, p.refreshedAt = true, 0, math.Inf(1), 1, time.Time{}
	}
}

func (p *capacity) decay(now time.Time) {
	if elapsed := now.Sub(p.observedAt); elapsed > 0 {
		p.pressure *= math.Exp(-float64(elapsed) / float64(pressurePeriod))
		p.observedAt = now
	}
}

// needsRefresh reports whether the shares must be computed anew.
func (p *capacity) needsRefresh(now time.Time) bool {
	return p.short && now.Sub(p.refreshedAt) >= refreshInterval
}

// control adjusts the capacity. asked, used and excess are the sums of all customers' demand, use and use above their shares.
func (p *capacity) control(now time.Time, asked, used, excess float64) {
	p.decay(now)
	elapsed := float64(min(now.Sub(p.refreshedAt), maxRefreshInterval))
	switch {
	case p.work == 0:
		p.work = initialCapacity * used
	case p.pressure > shortPressure && excess <= excessFraction*p.work:
		p.work *= math.Exp(-elapsed / float64(shrinkPeriod))
	case p.pressure < reliefPressure:
		p.work *= math.Exp(elapsed / float64(growthPeriod))
	}
	p.refreshedAt = now
	if p.pressure < reliefPressure && p.work >= asked {
		p.short = false
	}
}

// refresh computes the capacity and the level; the caller holds mu.
func (c *Controller) refresh(now time.Time, instances int) {
	c.remote.expire(now)
	c.remote.limitHeaviest(c.ownAsked())
	state := &c.capacity
	state.fleetScale = max(float64(instances)/float64(1+len(c.remote.peers)), 1)
	unit := c.time.unit() * state.fleetScale
	others := c.ownOthers.askedTotal() + c.remote.others.askedTotal()
	othersUsed := c.ownOthers.usedTotal() + c.remote.others.usedTotal()
	askedSum, usedSum, excess := others*unit, othersUsed*unit, 0.0
	c.demands = c.demands[:0]
	add := func(asked, used float64) {
		if asked *= unit; asked < negligible {
			return
		}
		used *= unit
		askedSum += asked
		usedSum += used
		excess += max(used-state.level, 0)
		c.demands = append(c.demands, asked)
	}
	for customer, account := range c.own {
		asked, used := account.askedTotal(), account.usedTotal()
		if remote := c.remote.customers[customer]; remote != nil {
			asked += remote.askedTotal()
			used += remote.usedTotal()
		}
		add(asked, used)
	}
	for customer, remote := range c.remote.customers {
		if c.own[customer] == nil {
			add(remote.askedTotal(), remote.usedTotal())
		}
	}
	state.control(now, askedSum, usedSum, excess)
	state.level, state.over = math.Inf(1), 0
	if len(c.demands) < 2 || state.work == 0 {
		// A customer that is alone takes nothing from others.
		return
	}
	// The others are the smallest customers, so that they are below their shares.
	state.level = Level(c.demands, state.work-others*unit)
	for _, demand := range c.demands {
		if demand > state.level {
			state.over++
		}
	}
}

// ownAsked returns the demand at this instance; the caller holds mu.
func (c *Controller) ownAsked() float64 {
	sum := c.ownOthers.askedTotal()
	for _, account := range c.own {
		sum += account.askedTotal()
	}
	return sum
}
