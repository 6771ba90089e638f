package order

import (
	"container/heap"
	"slices"
	"strings"
	"time"

	"vanillapond/pkg/ident"
)

// percent converts percentages to fractions.
const percent = 100

// idleCustomerAllowance is how many more idle than active customers a class keeps before it evicts idle ones.
const idleCustomerAllowance = 64

// class holds the waiting requests and the service accounting of one request class.
type class struct {
	id   ident.Class
	tier ident.Tier
	// floor is the minimum share of service that the class gets while it has waiting requests, from 0 to 1.
	floor float64
	// reservedCapacity is the number of waiting requests that the class may have without using shared queue capacity.
	reservedCapacity int
	waiting          int
	// waitingCost is the forecast service of the waiting requests, in tokens.
	waitingCost float64
	// waitingWeight is the sum of the weights of customers with waiting requests.
	waitingWeight float64
	// floorCredit is how far the class's service is below its floor, in tokens; not above 0 while no request waits.
	floorCredit float64
	// minCounter is the lowest serviceCounter with which a customer becomes active, so that a customer gains no
	// claim to service by being idle; it never decreases.
	minCounter float64
	// maxCounter is the highest serviceCounter of any customer.
	maxCounter float64
	customers  map[ident.Customer]*customer
	// active holds the customers with waiting requests, lowest serviceCounter first.
	active indexedHeap[*customer]
	// deadlines holds the waiting requests, earliest start deadline first.
	deadlines indexedHeap[*Item]
	// byDeadline is working memory of allInTime.
	byDeadline []*Item
}

// customer holds the waiting requests and the service accounting of one customer in a class.
type customer struct {
	id     ident.Customer
	class  *class
	weight float64
	// serviceCounter is the service received divided by weight, in tokens: a virtual token counter for fair queueing.
	serviceCounter float64
	// waitingCost is the forecast service of the waiting requests, in tokens.
	waitingCost float64
	running     int
	// queue holds the waiting requests, oldest first.
	queue []*Item
	// activeIndex is the index in the active heap; -1 when not in the heap.
	activeIndex int
}

func insertClass(sorted []*class, added *class) []*class {
	at, _ := slices.BinarySearchFunc(sorted, added, func(a, b *class) int { return strings.Compare(string(a.id), string(b.id)) })
	return slices.Insert(sorted, at, added)
}

// reservedCapacity returns the queue capacity reserved for a class: equal to the shared capacity, or 0 without a floor.
func reservedCapacity(sharedCapacity, floorPercent int) int {
	if floorPercent == 0 {
		return 0
	}
	return sharedCapacity
}

func (c *class) insert(item *Item) {
	owner := c.customerFor(item)
	item.class = c
	item.customer = owner
	c.waiting++
	heap.Push(&c.deadlines, item)
	c.waitingCost += float64(item.Cost)
	owner.waitingCost += float64(item.Cost)
	owner.queue = append(owner.queue, item)
	if len(owner.queue) > 1 {
		return
	}
	owner.serviceCounter = max(owner.serviceCounter, c.minCounter)
	c.waitingWeight += owner.weight
	heap.Push(&c.active, owner)
}

func (c *class) customerFor(item *Item) *customer {
	state := c.customers[item.Customer]
	if state == nil {
		state = &customer{id: item.Customer, class: c, activeIndex: -1}
		c.customers[item.Customer] = state
	}
	if len(state.queue) == 0 {
		state.weight = float64(max(item.Weight, 1))
	}
	return state
}

func (c *class) remove(item *Item) {
	owner := item.customer
	heap.Remove(&c.deadlines, item.deadlineIndex)
	at := slices.Index(owner.queue, item)
	owner.queue = slices.Delete(owner.queue, at, at+1)
	owner.waitingCost -= float64(item.Cost)
	c.waitingCost -= float64(item.Cost)
	c.waiting--
	if len(owner.queue) == 0 {
		heap.Remove(&c.active, owner.activeIndex)
		c.waitingWeight -= owner.weight
	}
	if c.waiting == 0 {
		c.floorCredit = min(c.floorCredit, 0)
	}
}

// nextItem returns the next request of the class: the oldest one of the customer with the least service, or the one closest to its deadline.
//
// A deadline takes precedence over fairness only if its request would miss it otherwise, and no other one misses its own for it.
func (c *class) nextItem(now time.Time, rate float64) *Item {
	fair, earliest := c.active[0].queue[0], c.deadlines[0]
	if fair == earliest || rate <= 0 {
		return fair
	}
	serviceTime := func(cost float64) time.Duration { return time.Duration(cost / rate * float64(time.Second)) }
	if now.Add(serviceTime(float64(fair.Cost))).Before(earliest.StartBy) || !c.allInTime(now.Add(serviceTime(float64(earliest.Cost))), earliest, rate) {
		return fair
	}
	return earliest
}

// allInTime reports whether all waiting requests but one can start by their deadlines from a time on, at a service rate in tokens per second.
func (c *class) allInTime(from time.Time, except *Item, rate float64) bool {
	c.byDeadline = append(c.byDeadline[:0], c.deadlines...)
	slices.SortFunc(c.byDeadline, func(a, b *Item) int { return a.StartBy.Compare(b.StartBy) })
	ahead := 0.0
	for _, item := range c.byDeadline {
		if item == except {
			continue
		}
		if from.Add(time.Duration(ahead / rate * float64(time.Second))).After(item.StartBy) {
			return false
		}
		ahead += float64(item.Cost)
	}
	return true
}

// advanceMinCounter raises minCounter before a customer is charged for a start.
//
// If no request is left waiting, it rises to maxCounter, so that earlier service is not held against a customer in the next
// backlog.
func (c *class) advanceMinCounter(owner *customer) {
	c.minCounter = max(c.minCounter, owner.serviceCounter)
	if c.waiting == 0 {
		c.minCounter = max(c.minCounter, c.maxCounter)
	}
}

// charge adds service to the customer's counter.
func (c *customer) charge(service float64) {
	c.serviceCounter += service / c.weight
	c.class.maxCounter = max(c.class.maxCounter, c.serviceCounter)
	if c.activeIndex >= 0 {
		heap.Fix(&c.class.active, c.activeIndex)
	}
}

// accrueFloorCredit credits the class with its floor's share of some service.
//
// While no request waits, the credit only reduces a debt.
func (c *class) accrueFloorCredit(service float64) {
	c.floorCredit += c.floor * service
	if c.waiting == 0 {
		c.floorCredit = min(c.floorCredit, 0)
	}
}

// spendFloorCredit deducts service from the floor credit.
//
// Service by tier uses up credit but creates no debt, and a later correction does not restore the credit.
func (c *class) spendFloorCredit(service float64, byFloor bool) {
	switch {
	case byFloor:
		c.floorCredit -= service
	case service > 0:
		c.floorCredit = max(c.floorCredit-service, min(c.floorCredit, 0))
	}
	if c.waiting == 0 {
		c.floorCredit = min(c.floorCredit, 0)
	}
}

// isBelowFloor reports whether the class has waiting requests and has received less service than its floor guarantees.
func (c *class) isBelowFloor() bool { return c.waiting > 0 && c.floor > 0 && c.floorCredit > 0 }

// precedes reports whether the class is served before another: by tier, then by the earliest start deadline of the waiting
// requests, then by the age of the request with that deadline.
func (c *class) precedes(other *class) bool {
	if c.tier != other.tier {
		return c.tier < other.tier
	}
	return c.deadlines[0].less(other.deadlines[0])
}

// sharedWaiting returns how many of the class's waiting requests use shared queue capacity.
func (c *class) sharedWaiting() int { return max(c.waiting-c.reservedCapacity, 0) }

// newestOfLargestBacklog returns the newest request of the customer whose waiting requests have the highest cost divided by
// the customer's weight.
func (c *class) newestOfLargestBacklog() *Item {
	var largest *customer
	for _, owner := range c.active {
		if largest == nil || owner.hasLargerBacklog(largest) {
			largest = owner
		}
	}
	return largest.queue[len(largest.queue)-1]
}

func (c *customer) hasLargerBacklog(other *customer) bool {
	own, others := c.waitingCost/c.weight, other.waitingCost/other.weight
	if own != others {
		return own > others
	}
	return c.queue[len(c.queue)-1].sequence > other.queue[len(other.queue)-1].sequence
}

// evictIdle removes idle customers whose state is no different from that of a new customer.
func (c *class) evictIdle() {
	if len(c.customers) <= 2*len(c.active)+idleCustomerAllowance {
		return
	}
	for id, owner := range c.customers {
		if len(owner.queue) == 0 && owner.running == 0 && owner.serviceCounter <= c.minCounter {
			delete(c.customers, id)
		}
	}
}
