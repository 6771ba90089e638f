package experiment

import (
	"math/rand/v2"
	"strconv"
	"time"

	"vanillapond/internal/request/admission"
	"vanillapond/internal/request/placement"
	"vanillapond/pkg/ident"
)

// decision is what becomes of a request at an entry.
type decision struct {
	engine int
	// refused says that it is not sent; returnAfter is when coming back may help.
	refused     bool
	returnAfter time.Duration
	// ticket is ended with the request; nil where the policy keeps none.
	ticket *placement.Attempt
}

// policy decides for all entries; each may know only what its entry has sent and was told.
type policy interface {
	decide(now time.Time, entry int, query placement.Query) decision
	// ended tells that a request has left its engine.
	ended(entry, engine int)
	// tell lets the entries exchange what they know.
	tell(now time.Time)
	// urgent says whether engines are told of urgency.
	urgent() bool
}

// Policies are the names of what can be compared: the decisions in force, without their admission, and plain ones.
var Policies = []string{"router", "router_without_admission", "least_outstanding", "strict_priority", "fifo_round_robin"}

// PolicyWithoutPriorityAdmission names the decisions of the landing before, in which ranks had no precedence in admission.
const PolicyWithoutPriorityAdmission = "router_without_precedence"

func newPolicy(name string, plan Plan, seed uint64) policy {
	switch name {
	case "router", "router_without_admission", PolicyWithoutPriorityAdmission:
		return newRouterPolicy(plan, seed, name)
	case "least_outstanding":
		return &leastOutstanding{counts: newCounts(plan)}
	case "strict_priority":
		return &leastOutstanding{counts: newCounts(plan), ranks: true}
	case "fifo_round_robin":
		return &roundRobin{next: make([]int, plan.Entries), engines: plan.Engines.Count}
	default:
		return nil
	}
}

// routerPolicy is what a router does.
type routerPolicy struct {
	boards      []*placement.Balancer
	precedences []admission.Controller
	random      *rand.Rand
	// admits says that requests are refused for want of room, and ranks that less urgent ones are given up first.
	admits, ranks bool
}

func newRouterPolicy(plan Plan, seed uint64, name string) *routerPolicy {
	p := &routerPolicy{
		precedences: make([]admission.Controller, plan.Entries),
		random:      rand.New(rand.NewPCG(seed, 1)), //nolint:gosec // Seeded on purpose.
		admits:      name != "router_without_admission", ranks: name != PolicyWithoutPriorityAdmission,
	}
	for entry := range plan.Entries {
		board := placement.New(seed + uint64(entry))
		board.Update(placement.Generation{Servers: 1}, func() []placement.Candidate {
			list := make([]placement.Candidate, plan.Engines.Count)
			for index := range list {
				list[index] = placement.Candidate{ID: engineID(index), Slots: plan.Engines.Slots, KVCapacity: plan.Engines.Memory}
			}
			return list
		})
		p.boards = append(p.boards, board)
	}
	return p
}

// engineID names an engine; the index is its end.
func engineID(index int) ident.Endpoint { return ident.Endpoint(strconv.Itoa(index)) }

func (p *routerPolicy) decide(now time.Time, entry int, query placement.Query) decision {
	choice, _ := p.boards[entry].Pick(now, query)
	engine, err := strconv.Atoi(string(choice.Server))
	if err != nil {
		return decision{refused: true}
	}
	if p.admits {
		request := admission.Request{QueueDelay: choice.QueueDelay, Objective: query.Objective, Random: p.random.Float64()}
		verdict := admission.Decide(request)
		if p.ranks {
			verdict = p.precedences[entry].Decide(now, admission.PriorityLevel(query.PriorityLevel), request)
		}
		if !verdict.Admit {
			return decision{refused: true, returnAfter: verdict.RetryAfter}
		}
	}
	return decision{engine: engine, ticket: p.boards[entry].StartAttempt(now, query, choice)}
}

func (p *routerPolicy) ended(int, int) {}

func (p *routerPolicy) tell(now time.Time) {
	for from, board := range p.boards {
		own := board.LocalLoad()
		for to, other := range p.boards {
			if from != to {
				other.UpdatePeer(now, ident.Process(strconv.Itoa(from)), own)
			}
		}
	}
}

func (p *routerPolicy) urgent() bool { return true }

// counts are an entry's own requests at each engine.
type counts [][]int

func newCounts(plan Plan) counts {
	all := make(counts, plan.Entries)
	for entry := range all {
		all[entry] = make([]int, plan.Engines.Count)
	}
	return all
}

// leastOutstanding takes the engine with the fewest of the entry's own requests, and refuses nothing.
type leastOutstanding struct {
	counts counts
	ranks  bool
}

func (p *leastOutstanding) decide(_ time.Time, entry int, _ placement.Query) decision {
	least := 0
	for engine, count := range p.counts[entry] {
		if count < p.counts[entry][least] {
			least = engine
		}
	}
	p.counts[entry][least]++
	return decision{engine: least}
}

func (p *leastOutstanding) ended(entry, engine int) { p.counts[entry][engine]-- }
func (p *leastOutstanding) tell(time.Time)          {}
func (p *leastOutstanding) urgent() bool            { return p.ranks }

// roundRobin takes the engines in turn, and refuses nothing.
type roundRobin struct {
	next    []int
	engines int
}

func (p *roundRobin) decide(_ time.Time, entry int, _ placement.Query) decision {
	p.next[entry] = (p.next[entry] + 1) % p.engines
	return decision{engine: p.next[entry]}
}

func (p *roundRobin) ended(int, int) {}
func (p *roundRobin) tell(time.Time) {}
func (p *roundRobin) urgent() bool   { return false }
