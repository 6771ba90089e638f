// Package comparison measures the decisions beside plain ones, over the same seeded arrivals.
package comparison

import (
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"vanillapond/internal/request/choice"
	"vanillapond/internal/request/forecast"
	"vanillapond/internal/request/order"
	"vanillapond/pkg/ident"
)

// The measured pool: engines of equal slots, each slot at a fixed rate.
const (
	timePerToken = 5 * time.Millisecond
	duration     = time.Minute
	entries      = 2
)

// largeCustomer is the customer with more than half of all requests.
const largeCustomer = ident.Customer("c0")

// seeds is how many seeds are run, from 1 up.
var seeds = flag.Uint64("seeds", 2, "how many seeds to run")

// pool is the measured capacity.
type pool struct{ engines, slots int }

// perSecond returns the capacity in tokens a second.
func (p pool) perSecond() float64 { return float64(p.engines*p.slots) / timePerToken.Seconds() }

// demand is a class's demand in shares of the pool's capacity.
type demand struct {
	class       ident.Class
	tier        ident.Tier
	floor       int
	utilization float64
	meanTokens  float64
	startTarget time.Duration
}

var steady = []demand{
	{"issuance", 0, 5, 0.1, 60, time.Second},
	{"chat", 2, 10, 0.15, 80, 2 * time.Second},
	{"drafting", 3, 20, 0.6, 300, 5 * time.Second},
}

// burst multiplies the demand of drafting so that all demand is so many times the capacity.
func burst(factor float64) []demand {
	demands := slices.Clone(steady)
	demands[2].utilization = factor - demands[0].utilization - demands[1].utilization
	return demands
}

// policySet are one way to decide.
type policySet struct {
	name   string
	order  func(order.Config) order.Policy
	choice func(entry int, seed uint64) choice.Policy
}

var policySets = []policySet{
	{"vanillapond", func(c order.Config) order.Policy { return order.New(c) }, func(entry int, seed uint64) choice.Policy {
		return choice.New(choice.Config{Entry: ident.Process(fmt.Sprintf("entry-%d", entry)), Seed: seed})
	}},
	{"fifo, round robin", func(c order.Config) order.Policy { return order.NewFIFO(c) }, func(int, uint64) choice.Policy { return choice.NewRoundRobin() }},
	{"fifo, least outstanding", func(c order.Config) order.Policy { return order.NewFIFO(c) }, func(int, uint64) choice.Policy { return choice.NewLeastOutstanding() }},
	{"strict priority, least outstanding", func(c order.Config) order.Policy { return order.NewStrictPriority(c) }, func(int, uint64) choice.Policy { return choice.NewLeastOutstanding() }},
}

// request is one request of the trial.
type request struct {
	at       time.Time
	entry    int
	demand   demand
	customer ident.Customer
	tokens   ident.Tokens
	item     *order.Item
	attempt  *choice.Attempt
	engine   ident.Endpoint
	onTime   bool
	started  bool
}

// event is a change at a time.
type event struct {
	at  time.Time
	seq int
	run func(now time.Time)
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(v any)   { *q = append(*q, v.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// engine is one endpoint with its order.
type engine struct {
	policy     order.Policy
	forecast   *forecast.Estimator
	requests   map[*order.Item]*request
	active     int
	slowdown   float64
	loadReport choice.LoadReport
}

type simulation struct {
	pool     pool
	engines  map[ident.Endpoint]*engine
	policies []choice.Policy
	events   eventQueue
	seq      int
}

func (s *simulation) schedule(when time.Time, run func(time.Time)) {
	s.seq++
	heap.Push(&s.events, event{when, s.seq, run})
}

// arrivals are the same for all ways: heavy-tailed lengths, a few large customers.
func arrivals(seed uint64, demands []demand, capacity float64) []*request {
	random := rand.New(rand.NewPCG(seed, 7))
	var requests []*request
	for _, demand := range demands {
		rate := demand.utilization * capacity / demand.meanTokens
		for at := random.ExpFloat64() / rate; at < duration.Seconds(); at += random.ExpFloat64() / rate {
			const sigma = 1.0
			tokens := demand.meanTokens * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2)
			customer := ident.Customer(fmt.Sprintf("c%d", random.IntN(10)))
			if random.IntN(2) == 0 {
				customer = largeCustomer
			}
			requests = append(requests, &request{
				at: time.Unix(0, 0).Add(time.Duration(at * float64(time.Second))), entry: random.IntN(entries), demand: demand,
				customer: customer, tokens: ident.Tokens(max(tokens, 1)),
			})
		}
	}
	slices.SortFunc(requests, func(a, b *request) int { return a.at.Compare(b.at) })
	return requests
}

func (s *simulation) arrive(now time.Time, c *request) {
	policy := s.policies[c.entry]
	c.attempt = policy.Pick(now, choice.Query{Class: c.demand.class, Streamed: true}, func(id ident.Endpoint) (choice.LoadReport, bool) {
		return s.engines[id].loadReport, true
	})
	c.engine = c.attempt.Endpoint
	engine := s.engines[c.engine]
	c.item = &order.Item{
		Customer: c.customer, Class: c.demand.class, Tier: c.demand.tier, Weight: 1, FloorPercent: c.demand.floor,
		StartBy: now.Add(c.demand.startTarget), Cost: engine.forecast.OutputTokens(c.demand.class, c.customer),
	}
	engine.requests[c.item] = c
	engine.active++
	s.apply(now, engine, engine.policy.Enqueue(now, c.item))
	s.apply(now, engine, engine.policy.Schedule(now))
	s.schedule(c.item.StartBy, func(now time.Time) { s.apply(now, engine, engine.policy.Schedule(now)) })
}

func (s *simulation) apply(now time.Time, engine *engine, decisions []order.Decision) {
	for _, decision := range decisions {
		c := engine.requests[decision.Item]
		if decision.Outcome != order.Started {
			engine.active--
			s.reportLoad(engine)
			s.policies[c.entry].End(now, c.attempt, choice.Neutral)
			continue
		}
		c.started = true
		c.onTime = !now.After(c.item.StartBy)
		s.policies[c.entry].Accepted(now, c.attempt)
		first := time.Duration(10 * engine.slowdown * float64(timePerToken))
		s.schedule(now.Add(first), func(now time.Time) { s.policies[c.entry].ResponseStarted(now, c.attempt) })
		took := time.Duration(float64(c.tokens) * engine.slowdown * float64(timePerToken))
		s.schedule(now.Add(max(took, first)), func(now time.Time) { s.finish(now, engine, c) })
	}
}

func (s *simulation) finish(now time.Time, engine *engine, c *request) {
	engine.active--
	s.reportLoad(engine)
	engine.policy.Finish(now, c.item, c.tokens)
	engine.forecast.ObserveOutputTokens(c.demand.class, c.customer, c.tokens)
	s.policies[c.entry].End(now, c.attempt, choice.Succeeded)
	s.apply(now, engine, engine.policy.Schedule(now))
}

// reportLoad carries the load on an answer.
func (s *simulation) reportLoad(engine *engine) {
	engine.loadReport = choice.LoadReport{Sequence: engine.loadReport.Sequence + 1, Busy: engine.active, Capacity: s.pool.slots}
}

// results are one trial's measures.
type results struct {
	attainment map[ident.Class]float64
	goodput    float64
	lateWork   float64
	// worstCustomer is the worst customer's attainment against the median; small leaves the customer with half of the demand out.
	worstCustomer float64
	worstSmall    float64
}

func simulate(policies policySet, seed uint64, pool pool, demands []demand, slow bool) results {
	s := &simulation{pool: pool, engines: make(map[ident.Endpoint]*engine)}
	var members []choice.Member
	for index := range pool.engines {
		id := ident.Endpoint(fmt.Sprintf("llm-%d", index))
		members = append(members, choice.Member{ID: id, Domain: ident.FailureDomain(fmt.Sprintf("d%d", index%4))})
		s.engines[id] = &engine{
			policy: policies.order(order.Config{Slots: pool.slots, SharedCapacity: pool.slots * 8}), forecast: forecast.New(),
			requests: make(map[*order.Item]*request), slowdown: 1, loadReport: choice.LoadReport{Sequence: 1, Capacity: pool.slots},
		}
	}
	for entry := range entries {
		policy := policies.choice(entry, seed)
		policy.Update(members)
		s.policies = append(s.policies, policy)
	}
	if slow {
		s.schedule(time.Unix(10, 0), func(time.Time) { s.engines["llm-3"].slowdown = 5 })
	}
	requests := arrivals(seed, demands, pool.perSecond())
	for _, c := range requests {
		s.schedule(c.at, func(now time.Time) { s.arrive(now, c) })
	}
	for len(s.events) > 0 {
		next := heap.Pop(&s.events).(event)
		next.run(next.at)
	}
	return summarize(requests, pool.perSecond())
}

func summarize(requests []*request, capacity float64) results {
	all, onTime := make(map[ident.Class]float64), make(map[ident.Class]float64)
	byCustomer, onTimeByCustomer := make(map[ident.Customer]float64), make(map[ident.Customer]float64)
	onTimeTokens, startedTokens := 0.0, 0.0
	for _, c := range requests {
		all[c.demand.class]++
		byCustomer[c.customer]++
		if c.started {
			startedTokens += float64(c.tokens)
		}
		if c.onTime {
			onTime[c.demand.class]++
			onTimeByCustomer[c.customer]++
			onTimeTokens += float64(c.tokens)
		}
	}
	result := results{attainment: make(map[ident.Class]float64)}
	for class := range all {
		result.attainment[class] = onTime[class] / all[class]
	}
	var shares, smallCustomers []float64
	for customer := range byCustomer {
		share := onTimeByCustomer[customer] / byCustomer[customer]
		shares = append(shares, share)
		if customer != largeCustomer {
			smallCustomers = append(smallCustomers, share)
		}
	}
	slices.Sort(shares)
	slices.Sort(smallCustomers)
	result.worstCustomer = shares[0] / max(shares[len(shares)/2], 0.001)
	result.worstSmall = smallCustomers[0] / max(smallCustomers[len(smallCustomers)/2], 0.001)
	result.goodput = onTimeTokens / (duration.Seconds() * capacity)
	result.lateWork = 1 - onTimeTokens/startedTokens
	return result
}

// TestComparison prints minimum/median/maximum over the seeds, and holds bounds of late work, goodput and the small customers.
func TestComparison(t *testing.T) {
	t.Parallel()
	for _, scenario := range []struct {
		name    string
		pool    pool
		demands []demand
		slow    bool
	}{
		{"8 engines of 4 slots, steady 0.85", pool{8, 4}, steady, false},
		{"8 engines of 4 slots, burst 2x", pool{8, 4}, burst(2), false},
		{"8 engines of 4 slots, burst 3x", pool{8, 4}, burst(3), false},
		{"8 engines of 4 slots, steady 0.85, one at a fifth", pool{8, 4}, steady, true},
		{"4 engines of 16 slots, burst 2x", pool{4, 16}, burst(2), false},
		{"4 engines of 16 slots, burst 3x", pool{4, 16}, burst(3), false},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			for _, policies := range policySets {
				var all []results
				for seed := uint64(1); seed <= *seeds; seed++ {
					all = append(all, simulate(policies, seed, scenario.pool, scenario.demands, scenario.slow))
				}
				t.Logf("%s: %s: issuance %s chat %s drafting %s goodput %s late work %s worst customer %s, but for the large %s", scenario.name, policies.name,
					minMedianMax(all, func(f results) float64 { return f.attainment["issuance"] }),
					minMedianMax(all, func(f results) float64 { return f.attainment["chat"] }),
					minMedianMax(all, func(f results) float64 { return f.attainment["drafting"] }),
					minMedianMax(all, func(f results) float64 { return f.goodput }),
					minMedianMax(all, func(f results) float64 { return f.lateWork }),
					minMedianMax(all, func(f results) float64 { return f.worstCustomer }), minMedianMax(all, func(f results) float64 { return f.worstSmall }))
				if policies.name != policySets[0].name {
					continue
				}
				for _, result := range all {
					if result.lateWork > 0.02 || result.goodput < 0.7 || result.worstSmall < 0.8 {
						t.Fatalf("found %+v, want at most 0.02 late work, 0.7 goodput or more, 0.8 for the worst small customer", result)
					}
				}
			}
		})
	}
}

func minMedianMax(all []results, value func(results) float64) string {
	var values []float64
	for _, result := range all {
		values = append(values, value(result))
	}
	slices.Sort(values)
	return fmt.Sprintf("%.3f/%.3f/%.3f", values[0], values[len(values)/2], values[len(values)-1])
}
