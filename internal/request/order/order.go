// Package order decides which request runs next at an endpoint and which one is refused.
//
// A Queue is a pure state machine: the caller gives the time and holds the lock.
package order

import (
	"time"

	"vanillapond/pkg/ident"
)

// Policy orders requests for the slots of one endpoint.
type Policy interface {
	// Enqueue takes a request; the verdicts name those refused for want of room or time.
	Enqueue(now time.Time, item *Item) []Decision
	// Schedule refuses those that are late and starts as many as there are free slots.
	Schedule(now time.Time) []Decision
	// Cancel takes a waiting request back and reports whether it was waiting.
	Cancel(now time.Time, item *Item) bool
	// Progress charges a running request for its service so far, in tokens.
	Progress(item *Item, service ident.Tokens)
	// Finish frees the slot of a running request and charges its service, in tokens.
	Finish(now time.Time, item *Item, service ident.Tokens)
}

// Outcome is what became of a request.
type Outcome string

// Outcomes of a request.
const (
	Started Outcome = "started"
	// Full says that no place is left for the request's tier.
	Full Outcome = "queue_full"
	// Displaced says that a waiting request gave its place to another.
	Displaced Outcome = "displaced"
	// Late says that the request can't start in time for its target.
	Late Outcome = "late"
)

// Decision tells the outcome of one request.
type Decision struct {
	Item    *Item
	Outcome Outcome
	// Wait is the expected wait of a like request that comes now.
	Wait time.Duration
	// ByFloor says that the class's floor, not its tier, brought the start.
	ByFloor bool
}

// Item is one request; its exported fields do not change after Offer.
type Item struct {
	Customer ident.Customer
	Class    ident.Class
	Tier     ident.Tier
	// Weight is the customer's share inside the class; at least 1.
	Weight int
	// FloorPercent is the class's least share of service while it has demand.
	FloorPercent int
	// StartBy is the last time at which a start meets the target.
	StartBy time.Time
	// Cost is the forecast of the service that the request takes, in tokens; at least 1.
	Cost ident.Tokens

	sequence   uint64
	enqueuedAt time.Time
	// deadlineIndex is the place in the class's heap of waiting requests; -1 outside of it.
	deadlineIndex int
	class         *class
	customer      *customer
	startedAt     time.Time
	// charged is the service counted so far, in tokens.
	charged float64
	// startedByFloor says that the start was charged to the class's floor.
	startedByFloor bool
}

// Config says how much an endpoint takes.
type Config struct {
	// Slots is how many requests run at a time; at least 1.
	Slots int
	// SharedCapacity bounds the waiting requests beyond the floor places of their classes.
	SharedCapacity int
}

// Queue is the tiered, fair policy.
type Queue struct {
	config  Config
	classes map[ident.Class]*class
	// sortedClasses holds the same classes by id, so that decisions do not depend on map order.
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

// Waiting returns how many requests wait.
func (q *Queue) Waiting() int { return q.waiting }

// Running returns how many requests run.
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

// Progress implements Policy; a lower figure than before changes nothing.
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

// classFor returns the item's class with the tier and floor that the item names.
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

// start charges the forecast at once, so that the next decision counts it.
func (q *Queue) start(now time.Time, item *Item, byFloor bool) {
	q.running++
	item.startedAt = now
	item.startedByFloor = byFloor
	item.customer.running++
	item.class.advanceMinCounter(item.customer)
	q.charge(item, float64(item.Cost))
}

// charge counts service for the customer and for the floors of all classes; service is negative in corrections.
func (q *Queue) charge(item *Item, service float64) {
	item.charged += service
	item.customer.charge(service)
	for _, class := range q.sortedClasses {
		class.accrueFloorCredit(service)
	}
	item.class.spendFloorCredit(service, item.startedByFloor)
}

// nextClass returns the class that is served next; the queue is not empty.
func (q *Queue) nextClass() (chosen *class, byFloor bool) {
	for _, class := range q.sortedClasses {
		if class.floorOwed() && (chosen == nil || class.precedes(chosen)) {
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

// sharedWaiting returns how many requests wait beyond the floor places of their classes.
func (q *Queue) sharedWaiting() int {
	total := 0
	for _, class := range q.sortedClasses {
		total += class.sharedWaiting()
	}
	return total
}

// evictionCandidate returns the request that gives way: of the lowest tier with a shared place, the largest holder's newest.
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
