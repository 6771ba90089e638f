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

	sequence uint64
	offered  time.Time
	// expiry is the place in the class's heap of waiting requests; -1 outside of it.
	expiry   int
	class    *class
	customer *customer
	started  time.Time
	// charged is the service counted so far, in tokens.
	charged float64
	// floor says that the start was charged to the class's floor.
	floor bool
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
	// sorted holds the same classes by id, so that decisions do not depend on map order.
	sorted   []*class
	sequence uint64
	// running is at most config.Slots.
	running int
	waiting int
	speed   speed
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
	class := q.class(item)
	wait := q.wait(class, item)
	if now.Add(wait).After(item.StartBy) || !now.Before(item.StartBy) {
		return []Decision{{Item: item, Outcome: Late, Wait: wait}}
	}
	item.offered = now
	q.insert(class, item)
	if q.shared() <= q.config.SharedCapacity {
		return nil
	}
	victim := q.victim()
	q.remove(victim)
	if victim == item {
		return []Decision{{Item: item, Outcome: Full, Wait: wait}}
	}
	return []Decision{{Item: victim, Outcome: Displaced, Wait: q.wait(victim.class, victim)}}
}

// Schedule implements Policy.
func (q *Queue) Schedule(now time.Time) []Decision {
	var verdicts []Decision
	for _, class := range q.sorted {
		for class.waiting > 0 && !now.Before(class.expiry[0].StartBy) {
			late := class.expiry[0]
			q.remove(late)
			verdicts = append(verdicts, Decision{Item: late, Outcome: Late, Wait: q.wait(class, late)})
		}
	}
	for q.running < q.config.Slots && q.waiting > 0 {
		chosen, byFloor := q.next()
		item := chosen.head(now, q.speed.rate(q.config.Slots))
		q.remove(item)
		q.start(now, item, byFloor)
		verdicts = append(verdicts, Decision{Item: item, Outcome: Started, ByFloor: byFloor})
	}
	return verdicts
}

// Cancel implements Policy.
func (q *Queue) Cancel(_ time.Time, item *Item) bool {
	if item.expiry < 0 {
		return false
	}
	q.remove(item)
	return true
}

// Progress implements Policy; a lower figure than before changes nothing.
func (q *Queue) Progress(item *Item, service ident.Tokens) {
	if more := float64(service) - item.charged; more > 0 {
		q.charge(item, more)
	}
}

// Finish implements Policy.
func (q *Queue) Finish(now time.Time, item *Item, service ident.Tokens) {
	q.running--
	q.charge(item, float64(max(service, 1))-item.charged)
	q.speed.observe(item.charged, now.Sub(item.started))
	item.customer.running--
	item.class.sweep()
}

// class returns the item's class with the tier and floor that the item names.
func (q *Queue) class(item *Item) *class {
	found := q.classes[item.Class]
	if found == nil {
		found = &class{id: item.Class, customers: make(map[ident.Customer]*customer)}
		q.classes[item.Class] = found
		q.sorted = insertClass(q.sorted, found)
	}
	found.tier = item.Tier
	found.floor = float64(item.FloorPercent) / percent
	found.places = floorPlaces(q.config.SharedCapacity, item.FloorPercent)
	return found
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
	item.started = now
	item.floor = byFloor
	item.customer.running++
	item.class.served(item.customer)
	q.charge(item, float64(item.Cost))
}

// charge counts service for the customer and for the floors of all classes; service is negative in corrections.
func (q *Queue) charge(item *Item, service float64) {
	item.charged += service
	item.customer.charge(service)
	for _, class := range q.sorted {
		class.accrue(service)
	}
	item.class.pay(service, item.floor)
}

// next returns the class that is served next; the queue is not empty.
func (q *Queue) next() (chosen *class, byFloor bool) {
	for _, class := range q.sorted {
		if class.entitled() && (chosen == nil || class.before(chosen)) {
			chosen = class
		}
	}
	if chosen != nil {
		return chosen, true
	}
	for _, class := range q.sorted {
		if class.waiting > 0 && (chosen == nil || class.before(chosen)) {
			chosen = class
		}
	}
	return chosen, false
}

// shared returns how many requests wait beyond the floor places of their classes.
func (q *Queue) shared() int {
	total := 0
	for _, class := range q.sorted {
		total += class.shared()
	}
	return total
}

// victim returns the request that gives way: of the lowest tier with a shared place, the largest holder's newest.
func (q *Queue) victim() *Item {
	var lowest *class
	for _, class := range q.sorted {
		if class.shared() == 0 {
			continue
		}
		if lowest == nil || class.tier > lowest.tier || class.tier == lowest.tier && class.shared() > lowest.shared() {
			lowest = class
		}
	}
	return lowest.newestOfLargest()
}
