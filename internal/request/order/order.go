// Package order schedules requests at an endpoint: it decides which request starts next and which ones are rejected.
//
// Service is measured in tokens. Classes are served by tier, from the highest, 0, to the lowest, except that a class's floor
// guarantees it a minimum share of service. Within a class, customers share service by weight.
package order

import (
	"time"

	"vanillapond/pkg/ident"
)

// Policy schedules requests on the slots of one endpoint.
type Policy interface {
	// Enqueue adds a request. It returns a decision for each request that is rejected for lack of queue capacity or time.
	Enqueue(now time.Time, item *Item) []Decision
	// Schedule rejects requests past their start deadline, then starts requests while there are free slots.
	Schedule(now time.Time) []Decision
	// Cancel removes a waiting request and reports whether it was waiting.
	Cancel(now time.Time, item *Item) bool
	// Progress charges a running request for its service so far, in tokens.
	Progress(item *Item, service ident.Tokens)
	// Finish frees the slot of a running request and charges its total service, in tokens.
	Finish(now time.Time, item *Item, service ident.Tokens)
}

// Outcome is the result of scheduling a request.
type Outcome string

// Outcomes of requests.
const (
	Started Outcome = "started"
	// Full means that no queue capacity was available for a request of this tier.
	Full Outcome = "queue_full"
	// Displaced means that the request was waiting and was evicted in favour of another one.
	Displaced Outcome = "displaced"
	// Late means that the request cannot start in time to meet its latency target.
	Late Outcome = "late"
)

// Decision is the scheduling decision on one request.
type Decision struct {
	Item    *Item
	Outcome Outcome
	// Wait is the expected wait of a similar request that arrives now.
	Wait time.Duration
	// ByFloor reports whether the request started because its class was below its floor, and not because of its tier.
	ByFloor bool
}

// Item is one request. Its exported fields must not change after Enqueue.
type Item struct {
	Customer ident.Customer
	Class    ident.Class
	Tier     ident.Tier
	// Weight is the customer's share of service relative to other customers of the class; at least 1.
	Weight int
	// FloorPercent is the minimum share of service that the class gets while it has waiting requests.
	FloorPercent int
	// StartBy is the start deadline: the latest start that still meets the latency target.
	StartBy time.Time
	// Cost is the forecast service of the request, in tokens; at least 1.
	Cost ident.Tokens

	sequence   uint64
	enqueuedAt time.Time
	// deadlineIndex is the index in the class's heap of waiting requests; -1 when not in the heap.
	deadlineIndex int
	class         *class
	customer      *customer
	startedAt     time.Time
	// charged is the service charged so far, in tokens.
	charged float64
	// startedByFloor reports whether the request is charged to its class's floor.
	startedByFloor bool
}

// Config is the capacity of an endpoint and its queue.
type Config struct {
	// Slots is the number of requests that run concurrently; at least 1.
	Slots int
	// SharedCapacity is the queue capacity shared by all classes, in requests, beyond the capacity reserved for classes with a floor.
	SharedCapacity int
}

// Queue is a policy with tiers, minimum shares of service for classes and fairness between the customers of a class.
//
// It has no clock and no lock of its own: the caller passes the current time and serializes calls.
type Queue struct {
	config  Config
	classes map[ident.Class]*class
	// sortedClasses holds the same classes sorted by id, so that decisions do not depend on map order.
	sortedClasses []*class
	sequence      uint64
	// running is at most config.Slots.
	running    int
	waiting    int
	throughput throughput
}

// New returns an empty queue.
func New(config Config) *Queue {
	return &Queue{config: config, classes: make(map[ident.Class]*class)}
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return q.waiting }

// Running returns the number of running requests.
func (q *Queue) Running() int { return q.running }

// Enqueue implements Policy.
func (q *Queue) Enqueue(now time.Time, item *Item) []Decision {
	class := q.classFor(item)
	wait := q.expectedWait(class, item)
	if now.Add(wait).After(item.StartBy) || !now.Before(item.StartBy) {
		return []Decision{{Item: item, Outcome: Late, Wait: wait}}
	}
	item.enqueuedAt = now
	q.insert(class, item)
	if q.sharedWaiting() <= q.config.SharedCapacity {
		return nil
	}
	evicted := q.evictionCandidate()
	q.remove(evicted)
	if evicted == item {
		return []Decision{{Item: item, Outcome: Full, Wait: wait}}
	}
	return []Decision{{Item: evicted, Outcome: Displaced, Wait: q.expectedWait(evicted.class, evicted)}}
}

// Schedule implements Policy.
func (q *Queue) Schedule(now time.Time) []Decision {
	var decisions []Decision
	for _, class := range q.sortedClasses {
		for class.waiting > 0 && !now.Before(class.deadlines[0].StartBy) {
			expired := class.deadlines[0]
			q.remove(expired)
			decisions = append(decisions, Decision{Item: expired, Outcome: Late, Wait: q.expectedWait(class, expired)})
		}
	}
	for q.running < q.config.Slots && q.waiting > 0 {
		chosen, byFloor := q.nextClass()
		item := chosen.nextItem(now, q.throughput.rate(q.config.Slots))
		q.remove(item)
		q.start(now, item, byFloor)
		decisions = append(decisions, Decision{Item: item, Outcome: Started, ByFloor: byFloor})
	}
	return decisions
}

// Cancel implements Policy.
func (q *Queue) Cancel(_ time.Time, item *Item) bool {
	if item.deadlineIndex < 0 {
		return false
	}
	q.remove(item)
	return true
}

// Progress implements Policy. A service below the amount already charged has no effect.
func (q *Queue) Progress(item *Item, service ident.Tokens) {
	if increment := float64(service) - item.charged; increment > 0 {
		q.charge(item, increment)
	}
}

// Finish implements Policy.
func (q *Queue) Finish(now time.Time, item *Item, service ident.Tokens) {
	q.running--
	q.charge(item, float64(max(service, 1))-item.charged)
	q.throughput.observe(item.charged, now.Sub(item.startedAt))
	item.customer.running--
	item.class.evictIdle()
}

// classFor returns the item's class, updated with the item's tier and floor.
func (q *Queue) classFor(item *Item) *class {
	state := q.classes[item.Class]
	if state == nil {
		state = &class{id: item.Class, customers: make(map[ident.Customer]*customer)}
		q.classes[item.Class] = state
		q.sortedClasses = insertClass(q.sortedClasses, state)
	}
	state.tier = item.Tier
	state.floor = float64(item.FloorPercent) / percent
	state.reservedCapacity = reservedCapacity(q.config.SharedCapacity, item.FloorPercent)
	return state
}

func (q *Queue) insert(class *class, item *Item) {
	q.sequence++
	item.sequence = q.sequence
	class.insert(item)
	q.waiting++
}

func (q *Queue) remove(item *Item) {
	item.class.remove(item)
	q.waiting--
}

// start marks the item as running and charges its forecast cost at once, so that the next decision takes it into account.
func (q *Queue) start(now time.Time, item *Item, byFloor bool) {
	q.running++
	item.startedAt = now
	item.startedByFloor = byFloor
	item.customer.running++
	item.class.advanceMinCounter(item.customer)
	q.charge(item, float64(item.Cost))
}

// charge adds service to the customer and to the floor accounting of all classes; corrections may be negative.
func (q *Queue) charge(item *Item, service float64) {
	item.charged += service
	item.customer.charge(service)
	for _, class := range q.sortedClasses {
		class.accrueFloorCredit(service)
	}
	item.class.spendFloorCredit(service, item.startedByFloor)
}

// nextClass returns the class to serve next: one below its floor if there is any, otherwise the one of the highest tier.
//
// At least one request must be waiting.
func (q *Queue) nextClass() (chosen *class, byFloor bool) {
	for _, class := range q.sortedClasses {
		if class.isBelowFloor() && (chosen == nil || class.precedes(chosen)) {
			chosen = class
		}
	}
	if chosen != nil {
		return chosen, true
	}
	for _, class := range q.sortedClasses {
		if class.waiting > 0 && (chosen == nil || class.precedes(chosen)) {
			chosen = class
		}
	}
	return chosen, false
}

// sharedWaiting returns how many waiting requests use shared queue capacity.
func (q *Queue) sharedWaiting() int {
	total := 0
	for _, class := range q.sortedClasses {
		total += class.sharedWaiting()
	}
	return total
}

// evictionCandidate returns the waiting request to evict: in the lowest tier that uses shared capacity, the newest request of
// the customer with the largest backlog.
func (q *Queue) evictionCandidate() *Item {
	var lowest *class
	for _, class := range q.sortedClasses {
		if class.sharedWaiting() == 0 {
			continue
		}
		if lowest == nil || class.tier > lowest.tier || class.tier == lowest.tier && class.sharedWaiting() > lowest.sharedWaiting() {
			lowest = class
		}
	}
	return lowest.newestOfLargestBacklog()
}
