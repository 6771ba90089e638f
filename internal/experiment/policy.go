package experiment

import (
	"math/rand/v2"
	"strconv"
	"time"

	"vanillapond/internal/request/admission"
	"vanillapond/internal/request/placement"
	"vanillapond/pkg/ident"
)

// decision is an entry's decision on a request.
type decision struct {
	engine int
	// refused is set if the request is not sent; retryAfter is the delay after which a retry may succeed.
	refused    bool
	retryAfter time.Duration
	// attempt must be ended with the request; it is nil if the policy does not track attempts.
	attempt *placement.Attempt
	// level is the priority of the request at the engine.
	level placement.PriorityLevel
}

// policy makes the decisions of all entries. A decision may depend only on what its entry has sent and on the load reports that
// it has received.
type policy interface {
	// remaining is the time left until the deadline.
	decide(now time.Time, entry int, query placement.Query, remaining time.Duration) decision
	// requestEnded is called when a request that was sent to an engine has ended.
	requestEnded(entry, engine int)
	// exchangeLoads sends each entry's load report to the others; deliver applies it when it arrives.
	exchangeLoads(now time.Time, deliver func(apply func(now time.Time)))
	// usesPriorities reports whether requests carry their class's priority to the engines.
	usesPriorities() bool
}

// Policies lists the policies to compare: the router, the router without admission, and simple baselines.
var Policies = []string{"router", "router_without_admission", "least_outstanding", "strict_priority", "fifo_round_robin"}

// PolicyWithoutPriorityAdmission is the router without priority admission, as in an earlier version: each request is admitted on
// its own, and overload does not refuse those of lower priority first.
const PolicyWithoutPriorityAdmission = "router_without_precedence"

// PolicyCheapest is the router without load-aware routing, whatever the plan says. PolicyPerfectKnowledge is the router whose entries all know at once what
// the others have sent, as a bound for what better estimates can gain.
const (
	PolicyCheapest         = "router_cheapest"
	PolicyPerfectKnowledge = "router_perfect_knowledge"
)

func newPolicy(name string, plan Plan, seed uint64) policy {
	switch name {
	case "router", "router_without_admission", PolicyWithoutPriorityAdmission, PolicyCheapest, PolicyPerfectKnowledge:
		return newRouterPolicy(plan, seed, name)
	case "least_outstanding":
		return &leastOutstanding{outstanding: newOutstandingCounts(plan)}
	case "strict_priority":
		return &leastOutstanding{outstanding: newOutstandingCounts(plan), sendsPriority: true}
	case "fifo_round_robin":
		return &roundRobin{last: make([]int, plan.Entries), engines: plan.Engines.Count}
	default:
		return nil
	}
}

// routerPolicy runs the router's placement and admission code.
type routerPolicy struct {
	balancers   []*placement.Balancer
	levels      placement.Levels
	controllers []admission.Controller
	random      *rand.Rand
	// usesAdmission is set if requests are refused for lack of capacity, usesPriorityAdmission if those of lower priority are
	// refused first.
	usesAdmission, usesPriorityAdmission bool
}

func newRouterPolicy(plan Plan, seed uint64, name string) *routerPolicy {
	p := &routerPolicy{
		controllers: make([]admission.Controller, plan.Entries), levels: placement.Levels{Priorities: plan.priorities()},
		random:        rand.New(rand.NewPCG(seed, 1)), //nolint:gosec // The run must be reproducible from the seed.
		usesAdmission: name != "router_without_admission", usesPriorityAdmission: name != PolicyWithoutPriorityAdmission,
	}
	for entry := range plan.Entries {
		if name == PolicyPerfectKnowledge && entry > 0 {
			p.balancers = append(p.balancers, p.balancers[0])
			continue
		}
		balancer := placement.New(seed + uint64(entry))
		if plan.LoadAware && name != PolicyCheapest {
			balancer.Configure(plan.settings())
		}
		balancer.Update(placement.Generation{Servers: 1}, func() []placement.Candidate {
			candidates := make([]placement.Candidate, plan.Engines.Count)
			for index := range candidates {
				candidates[index] = placement.Candidate{ServerStart: ident.ServerStart{ID: engineID(index)}, Slots: plan.Engines.Slots, KVCapacity: plan.Engines.Memory}
			}
			return candidates
		})
		p.balancers = append(p.balancers, balancer)
	}
	return p
}

// engineID returns the ID of an engine, which is its index.
func engineID(index int) ident.Endpoint { return ident.Endpoint(strconv.Itoa(index)) }

func (p *routerPolicy) decide(now time.Time, entry int, query placement.Query, remaining time.Duration) decision {
	priority := admission.PriorityLevel(query.PriorityLevel)
	choice := p.pick(now, entry, &query, remaining)
	engine, err := strconv.Atoi(string(choice.Server))
	if err != nil {
		return decision{refused: true}
	}
	if p.usesAdmission {
		request := admission.Request{QueueDelay: choice.QueueDelay, StartIn: remaining - choice.Work.ToComplete, Random: p.random.Float64()}
		admissionDecision := admission.Decide(request)
		if p.usesPriorityAdmission {
			admissionDecision = p.controllers[entry].Decide(now, priority, request)
		}
		if !admissionDecision.Admit {
			return decision{refused: true, retryAfter: admissionDecision.RetryAfter}
		}
	}
	return decision{engine: engine, attempt: p.balancers[entry].StartAttempt(now, query, choice), level: query.PriorityLevel}
}

// pick picks an engine as the router does: requests that can't be in time come after those of the same priority that can.
func (p *routerPolicy) pick(now time.Time, entry int, query *placement.Query, remaining time.Duration) placement.Choice {
	priority := int(query.PriorityLevel)
	query.PriorityLevel = p.levels.Level(priority, false)
	choice, _ := p.balancers[entry].Pick(now, *query)
	if choice.QueueDelay+choice.Work.ToFirst > query.Objective {
		firstWithin := max(remaining-choice.Work.ToComplete+choice.Work.ToFirst, time.Millisecond)
		query.PriorityLevel, query.Objective, query.FirstWithin = p.levels.Level(priority, true), firstWithin, firstWithin
		choice, _ = p.balancers[entry].Pick(now, *query)
	}
	return choice
}

func (p *routerPolicy) requestEnded(int, int) {}

func (p *routerPolicy) exchangeLoads(now time.Time, deliver func(apply func(now time.Time))) {
	for from, balancer := range p.balancers {
		process := ident.Process(strconv.Itoa(from))
		localLoad := balancer.LocalLoad()
		report, loadAware := balancer.Report(now, placement.MaxMeasurements)
		speeds, hasSpeeds := balancer.SpeedReport(now)
		for _, other := range p.balancers {
			if balancer == other {
				continue
			}
			deliver(func(now time.Time) {
				other.UpdatePeer(now, process, localLoad)
				if loadAware {
					other.Merge(now, process, report)
				}
				if hasSpeeds {
					other.MergeSpeeds(now, process, speeds)
				}
			})
		}
	}
}

// priorities returns one more than the lowest priority of any class.
func (p *Plan) priorities() int {
	lowest := 0
	for _, class := range p.Classes {
		lowest = max(lowest, class.Priority)
	}
	return lowest + 1
}

// settings returns the settings of the plan's service when it is load-aware.
func (p *Plan) settings() placement.Settings {
	settings := placement.Settings{LoadAware: true, TokensPerEvent: p.Classes[0].EventTokens}
	for _, class := range p.Classes {
		pause := milliseconds(class.MaxPauseMS)
		if pause > 0 && (settings.ShortestPause == 0 || pause < settings.ShortestPause) {
			settings.ShortestPause = pause
		}
	}
	return settings
}

func (p *routerPolicy) usesPriorities() bool { return true }

// outstandingCounts holds, for each entry, the number of its requests at each engine.
type outstandingCounts [][]int

func newOutstandingCounts(plan Plan) outstandingCounts {
	counts := make(outstandingCounts, plan.Entries)
	for entry := range counts {
		counts[entry] = make([]int, plan.Engines.Count)
	}
	return counts
}

// leastOutstanding picks the engine with the fewest requests of the same entry, and never refuses.
type leastOutstanding struct {
	outstanding   outstandingCounts
	sendsPriority bool
}

func (p *leastOutstanding) decide(_ time.Time, entry int, _ placement.Query, _ time.Duration) decision {
	least := 0
	for engine, count := range p.outstanding[entry] {
		if count < p.outstanding[entry][least] {
			least = engine
		}
	}
	p.outstanding[entry][least]++
	return decision{engine: least}
}

func (p *leastOutstanding) requestEnded(entry, engine int)                 { p.outstanding[entry][engine]-- }
func (p *leastOutstanding) exchangeLoads(time.Time, func(func(time.Time))) {}
func (p *leastOutstanding) usesPriorities() bool                           { return p.sendsPriority }

// roundRobin picks the engines in turn, and never refuses.
type roundRobin struct {
	last    []int
	engines int
}

func (p *roundRobin) decide(_ time.Time, entry int, _ placement.Query, _ time.Duration) decision {
	p.last[entry] = (p.last[entry] + 1) % p.engines
	return decision{engine: p.last[entry]}
}

func (p *roundRobin) requestEnded(int, int)                          {}
func (p *roundRobin) exchangeLoads(time.Time, func(func(time.Time))) {}
func (p *roundRobin) usesPriorities() bool                           { return false }
