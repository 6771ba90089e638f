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
	tokenTime = 5 * time.Millisecond
	length    = time.Minute
	entries   = 2
)

// large is the customer with more than half of all requests.
const large = ident.Customer("c0")

// seeds is how many seeds are run, from 1 up.
var seeds = flag.Uint64("seeds", 2, "how many seeds to run")

// pool is the measured capacity.
type pool struct{ engines, slots int }

// perSecond returns the capacity in tokens a second.
func (p pool) perSecond() float64 { return float64(p.engines*p.slots) / tokenTime.Seconds() }

// load is a class's demand in shares of the pool's capacity.
type load struct {
	class  ident.Class
	tier   ident.Tier
	floor  int
	share  float64
	mean   float64
	target time.Duration
}

var steady = []load{
	{"issuance", 0, 5, 0.1, 60, time.Second},
	{"chat", 2, 10, 0.15, 80, 2 * time.Second},
	{"drafting", 3, 20, 0.6, 300, 5 * time.Second},
}

// burst multiplies the demand of drafting so that all demand is so many times the capacity.
func burst(times float64) []load {
	loads := slices.Clone(steady)
	loads[2].share = times - loads[0].share - loads[1].share
	return loads
}

// policies are one way to decide.
type policies struct {
	name   string
	order  func(order.Config) order.Policy
	choice func(entry int, seed uint64) choice.Policy
}

var ways = []policies{
	{"vanillapond", func(c order.Config) order.Policy { return order.New(c) }, func(entry int, seed uint64) choice.Policy {
		return choice.New(choice.Config{Entry: ident.Process(fmt.Sprintf("entry-%d", entry)), Seed: seed})
	}},
	{"fifo, round robin", func(c order.Config) order.Policy { return order.NewFIFO(c) }, func(int, uint64) choice.Policy { return choice.NewRoundRobin() }},
	{"fifo, least outstanding", func(c order.Config) order.Policy { return order.NewFIFO(c) }, func(int, uint64) choice.Policy { return choice.NewLeastOutstanding() }},
	{"strict priority, least outstanding", func(c order.Config) order.Policy { return order.NewStrictPriority(c) }, func(int, uint64) choice.Policy { return choice.NewLeastOutstanding() }},
}

// call is one request of the trial.
type call struct {
	at       time.Time
	entry    int
	load     load
	customer ident.Customer
	tokens   ident.Tokens
	item     *order.Item
	attempt  *choice.Attempt
	engine   ident.Endpoint
	met      bool
	started  bool
}

// moment is a change at a time.
type moment struct {
	at  time.Time
	seq int
	run func(now time.Time)
}

type moments []moment

func (m moments) Len() int { return len(m) }
func (m moments) Less(i, j int) bool {
	return m[i].at.Before(m[j].at) || m[i].at.Equal(m[j].at) && m[i].seq < m[j].seq
}
func (m moments) Swap(i, j int) { m[i], m[j] = m[j], m[i] }
func (m *moments) Push(v any)   { *m = append(*m, v.(moment)) }
func (m *moments) Pop() any {
	last := (*m)[len(*m)-1]
	*m = (*m)[:len(*m)-1]
	return last
}

// engine is one endpoint with its order.
type engine struct {
	policy   order.Policy
	forecast *forecast.Estimator
	calls    map[*order.Item]*call
	busy     int
	slow     float64
	reading  choice.LoadReport
}

type trial struct {
	pool    pool
	engines map[ident.Endpoint]*engine
	entries []choice.Policy
	agenda  moments
	seq     int
}

func (tr *trial) at(when time.Time, run func(time.Time)) {
	tr.seq++
	heap.Push(&tr.agenda, moment{when, tr.seq, run})
}

// arrivals are the same for all ways: heavy-tailed lengths, a few large customers.
func arrivals(seed uint64, loads []load, capacity float64) []*call {
	random := rand.New(rand.NewPCG(seed, 7))
	var calls []*call
	for _, load := range loads {
		rate := load.share * capacity / load.mean
		for at := random.ExpFloat64() / rate; at < length.Seconds(); at += random.ExpFloat64() / rate {
			const sigma = 1.0
			tokens := load.mean * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2)
			customer := ident.Customer(fmt.Sprintf("c%d", random.IntN(10)))
			if random.IntN(2) == 0 {
				customer = large
			}
			calls = append(calls, &call{
				at: time.Unix(0, 0).Add(time.Duration(at * float64(time.Second))), entry: random.IntN(entries), load: load,
				customer: customer, tokens: ident.Tokens(max(tokens, 1)),
			})
		}
	}
	slices.SortFunc(calls, func(a, b *call) int { return a.at.Compare(b.at) })
	return calls
}

func (tr *trial) arrive(now time.Time, c *call) {
	policy := tr.entries[c.entry]
	c.attempt = policy.Pick(now, choice.Query{Class: c.load.class, Streamed: true}, func(id ident.Endpoint) (choice.LoadReport, bool) {
		return tr.engines[id].reading, true
	})
	c.engine = c.attempt.Endpoint
	engine := tr.engines[c.engine]
	c.item = &order.Item{
		Customer: c.customer, Class: c.load.class, Tier: c.load.tier, Weight: 1, FloorPercent: c.load.floor,
		StartBy: now.Add(c.load.target), Cost: engine.forecast.OutputTokens(c.load.class, c.customer),
	}
	engine.calls[c.item] = c
	engine.busy++
	tr.tell(now, engine, engine.policy.Enqueue(now, c.item))
	tr.tell(now, engine, engine.policy.Schedule(now))
	tr.at(c.item.StartBy, func(now time.Time) { tr.tell(now, engine, engine.policy.Schedule(now)) })
}

func (tr *trial) tell(now time.Time, engine *engine, verdicts []order.Decision) {
	for _, verdict := range verdicts {
		c := engine.calls[verdict.Item]
		if verdict.Outcome != order.Started {
			engine.busy--
			tr.read(engine)
			tr.entries[c.entry].End(now, c.attempt, choice.Neutral)
			continue
		}
		c.started = true
		c.met = !now.After(c.item.StartBy)
		tr.entries[c.entry].Accepted(now, c.attempt)
		first := time.Duration(10 * engine.slow * float64(tokenTime))
		tr.at(now.Add(first), func(now time.Time) { tr.entries[c.entry].ResponseStarted(now, c.attempt) })
		took := time.Duration(float64(c.tokens) * engine.slow * float64(tokenTime))
		tr.at(now.Add(max(took, first)), func(now time.Time) { tr.finish(now, engine, c) })
	}
}

func (tr *trial) finish(now time.Time, engine *engine, c *call) {
	engine.busy--
	tr.read(engine)
	engine.policy.Finish(now, c.item, c.tokens)
	engine.forecast.ObserveOutputTokens(c.load.class, c.customer, c.tokens)
	tr.entries[c.entry].End(now, c.attempt, choice.Succeeded)
	tr.tell(now, engine, engine.policy.Schedule(now))
}

// read carries the load on an answer.
func (tr *trial) read(engine *engine) {
	engine.reading = choice.LoadReport{Sequence: engine.reading.Sequence + 1, Busy: engine.busy, Capacity: tr.pool.slots}
}

// figures are one trial's measures.
type figures struct {
	attained map[ident.Class]float64
	goodput  float64
	wasted   float64
	// worst is the worst customer's attainment against the median; small leaves the customer with half of the demand out.
	worst float64
	small float64
}

func measure(way policies, seed uint64, pool pool, loads []load, slow bool) figures {
	tr := &trial{pool: pool, engines: make(map[ident.Endpoint]*engine)}
	var members []choice.Member
	for index := range pool.engines {
		id := ident.Endpoint(fmt.Sprintf("llm-%d", index))
		members = append(members, choice.Member{ID: id, Domain: ident.FailureDomain(fmt.Sprintf("d%d", index%4))})
		tr.engines[id] = &engine{
			policy: way.order(order.Config{Slots: pool.slots, SharedCapacity: pool.slots * 8}), forecast: forecast.New(),
			calls: make(map[*order.Item]*call), slow: 1, reading: choice.LoadReport{Sequence: 1, Capacity: pool.slots},
		}
	}
	for entry := range entries {
		policy := way.choice(entry, seed)
		policy.Update(members)
		tr.entries = append(tr.entries, policy)
	}
	if slow {
		tr.at(time.Unix(10, 0), func(time.Time) { tr.engines["llm-3"].slow = 5 })
	}
	calls := arrivals(seed, loads, pool.perSecond())
	for _, c := range calls {
		tr.at(c.at, func(now time.Time) { tr.arrive(now, c) })
	}
	for len(tr.agenda) > 0 {
		next := heap.Pop(&tr.agenda).(moment)
		next.run(next.at)
	}
	return count(calls, pool.perSecond())
}

func count(calls []*call, capacity float64) figures {
	all, met := make(map[ident.Class]float64), make(map[ident.Class]float64)
	byCustomer, metByCustomer := make(map[ident.Customer]float64), make(map[ident.Customer]float64)
	good, work := 0.0, 0.0
	for _, c := range calls {
		all[c.load.class]++
		byCustomer[c.customer]++
		if c.started {
			work += float64(c.tokens)
		}
		if c.met {
			met[c.load.class]++
			metByCustomer[c.customer]++
			good += float64(c.tokens)
		}
	}
	result := figures{attained: make(map[ident.Class]float64)}
	for class := range all {
		result.attained[class] = met[class] / all[class]
	}
	var shares, small []float64
	for customer := range byCustomer {
		share := metByCustomer[customer] / byCustomer[customer]
		shares = append(shares, share)
		if customer != large {
			small = append(small, share)
		}
	}
	slices.Sort(shares)
	slices.Sort(small)
	result.worst = shares[0] / max(shares[len(shares)/2], 0.001)
	result.small = small[0] / max(small[len(small)/2], 0.001)
	result.goodput = good / (length.Seconds() * capacity)
	result.wasted = 1 - good/work
	return result
}

// TestComparison prints minimum/median/maximum over the seeds, and holds bounds of late work, goodput and the small customers.
func TestComparison(t *testing.T) {
	t.Parallel()
	for _, setting := range []struct {
		name  string
		pool  pool
		loads []load
		slow  bool
	}{
		{"8 engines of 4 slots, steady 0.85", pool{8, 4}, steady, false},
		{"8 engines of 4 slots, burst 2x", pool{8, 4}, burst(2), false},
		{"8 engines of 4 slots, burst 3x", pool{8, 4}, burst(3), false},
		{"8 engines of 4 slots, steady 0.85, one at a fifth", pool{8, 4}, steady, true},
		{"4 engines of 16 slots, burst 2x", pool{4, 16}, burst(2), false},
		{"4 engines of 16 slots, burst 3x", pool{4, 16}, burst(3), false},
	} {
		t.Run(setting.name, func(t *testing.T) {
			t.Parallel()
			for _, way := range ways {
				var all []figures
				for seed := uint64(1); seed <= *seeds; seed++ {
					all = append(all, measure(way, seed, setting.pool, setting.loads, setting.slow))
				}
				t.Logf("%s: %s: issuance %s chat %s drafting %s goodput %s late work %s worst customer %s, but for the large %s", setting.name, way.name,
					spread(all, func(f figures) float64 { return f.attained["issuance"] }),
					spread(all, func(f figures) float64 { return f.attained["chat"] }),
					spread(all, func(f figures) float64 { return f.attained["drafting"] }),
					spread(all, func(f figures) float64 { return f.goodput }),
					spread(all, func(f figures) float64 { return f.wasted }),
					spread(all, func(f figures) float64 { return f.worst }), spread(all, func(f figures) float64 { return f.small }))
				if way.name != ways[0].name {
					continue
				}
				for _, one := range all {
					if one.wasted > 0.02 || one.goodput < 0.7 || one.small < 0.8 {
						t.Fatalf("found %+v, want at most 0.02 late work, 0.7 goodput or more, 0.8 for the worst small customer", one)
					}
				}
			}
		})
	}
}

func spread(all []figures, of func(figures) float64) string {
	var values []float64
	for _, one := range all {
		values = append(values, of(one))
	}
	slices.Sort(values)
	return fmt.Sprintf("%.3f/%.3f/%.3f", values[0], values[len(values)/2], values[len(values)-1])
}
