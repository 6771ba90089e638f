package order

import (
	"container/heap"
	"slices"
	"strings"
	"time"

	"vanillapond/pkg/ident"
)

// Parts of a target.
const (
	// nearDeadlineDivisor makes a request due in the last such part of its target.
	nearDeadlineDivisor = 4
	// lightLoadDivisor makes a class light whose waiting service fits into such a part of the target.
	lightLoadDivisor = 2
)

// percent is the whole of the service.
const percent = 100

// idleCustomerAllowance is how many idle customers a class remembers before it forgets those without a lead.
const idleCustomerAllowance = 64

// class is the part of the queue that one class of requests has.
type class struct {
	id   ident.Class
	tier ident.Tier
	// floor is the least share of service while the class has demand, 0 to 1.
	floor float64
	// reservedCapacity are kept for the class beyond the shared ones.
	reservedCapacity int
	waiting          int
	// waitingCost is the forecast service of the waiting requests, in tokens.
	waitingCost float64
	// waitingWeight is the sum of the waiting customers' weights.
	waitingWeight float64
	// floorCredit is the service that the floor still owes, in tokens; never above 0 without demand.
	floorCredit float64
	// minCounter is the least counter that a customer with new demand has; it only goes up.
	minCounter float64
	// maxCounter is the greatest counter of any customer.
	maxCounter float64
	customers  map[ident.Customer]*customer
	// active holds the customers with waiting requests, least served first.
	active indexedHeap[*customer]
	// deadlines holds the waiting requests, the first to become late on top.
	deadlines indexedHeap[*Item]
}

// customer is one customer's part of a class.
type customer struct {
	id     ident.Customer
	class  *class
	weight float64
	// serviceCounter is the service received by weight, in tokens.
	serviceCounter float64
	// waitingCost is the forecast service of the waiting requests, in tokens.
	waitingCost float64
	running     int
	// queue holds the waiting requests, oldest first.
	queue []*Item
	// activeIndex is the place in the active heap; -1 outside of it.
	activeIndex int
}

func insertClass(sorted []*class, added *class) []*class {
	at, _ := slices.BinarySearchFunc(sorted, added, func(a, b *class) int { return strings.Compare(string(a.id), string(b.id)) })
	return slices.Insert(sorted, at, added)
}

// reservedCapacity returns how many places a class has of its own: as many as the shared ones, or none without a floor.
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

// nextItem returns the next request of the class: the least served customer's oldest, or one that is due.
//
// A request goes first by its time only where the class has so little waiting that nobody has to miss.
func (c *class) nextItem(now time.Time, rate float64) *Item {
	earliest := c.deadlines[0]
	target := earliest.StartBy.Sub(earliest.enqueuedAt)
	nearDeadline := earliest.StartBy.Sub(now) < target/nearDeadlineDivisor
	if nearDeadline && c.waitingCost <= rate*target.Seconds()/lightLoadDivisor {
		return earliest
	}
	return c.active[0].queue[0]
}

// advanceMinCounter notes that a customer is about to be charged for a start; where it left none waiting, no lead is held against any.
func (c *class) advanceMinCounter(owner *customer) {
	c.minCounter = max(c.minCounter, owner.serviceCounter)
	if c.waiting == 0 {
		c.minCounter = max(c.minCounter, c.maxCounter)
	}
}

// charge counts service for a customer in its class.
func (c *customer) charge(service float64) {
	c.serviceCounter += service / c.weight
	c.class.maxCounter = max(c.class.maxCounter, c.serviceCounter)
	if c.activeIndex >= 0 {
		heap.Fix(&c.class.active, c.activeIndex)
	}
}

// accrueFloorCredit gives the class its floor share of some service; without demand it only works off what was taken ahead.
func (c *class) accrueFloorCredit(service float64) {
	c.floorCredit += c.floor * service
	if c.waiting == 0 {
		c.floorCredit = min(c.floorCredit, 0)
	}
}

// spendFloorCredit takes service off the credit; service by tier takes no more than there is and is not given back.
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

// floorOwed reports whether the floor owes the class service.
func (c *class) floorOwed() bool { return c.waiting > 0 && c.floor > 0 && c.floorCredit > 0 }

// precedes orders classes by tier, then by the slack of their next request, then by age.
func (c *class) precedes(other *class) bool {
	if c.tier != other.tier {
		return c.tier < other.tier
	}
	return c.deadlines[0].less(other.deadlines[0])
}

// sharedWaiting returns how many of the class's requests wait beyond its floor places.
func (c *class) sharedWaiting() int { return max(c.waiting-c.reservedCapacity, 0) }

// newestOfLargestBacklog returns the newest request of the customer with the most waiting service by weight.
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

// evictIdle forgets idle customers that a new one would equal.
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
