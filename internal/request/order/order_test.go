package order

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/pkg/ident"
)

const (
	seeds     = 20
	testSlots = 4
	maxCost   = 400
	// tokenTime is how long a slot takes for a token.
	tokenTime = 2 * time.Millisecond
)

// demand is a class with arrivals at a rate, spread over several entries.
type demand struct {
	class     ident.Class
	tier      ident.Tier
	floor     int
	perSecond float64
	target    time.Duration
}

// arrival is one request that an entry sends to the endpoint.
type arrival struct {
	at     time.Time
	entry  int
	item   *Item
	actual ident.Tokens
}

// trial runs a queue over the merged arrivals of all entries and keeps its own count of what happens.
type trial struct {
	t       *testing.T
	seed    uint64
	queue   *Queue
	demands map[ident.Class]demand
	waiting map[*Item]bool
	running []arrival
	byItem  map[*Item]arrival
	final   map[*Item]Outcome
	served  map[ident.Class]float64
	floors  map[ident.Class]float64
	total   float64
	// spans hold for each class the service at the start of its present span with demand.
	spans map[ident.Class]span
}

type span struct{ total, served float64 }

func arrivals(random *rand.Rand, demands []demand, entries int, length time.Duration) []arrival {
	var all []arrival
	start := time.Unix(0, 0)
	for entry := range entries {
		for _, demand := range demands {
			rate := demand.perSecond / float64(entries)
			for at := random.ExpFloat64() / rate; at < length.Seconds(); at += random.ExpFloat64() / rate {
				when := start.Add(time.Duration(at * float64(time.Second)))
				cost := ident.Tokens(1 + random.IntN(maxCost))
				all = append(all, arrival{at: when, entry: entry, actual: ident.Tokens(1 + random.IntN(maxCost)), item: &Item{
					Customer: ident.Customer(fmt.Sprintf("c%d", random.IntN(8))), Class: demand.class, Tier: demand.tier,
					Weight: 1 + random.IntN(3), FloorPercent: demand.floor, StartBy: when.Add(demand.target), Cost: cost,
				}})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return a.at.Compare(b.at) })
	return all
}

func run(t *testing.T, seed uint64, demands []demand, length time.Duration) *trial {
	t.Helper()
	const entries = 3
	trial := &trial{
		t: t, seed: seed, queue: New(Config{Slots: testSlots, SharedCapacity: 40}), demands: make(map[ident.Class]demand),
		waiting: make(map[*Item]bool), byItem: make(map[*Item]arrival), final: make(map[*Item]Outcome),
		served: make(map[ident.Class]float64), floors: make(map[ident.Class]float64), spans: make(map[ident.Class]span),
	}
	for _, demand := range demands {
		trial.demands[demand.class] = demand
	}
	all := arrivals(rand.New(rand.NewPCG(seed, seed)), demands, entries, length)
	for _, arrival := range all {
		trial.until(arrival.at)
		trial.offer(arrival)
	}
	trial.until(time.Unix(0, 0).Add(length + time.Hour))
	for _, arrival := range all {
		if trial.final[arrival.item] == "" {
			t.Fatalf("seed %d: a request of %s got no outcome", seed, arrival.item.Class)
		}
	}
	return trial
}

// until ends running requests, and lets time refuse the late, up to now.
func (tr *trial) until(now time.Time) {
	for {
		next := now
		ended := -1
		for index, running := range tr.running {
			if running.at.Before(next) {
				next, ended = running.at, index
			}
		}
		if due, found := tr.due(); found && due.Before(next) {
			tr.take(due)
			continue
		}
		if ended < 0 {
			return
		}
		done := tr.running[ended]
		tr.running = slices.Delete(tr.running, ended, ended+1)
		if done.item.floor {
			tr.floors[done.item.Class] += float64(done.actual - done.item.Cost)
		}
		tr.count(done.item, float64(done.actual-done.item.Cost))
		tr.queue.Finish(next, done.item, done.actual)
		tr.take(next)
	}
}

// due returns when the next waiting request becomes late.
func (tr *trial) due() (first time.Time, found bool) {
	for item := range tr.waiting {
		if !found || item.StartBy.Before(first) {
			first, found = item.StartBy, true
		}
	}
	return first, found
}

func (tr *trial) offer(arrival arrival) {
	item := arrival.item
	tr.byItem[item] = arrival
	tr.waiting[item] = true
	tr.verdicts(arrival.at, tr.queue.Enqueue(arrival.at, item))
	tr.take(arrival.at)
}

func (tr *trial) take(now time.Time) {
	tr.verdicts(now, tr.queue.Schedule(now))
	for class := range tr.demands {
		if tr.held(class) == 0 {
			delete(tr.spans, class)
		} else if _, found := tr.spans[class]; !found {
			tr.spans[class] = span{total: tr.total, served: tr.served[class]}
		}
	}
}

func (tr *trial) verdicts(now time.Time, verdicts []Decision) {
	for _, verdict := range verdicts {
		item := verdict.Item
		if tr.final[item] != "" {
			tr.t.Fatalf("seed %d: second outcome %s after %s", tr.seed, verdict.Outcome, tr.final[item])
		}
		tr.final[item] = verdict.Outcome
		delete(tr.waiting, item)
		switch verdict.Outcome {
		case Started:
			tr.started(now, verdict)
		case Full, Displaced:
			tr.shed(item)
		case Late:
		}
	}
}

// shed checks that no lower tier keeps a place that the refused request could have had.
func (tr *trial) shed(item *Item) {
	for class, demand := range tr.demands {
		if demand.tier > item.Tier && tr.held(class) > floorPlaces(40, demand.floor) {
			tr.t.Fatalf("seed %d: tier %d was shed while %s of tier %d held a shared place", tr.seed, item.Tier, class, demand.tier)
		}
	}
}

// started checks that a lower tier passes a waiting higher one by its floor alone, and never late.
func (tr *trial) started(now time.Time, verdict Decision) {
	item := verdict.Item
	if !now.Before(item.StartBy) {
		tr.t.Fatalf("seed %d: a request started after its time", tr.seed)
	}
	for other := range tr.waiting {
		if other.Tier < item.Tier && !verdict.ByFloor {
			tr.t.Fatalf("seed %d: tier %d started by tier before tier %d", tr.seed, item.Tier, other.Tier)
		}
	}
	arrival := tr.byItem[item]
	arrival.at = now.Add(time.Duration(arrival.actual) * tokenTime)
	tr.running = append(tr.running, arrival)
	if verdict.ByFloor {
		tr.floors[item.Class] += float64(item.Cost)
	}
	tr.count(item, float64(item.Cost))
	share := float64(tr.demands[item.Class].floor) / percent
	if over := tr.floors[item.Class] - share*tr.total; over > testSlots*2*maxCost {
		tr.t.Fatalf("seed %d: the floor of %s took %.0f tokens more than its share", tr.seed, item.Class, over)
	}
}

func (tr *trial) count(item *Item, service float64) {
	tr.total += service
	tr.served[item.Class] += service
	for class, span := range tr.spans {
		share := float64(tr.demands[class].floor) / percent
		owed := share*(tr.total-span.total) - (tr.served[class] - span.served)
		if owed > testSlots*2*maxCost {
			tr.t.Fatalf("seed %d: %s has demand and is %.0f tokens below its floor", tr.seed, class, owed)
		}
	}
}

// held counts the class's waiting requests.
func (tr *trial) held(class ident.Class) int {
	count := 0
	for item := range tr.waiting {
		if item.Class == class {
			count++
		}
	}
	return count
}

// TestTierOrderAndFloors holds over seeded arrivals from several entries: no higher tier is shed for a lower, no class starves.
func TestTierOrderAndFloors(t *testing.T) {
	t.Parallel()
	for name, demands := range map[string][]demand{
		"drafting burst": {
			{"issuance", 0, 10, 2, time.Second}, {"drafting", 2, 20, 40, 4 * time.Second}, {"chat", 4, 10, 6, 2 * time.Second},
		},
		"top tier burst": {
			{"issuance", 0, 10, 60, 2 * time.Second}, {"drafting", 2, 20, 5, 8 * time.Second}, {"chat", 4, 10, 5, 8 * time.Second},
		},
		"all burst, no floor left": {
			{"issuance", 0, 60, 30, 2 * time.Second}, {"drafting", 2, 30, 30, 4 * time.Second}, {"chat", 4, 10, 30, 4 * time.Second},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= seeds; seed++ {
				trial := run(t, seed, demands, time.Minute)
				for class, demand := range trial.demands {
					if share := trial.served[class] / trial.total; share*percent < 0.8*float64(demand.floor) && demand.tier > 0 {
						t.Fatalf("seed %d: %s got %.1f%% of the service, floor %d%%", seed, class, share*percent, demand.floor)
					}
				}
			}
		})
	}
}

// TestTopTierMeetsTarget holds that the top tier meets its target under any burst below it while its demand fits its capacity.
func TestTopTierMeetsTarget(t *testing.T) {
	t.Parallel()
	const goal = 0.99
	for seed := uint64(1); seed <= seeds; seed++ {
		trial := run(t, seed, []demand{
			{"issuance", 0, 0, 4, 2 * time.Second}, {"drafting", 2, 20, 60, 4 * time.Second}, {"chat", 4, 10, 20, 2 * time.Second},
		}, time.Minute)
		started, all := 0.0, 0.0
		for item, outcome := range trial.final {
			if item.Tier != 0 {
				continue
			}
			all++
			if outcome == Started {
				started++
			}
		}
		if started/all < goal {
			t.Fatalf("seed %d: %.3f of the top tier started in time, want %.2f", seed, started/all, goal)
		}
	}
}

// TestCustomerFairness holds that neither more requests nor longer outputs nor a pause buy more of a class.
func TestCustomerFairness(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	queue := New(Config{Slots: 1, SharedCapacity: 1000})
	now := time.Unix(0, 0)
	served := make(map[ident.Customer]float64)
	actual := map[ident.Customer]ident.Tokens{"many": 50, "long": 1600, "few": 50, "late": 50}
	weights := map[ident.Customer]int{"many": 1, "long": 1, "few": 2, "late": 1}
	backlog := map[ident.Customer]int{"many": 20, "long": 3, "few": 2, "late": 2}
	offer := func(customer ident.Customer) {
		queue.Enqueue(now, &Item{
			Customer: customer, Class: "drafting", Tier: 2, Weight: weights[customer], StartBy: now.Add(1000 * time.Hour), Cost: 50,
		})
	}
	for customer, count := range backlog {
		for range count {
			if customer != "late" {
				offer(customer)
			}
		}
	}
	for step := range 2000 {
		if step == 1000 {
			clear(served)
			offer("late")
			offer("late")
		}
		for _, verdict := range queue.Schedule(now) {
			item := verdict.Item
			if verdict.Outcome != Started {
				continue
			}
			served[item.Customer] += float64(actual[item.Customer])
			now = now.Add(time.Duration(actual[item.Customer]) * tokenTime)
			queue.Finish(now, item, actual[item.Customer])
			offer(item.Customer)
		}
	}
	least, greatest := float64(1<<40), 0.0
	for customer, service := range served {
		least = min(least, service/float64(weights[customer]))
		greatest = max(greatest, service/float64(weights[customer]))
	}
	t.Logf("service by customer: %v", served)
	is.Equal(len(served), 4)
	is.True(greatest-least <= 2*1600) // The spread is at most two of the longest outputs.
}

// TestFullQueueAcceptsSmallCustomer holds that a customer's backlog does not keep others of its class out.
func TestFullQueueAcceptsSmallCustomer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	queue := New(Config{Slots: 1, SharedCapacity: 10})
	now := time.Unix(0, 0)
	offer := func(customer ident.Customer) []Decision {
		return queue.Enqueue(now, &Item{Customer: customer, Class: "chat", Tier: 4, StartBy: now.Add(time.Hour), Cost: 10})
	}
	for range 10 {
		is.Equal(len(offer("large")), 0)
	}
	verdicts := offer("small")
	is.Equal(len(verdicts), 1)
	is.Equal(verdicts[0].Outcome, Displaced)
	is.Equal(verdicts[0].Item.Customer, ident.Customer("large"))
	is.Equal(offer("large")[0].Outcome, Full)
}

// TestRejectsWhenExpectedWaitTooLong holds that a request which cannot start in time is refused on arrival.
func TestRejectsWhenExpectedWaitTooLong(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	queue := New(Config{Slots: 1, SharedCapacity: 100})
	now := time.Unix(0, 0)
	item := func(tier ident.Tier, class ident.Class) *Item {
		return &Item{Customer: "c", Class: class, Tier: tier, StartBy: now.Add(3 * time.Second), Cost: 100}
	}
	first := item(2, "drafting")
	queue.Enqueue(now, first)
	queue.Schedule(now)
	now = now.Add(time.Second)
	queue.Finish(now, first, 100)
	for range 5 {
		is.Equal(len(queue.Enqueue(now, item(2, "drafting"))), 0)
		queue.Schedule(now)
	}
	is.Equal(queue.Enqueue(now, item(2, "drafting"))[0].Outcome, Late) // Four wait, each for a second.
	is.Equal(len(queue.Enqueue(now, item(0, "issuance"))), 0)          // What waits below does not count.
}
