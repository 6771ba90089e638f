// Package fairshare shares the capacity of a service between its customers while the service is short of it.
//
// Each customer with demand gets the same share, and what it leaves unused goes to the others (max-min fairness). Demand and use are
// decayed sums of work over all router instances. The package reads no clock and draws no random numbers: the caller passes both.
package fairshare

import (
	"math"
	"sync"
	"time"

	"vanillapond/pkg/ident"
)

// Limits of the state of a Controller.
const (
	// maxCustomers is the number of customers of which the sums of this instance, and those of all peers together, are kept. Smaller
	// ones are added up as others.
	maxCustomers = 256
	// maxPeers is the number of peers whose reports are kept. It is above the largest fleet, of 410 instances.
	maxPeers = 512
)

const (
	// decayPeriod is the time constant of the decaying sums.
	decayPeriod = 5 * time.Second
	// settlingTime is how long sums are collected before a request is refused because of them: otherwise the first requests after a start
	// would decide which customer is over its share.
	settlingTime = time.Second
	// floorFraction is the fraction of a customer's share that all its requests get alike. The rest goes to its most urgent ones first. Each kind of request is
	// guaranteed a quarter of the service that all get on average; the rest allows for requests that are admitted and then fail.
	floorFraction = 0.3
)

// Limits of the time to retry after.
const (
	// minRetryAfter is the shortest time: several round trips, so that the retries cause no significant load.
	minRetryAfter = 300 * time.Millisecond
	// maxRetryAfter is the longest time: by then the sums have been replaced by later ones.
	maxRetryAfter = decayPeriod
	// retryJitter is the largest fraction by which the time is extended, so that requests that are refused together do not return together.
	retryJitter = 0.5
)

// Request describes a request of a customer and the state of the best server for it.
type Request struct {
	Customer ident.Customer
	Priority PriorityLevel
	Work     Work
	// QueueDelay is how long the best server will prefill the prompts that are ahead of the request, Waited the time since the arrival of
	// the request, and Objective that for the time to the first event; an Objective of 0 means none.
	QueueDelay, Waited, Objective time.Duration
	// Instances is the number of router instances that are known to run, this one included; 0 means unknown.
	Instances int
	// Random is a random number between 0 and 1, for jitter.
	Random float64
}

// Decision is the decision on a request.
type Decision struct {
	// Refuse reports that the customer is over its share; RetryAfter is then the time to retry after.
	Refuse     bool
	RetryAfter time.Duration
	// Short reports whether the service is short of capacity, and BelowShare whether the customer then gets all that it asks for.
	Short, BelowShare bool
	// Fraction is the customer's use in relation to its share; 0 while the service is not short.
	Fraction float64
}

// Controller shares the capacity of one service between its customers.
//
// Load pattern: one or a few customers demand many times what they usually do. If each request were judged by its queue delay alone, all
// customers would be refused in proportion to their demand, and the requests of those with usual demand would be late. By refusing only what
// exceeds a customer's share, the others are served as before. Each instance admits the same fraction of a customer's demand, so that the
// decision does not depend on which instances the customer's requests arrive at, and does not switch with the age of peers' reports.
//
// It is safe for concurrent use.
type Controller struct {
	mu sync.Mutex
	// time is the reference of all sums; guarded by mu, as all fields below.
	time timeScale
	// own holds the sums of requests at this instance, at most maxCustomers, and ownOthers those of all other customers.
	own       map[ident.Customer]*sums
	ownOthers sums
	// startedAt is when the first request was counted; zero before.
	startedAt time.Time
	remote    remoteSums
	// outstanding is the work of this instance's admitted requests that have got no first event yet, and recent that of those that have got one.
	outstanding Work
	recent      recentWork

	capacity capacity
	// demands and sorted are the memory for computing the level, which is reused.
	demands []demand
	sorted  []float64

	// refusedCount counts the requests that were refused because of a share.
	refusedCount uint64
}

// New returns a controller that has counted nothing.
func New() *Controller {
	return &Controller{own: make(map[ident.Customer]*sums), remote: newRemoteSums()}
}

// Decide reports whether the customer of a request is over its share. The decision may be repeated while the request waits. The caller must call
// Admit if the request is then admitted, and Refused if it is refused for another reason. Demand is counted when a request is
// admitted or refused for its share; one that its caller repeats is a request of its own.
func (c *Controller) Decide(now time.Time, request Request) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	priority := request.Priority.clamped()
	account := c.account(now, request.Customer)
	c.capacity.observe(now, request)
	if c.capacity.needsRefresh(now) {
		c.refresh(now, request.Instances)
	}
	decision := c.decide(now, request, account)
	if decision.Refuse {
		account.asked[priority] += c.time.scaled(max(request.Work, 0))
		c.refusedCount++
	}
	return decision
}

// decide decides without the work of the request itself, so that its size makes no difference; the caller holds mu.
func (c *Controller) decide(now time.Time, request Request, account *sums) Decision {
	if !c.capacity.short {
		return Decision{}
	}
	priority := request.Priority.clamped()
	grant := c.grant(request.Customer, account, priority)
	decision := Decision{Short: true, BelowShare: grant.customer >= 1, Fraction: grant.used}
	if grant.customer >= 1 || now.Sub(c.startedAt) < settlingTime {
		return decision
	}
	fraction := grant.request
	if granted := fraction * account.asked[priority]; account.used[priority] > granted {
		decision.Refuse = true
		decision.RetryAfter = retryAfter(account.used[priority]/granted, fraction, request.Random)
	}
	return decision
}

// Admit counts the use of an admitted request. The caller must call Served or Dropped later with the same work.
func (c *Controller) Admit(now time.Time, request Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	account, priority, amount := c.account(now, request.Customer), request.Priority.clamped(), c.time.scaled(max(request.Work, 0))
	account.used[priority] += amount
	account.asked[priority] += amount
	c.outstanding += max(request.Work, 0)
}

// Refused records that admission refused a request for another reason than its customer's share: the service is short.
func (c *Controller) Refused(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	c.capacity.raise(now, 1)
}

// Served counts the work of an admitted request when its first event arrives.
func (c *Controller) Served(now time.Time, work Work) {
	work = max(work, 0)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	c.outstanding = max(c.outstanding-work, 0)
	c.recent.add(now, work)
}

// Dropped counts that a request that was admitted at the given time ended without a first event. If no server ran it, its use is taken back.
func (c *Controller) Dropped(now, admittedAt time.Time, request Request, ran bool) {
	work := max(request.Work, 0)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	c.outstanding = max(c.outstanding-work, 0)
	if account := c.own[request.Customer]; account != nil && !ran {
		used := &account.used[request.Priority.clamped()]
		*used = max(*used-c.time.scaled(work)*math.Exp(-float64(now.Sub(admittedAt))/float64(decayPeriod)), 0)
	}
}

// Status describes the state of a service.
type Status struct {
	// Short reports whether the service is short of capacity, and Over how many customers ask for more than their share.
	Short bool
	Over  int
	// Refused is the number of requests that were refused because of a share.
	Refused uint64
}

// Status returns the state of the service.
func (c *Controller) Status(now time.Time, instances int) Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	if c.capacity.needsRefresh(now) {
		c.refresh(now, instances)
	}
	status := Status{Short: c.capacity.short, Refused: c.refusedCount}
	if status.Short {
		status.Over = c.capacity.over
	}
	return status
}

// grant is what a customer may use.
type grant struct {
	// customer is the fraction of the customer's demand that is its share, and request that of its demand with the request's priority.
	customer, request float64
	// used is the customer's use in relation to its share.
	used float64
}

// grant returns what a customer may use of its demand with a priority; the caller holds mu.
func (c *Controller) grant(customer ident.Customer, account *sums, priority PriorityLevel) grant {
	unit, level := c.time.unit()*c.capacity.fleetScale, c.capacity.overLevel
	remote := c.remote.customers[customer]
	var total, moreUrgent, same, used float64
	for at := range account.asked {
		asked := account.asked[at]
		used += account.used[at]
		if remote != nil {
			asked += max(remote.asked[at], 0)
		}
		total += asked
		switch {
		case PriorityLevel(at) < priority:
			moreUrgent += asked
		case PriorityLevel(at) == priority:
			same = asked
		}
	}
	if remote != nil {
		used += remote.usedTotal()
	}
	total *= unit
	result := grant{customer: 1, request: 1, used: used * unit / c.capacity.level}
	if total <= c.capacity.level {
		return result
	}
	result.customer = level / total
	result.used = used * unit / level
	if same > 0 {
		byUrgency := ((1-floorFraction)*level - (1-floorFraction*result.customer)*moreUrgent*unit) / ((1 - floorFraction*result.customer) * same * unit)
		floor := floorFraction * result.customer
		result.request = floor + (1-floor)*min(max(byUrgency, 0), 1)
	}
	return result
}

// retryAfter returns the time to retry after for a customer that has used excess times what it may use, and of whose requests a fraction is
// admitted. By then the sums have decayed to what it may use, and on average one repetition in minRetryAfter is admitted.
func retryAfter(excess, fraction, random float64) time.Duration {
	after := max(float64(decayPeriod)*math.Log(excess), float64(minRetryAfter)/max(fraction, 1e-3))
	after = min(max(after, float64(minRetryAfter)), float64(maxRetryAfter))
	return time.Duration(after * (1 + retryJitter*random))
}
