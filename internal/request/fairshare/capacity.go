package fairshare

import (
	"math"
	"time"
)

// Limits of the pressure, which is the queue delay of the best server as a fraction of the objective.
const (
	// shortPressure is the pressure from which on the service is short of capacity.
	shortPressure = 0.5
	// highPressure and lowPressure bound the pressure that is aimed at while the service is short. They are small, because the delay of the best
	// server is far below that of most servers, and less urgent requests wait for all more urgent ones that arrive later.
	highPressure = 0.02
	lowPressure  = 0.01
	// pressurePeriod is the time constant with which the pressure of the most delayed request decays: the time between two reports of peers in a
	// fleet of about 25 instances.
	pressurePeriod = 250 * time.Millisecond
)

// Control of the use by customers over their shares. While the service is short, the outstanding work is kept at a margin, as a fraction of
// the capacity: with a margin of 0.04, requests wait 0.2 s on average. The margin is adjusted to the pressure.
const (
	initialMargin = 0.04
	// marginShrink and marginGrowth are per second, under high and under low pressure. A change of the margin by 0.01 a second changes the
	// flow of requests by 0.05 of the capacity.
	marginShrink = 0.02
	marginGrowth = 0.01
	// minMargin is the outstanding work of engines that are busy without a queue, and maxMargin that of requests that wait half a second.
	minMargin = 0.003
	maxMargin = 0.1
	// The capacity that is shared is reduced by reductionRate a second while the pressure is above reducePressure, and restored below
	// restorePressure. With maxReduction, the servers have a quarter of their time for what is queued.
	reducePressure  = 0.25
	restorePressure = 0.1
	reductionRate   = 0.03
	maxReduction    = 0.25
	// retainedPeriod is the time constant with which the highest capacity seen is forgotten. It is long, so that the capacity is not taken for
	// less because less was asked for.
	retainedPeriod = time.Minute
	// leastCapacity is the least capacity when the service becomes short, as a fraction of the work in use: if nothing has got a first event
	// yet, such as after a start, all of the work is outstanding.
	leastCapacity = 0.5
	// overFraction is the least share of the customers that are over it, as a fraction of the level, while what they were admitted beyond it
	// is still queued.
	overFraction = 0.1
	// refreshInterval is the time between two computations of the shares, the shortest time between two reports of a peer.
	refreshInterval = 100 * time.Millisecond
	// maxRefreshInterval bounds the time for which one step of the control counts.
	maxRefreshInterval = time.Second
	// negligible is the least work of a customer that counts as demand.
	negligible = 1
)

// recentPeriod is the time constant of the recently served work. It is short, so that it reaches the capacity soon after the service has become
// short, and long enough to hold the requests of a second.
const recentPeriod = time.Second

// recentWork is the rate of the work that was served recently.
type recentWork struct {
	// amount is a sum with the time constant recentPeriod, as of at.
	amount float64
	at     time.Time
}

func (r *recentWork) add(now time.Time, work Work) {
	r.amount = r.current(now) + float64(work)
	r.at = now
}

func (r *recentWork) current(now time.Time) float64 {
	if elapsed := now.Sub(r.at); elapsed > 0 {
		return r.amount * math.Exp(-float64(elapsed)/float64(recentPeriod))
	}
	return r.amount
}

// perDecayPeriod returns the work that is served in decayPeriod at the recent rate.
func (r *recentWork) perDecayPeriod(now time.Time) float64 {
	return r.current(now) * float64(decayPeriod) / float64(recentPeriod)
}

// capacity estimates how much work the service does, while it is short, and how the customers share it.
type capacity struct {
	short bool
	// pressure is the highest pressure, decaying, as of observedAt.
	pressure   float64
	observedAt time.Time
	// margin is the outstanding work aimed at, as a fraction of highest.
	margin float64

	// reduction is by how much the capacity is less than highest, as a fraction, so that the queue becomes shorter.
	reduction float64
	// highest is the highest capacity seen, decaying with retainedPeriod.
	highest float64
	// level is the amount above which a customer's demand is over its share; infinite if there is none. overLevel is the share of each
	// customer over it, at most level: less while what was admitted beyond the capacity is still queued, but not less than any of the others uses.

	level, overLevel float64
	// fleetScale is by how much the sums of all instances exceed those of the instances that are heard; at least 1.
	fleetScale  float64
	refreshedAt time.Time
	// over is the number of customers over their share.
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
		*p = capacity{short: true, pressure: p.pressure, observedAt: p.observedAt, level: math.Inf(1), overLevel: math.Inf(1), fleetScale: 1}
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

// demand is what a customer asks for and what it was admitted for.
type demand struct{ asked, used float64 }

// fleetWork is the work of all customers and instances, as decaying sums.
type fleetWork struct {
	asked, used float64
	// outstanding is the admitted work without a first event; it does not decay.
	outstanding float64
	// recent is what would be served in decayPeriod at the recent rate.
	recent float64
}

// control adjusts the margin. It returns the capacity, and the work that may be in use.
func (p *capacity) control(now time.Time, work fleetWork) (capacity, allowed float64) {
	p.decay(now)
	if p.refreshedAt.IsZero() {
		p.refreshedAt, p.highest, p.margin = now, max(work.used-work.outstanding, leastCapacity*work.used), initialMargin
	}
	elapsed := min(now.Sub(p.refreshedAt), maxRefreshInterval)
	p.refreshedAt = now
	switch {
	case p.pressure > highPressure:
		p.margin = max(p.margin-marginShrink*elapsed.Seconds(), minMargin)
	case p.pressure < lowPressure:
		p.margin = min(p.margin+marginGrowth*elapsed.Seconds(), maxMargin)
	}
	p.highest = max(p.highest*math.Exp(-float64(elapsed)/float64(retainedPeriod)), work.recent)
	allowed = work.used + p.margin*p.highest - work.outstanding
	if p.pressure < highPressure && allowed >= work.asked {
		p.short = false
	}
	if p.pressure > shortPressure && p.highest >= work.asked {
		// More is outstanding than the servers can start in time, although the sums are below the highest capacity, such as early in a surge.
		return max(allowed, leastCapacity*work.used), allowed
	}
	switch {
	case p.pressure > reducePressure:
		p.reduction = min(p.reduction+reductionRate*elapsed.Seconds(), maxReduction)
	case p.pressure < restorePressure:
		p.reduction = max(p.reduction-reductionRate*elapsed.Seconds(), 0)
	}
	return p.highest * (1 - p.reduction), allowed
}

// refresh computes the capacity and the shares; the caller holds mu.
func (c *Controller) refresh(now time.Time, instances int) {
	c.remote.expire(now)
	c.remote.limitHeaviest(c.ownAsked())
	state := &c.capacity
	state.fleetScale = max(float64(instances)/float64(1+len(c.remote.peers)), 1)
	unit := c.time.unit() * state.fleetScale
	others := (c.ownOthers.askedTotal() + c.remote.others.askedTotal()) * unit
	othersUsed := (c.ownOthers.usedTotal() + c.remote.others.usedTotal()) * unit
	work := fleetWork{
		asked: others, used: othersUsed,
		outstanding: (float64(c.outstanding) + c.remote.outstanding()) * state.fleetScale,
		recent:      (c.recent.perDecayPeriod(now) + c.remote.recent()) * state.fleetScale,
	}
	c.demands = c.demands[:0]
	add := func(asked, used float64) {
		if asked*unit < negligible {
			return
		}
		work.asked += asked * unit
		work.used += used * unit
		c.demands = append(c.demands, demand{asked: asked * unit, used: used * unit})
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
	total, allowed := state.control(now, work)
	c.sorted = state.share(c.demands, c.sorted, max(total-others, overFraction*total), allowed-othersUsed)
}

// share computes the levels from the demands of the customers, the capacity that is left for them and the work that they may have in use. The
// memory for the sorted demands is returned for reuse.
func (p *capacity) share(demands []demand, sorted []float64, total, allowed float64) []float64 {
	p.level, p.overLevel, p.over = math.Inf(1), math.Inf(1), 0
	if len(demands) < 2 {
		// A customer that is alone takes nothing from others.
		return sorted
	}
	sorted = sorted[:0]
	for _, each := range demands {
		sorted = append(sorted, each.asked)
	}
	p.level = Level(sorted, total)
	mostUsed := overFraction * p.level

	for _, each := range demands {
		if each.asked > p.level {
			p.over++
		} else {
			allowed -= each.used
			mostUsed = max(mostUsed, each.used)
		}
	}
	if p.over > 0 {
		p.overLevel = min(max(allowed/float64(p.over), mostUsed), p.level)
	}
	return sorted
}

// ownAsked returns the demand at this instance; the caller holds mu.
func (c *Controller) ownAsked() float64 {
	sum := c.ownOthers.askedTotal()
	for _, account := range c.own {
		sum += account.askedTotal()
	}
	return sum
}
