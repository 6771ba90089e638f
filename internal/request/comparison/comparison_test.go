// Package comparison compares the scheduling and placement policies of the router with simple ones, on the same simulated
// load.
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

// The simulated pool: engines with equal numbers of slots, each of which generates tokens at a fixed rate.
const (
	timePerToken = 5 * time.Millisecond
	duration     = time.Minute
	entries      = 2
)

// largeCustomer is the customer with more than half of all requests.
const largeCustomer = ident.Customer("c0")

// seeds is the number of seeds to run; the first one is 1.
var seeds = flag.Uint64("seeds", 2, "how many seeds to run")

// pool is the simulated capacity.
type pool struct{ engines, slots int }

// perSecond returns the capacity in tokens per second.
func (p pool) perSecond() float64 { return float64(p.engines*p.slots) / timePerToken.Seconds() }

// demand is the load of a class; utilization is the load as a fraction of the pool's capacity, and startTarget is the longest
// wait after which a start is on time.
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

// burst returns the steady demands with more demand of the class drafting, so that the total demand is factor times the capacity.
func burst(factor float64) []demand {
	demands := slices.Clone(steady)
	demands[2].utilization = factor - demands[0].utilization - demands[1].utilization
	return demands
}

// policySet is a combination of a queueing policy and a placement policy.
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

// request is a simulated request.
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

// event is a state change of the simulation; seq orders events with the same time.
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

// engine is a simulated endpoint with its queue.
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

// arrivals returns the requests of the demands, which are the same for all policy sets: their lengths are heavy-tailed, and one
// customer sends more than half of them.
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

func (s *simulation) arrive(now time.Time, req *request) {
	policy := s.policies[req.entry]
	req.attempt = policy.Pick(
		now, choice.Query{Class: req.demand.class, Streamed: true},
		func(id ident.Endpoint) (choice.LoadReport, bool) { return s.engines[id].loadReport, true },
	)
	req.engine = req.attempt.Endpoint
	engine := s.engines[req.engine]
	req.item = &order.Item{
		Customer: req.customer, Class: req.demand.class, Tier: req.demand.tier, Weight: 1, FloorPercent: req.demand.floor,
		StartBy: now.Add(req.demand.startTarget), Cost: engine.forecast.OutputTokens(req.demand.class, req.customer),
	}
	engine.requests[req.item] = req
	engine.active++
	s.apply(now, engine, engine.policy.Enqueue(now, req.item))
	s.apply(now, engine, engine.policy.Schedule(now))
	s.schedule(req.item.StartBy, func(now time.Time) { s.apply(now, engine, engine.policy.Schedule(now)) })
}

func (s *simulation) apply(now time.Time, engine *engine, decisions []order.Decision) {
	for _, decision := range decisions {
		req := engine.requests[decision.Item]
		if decision.Outcome != order.Started {
			engine.active--
			s.reportLoad(engine)
			s.policies[req.entry].End(now, req.attempt, choice.Neutral)
			continue
		}
		req.started = true
		req.onTime = !now.After(req.item.StartBy)
		s.policies[req.entry].Accepted(now, req.attempt)
		first := time.Duration(10 * engine.slowdown * float64(timePerToken))
		s.schedule(now.Add(first), func(now time.Time) { s.policies[req.entry].ResponseStarted(now, req.attempt) })
		took := time.Duration(float64(req.tokens) * engine.slowdown * float64(timePerToken))
		s.schedule(now.Add(max(took, first)), func(now time.Time) { s.finish(now, engine, req) })
	}
}

func (s *simulation) finish(now time.Time, engine *engine, req *request) {
	engine.active--
	s.reportLoad(engine)
	engine.policy.Finish(now, req.item, req.tokens)
	engine.forecast.ObserveOutputTokens(req.demand.class, req.customer, req.tokens)
	s.policies[req.entry].End(now, req.attempt, choice.Succeeded)
	s.apply(now, engine, engine.policy.Schedule(now))
}

// reportLoad updates the load report of an engine, as carried by its responses.
func (s *simulation) reportLoad(engine *engine) {
	engine.loadReport = choice.LoadReport{Sequence: engine.loadReport.Sequence + 1, Busy: engine.active, Capacity: s.pool.slots}
}

// results are the measurements of one simulation.
type results struct {
	// attainment is the fraction of a class's requests that started on time.
	attainment map[ident.Class]float64
	// goodput is the output of requests that started on time, as a fraction of the pool's capacity.
	goodput float64
	// lateWork is the fraction of the output that was generated for requests that started late.
	lateWork float64
	// worstCustomer is the lowest attainment of any customer relative to the median; worstSmall leaves out largeCustomer.
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
	for _, req := range requests {
		s.schedule(req.at, func(now time.Time) { s.arrive(now, req) })
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
	for _, req := range requests {
		all[req.demand.class]++
		byCustomer[req.customer]++
		if req.started {
			startedTokens += float64(req.tokens)
		}
		if req.onTime {
			onTime[req.demand.class]++
			onTimeByCustomer[req.customer]++
			onTimeTokens += float64(req.tokens)
		}
	}
	result := results{attainment: make(map[ident.Class]float64)}
	for class := range all {
		result.attainment[class] = onTime[class] / all[class]
	}
	var attainments, smallAttainments []float64
	for customer := range byCustomer {
		attainment := onTimeByCustomer[customer] / byCustomer[customer]
		attainments = append(attainments, attainment)
		if customer != largeCustomer {
			smallAttainments = append(smallAttainments, attainment)
		}
	}
	slices.Sort(attainments)
	slices.Sort(smallAttainments)
	result.worstCustomer = attainments[0] / max(attainments[len(attainments)/2], 0.001)
	result.worstSmall = smallAttainments[0] / max(smallAttainments[len(smallAttainments)/2], 0.001)
	result.goodput = onTimeTokens / (duration.Seconds() * capacity)
	result.lateWork = 1 - onTimeTokens/startedTokens
	return result
}

// TestComparison logs the minimum/median/maximum over the seeds for each policy set, and checks bounds of late work, goodput
// and the attainment of small customers for the router's own policies.
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
				t.Logf("%s: %s: issuance %s chat %s drafting %s goodput %s late work %s worst customer %s, without the large one %s",
					scenario.name, policies.name,
					minMedianMax(all, func(r results) float64 { return r.attainment["issuance"] }),
					minMedianMax(all, func(r results) float64 { return r.attainment["chat"] }),
					minMedianMax(all, func(r results) float64 { return r.attainment["drafting"] }),
					minMedianMax(all, func(r results) float64 { return r.goodput }),
					minMedianMax(all, func(r results) float64 { return r.lateWork }),
					minMedianMax(all, func(r results) float64 { return r.worstCustomer }),
					minMedianMax(all, func(r results) float64 { return r.worstSmall }))
				if policies.name != policySets[0].name {
					continue
				}
				for _, result := range all {
					if result.lateWork > 0.02 || result.goodput < 0.7 || result.worstSmall < 0.8 {
						t.Fatalf("got %+v, want late work of at most 0.02, goodput of at least 0.7 and at least 0.8 for the worst small customer",
							result)
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
