package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/request/admission"
	"vanillapond/internal/request/placement"
	"vanillapond/pkg/ident"
)

// Figures of the replayed engines: those of the deployments that the router was built for.
const (
	prefillRate        = 42.8 // Prompt tokens in a millisecond.
	commonPrefixTokens = 2500 // Tokens of the part that a quarter of all subjects share.
	groupPrefixTokens  = 3800 // Tokens of a subject's own part.
	meanOwnTokens      = 2900 // Tokens of the request's own part, on the mean.
	prefixGroups       = 120
	engineCount        = 12 // Engines.
	instances          = 4
	reportInterval     = 100 * time.Millisecond
	replayDuration     = 20 * time.Second
	targetUtilization  = 0.85 // The part of the engines' time that the load takes if no shared part is read twice.
	objective          = 1500 * time.Millisecond
	firstEventDelay    = 15 * time.Millisecond // From the end of reading to the first event at the entry.
)

// engine reads prompts one after another and keeps their parts for good.
type engine struct {
	freeAt time.Time
	cached map[uint64]bool
}

// outcome is what a replay comes to.
type outcome struct {
	requests, inTime int
	// recomputed counts shared tokens that were read at one engine although another had read them before.
	recomputed, shared float64
}

// arrival is one request of the replayed load.
type arrival struct {
	at       time.Time
	instance int
	query    placement.Query
}

// generateArrivals returns long prompts in a burst that takes a part of the engines' time if no shared part is read twice.
func generateArrivals(seed uint64, utilization float64) []arrival {
	random := rand.New(rand.NewPCG(seed, seed))
	perSecond := utilization * engineCount * prefillRate * 1000 / meanOwnTokens
	var arrivals []arrival
	for at := start; at.Sub(start) < replayDuration; {
		at = at.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		group := uint64(random.IntN(prefixGroups))
		own := ident.Tokens(random.ExpFloat64() * meanOwnTokens)
		arrivals = append(arrivals, arrival{at: at, instance: random.IntN(instances), query: placement.Query{
			Engine: true, PriorityLevel: 2, Prompt: commonPrefixTokens + groupPrefixTokens + own, Output: 50, Objective: objective, MaxPause: 600 * time.Millisecond,
			Parts: []placement.Part{{PrefixHash: group % 4, Tokens: commonPrefixTokens}, {PrefixHash: 1000 + group, Tokens: groupPrefixTokens}},
		}})
	}
	return arrivals
}

// pickFunc picks an engine for a request of an entry.
type pickFunc func(boards []*placement.Balancer, each arrival) placement.Choice

// pickByBalancer is the policy in force.
func pickByBalancer(balancers []*placement.Balancer, each arrival) placement.Choice {
	choice, _ := balancers[each.instance].Pick(each.at, each.query)
	return choice
}

// pickByBacklog takes the engine with the least to read, as far as the entry knows, whatever engines hold.
func pickByBacklog(balancers []*placement.Balancer, each arrival) placement.Choice {
	query := each.query
	query.Parts = nil
	choice, _ := balancers[each.instance].Pick(each.at, query)
	return choice
}

// replay plays a load over engines that read prompts one after another; admit says whether a request goes to its engine.
func replay(arrivals []arrival, pick pickFunc, admit func(placement.Choice) bool) outcome {
	balancers := make([]*placement.Balancer, instances)
	for index := range balancers {
		balancers[index] = withCandidates(placement.New(uint64(index)), engines(engineCount))
	}
	state := make(map[ident.Endpoint]*engine)
	for _, candidate := range engines(engineCount) {
		state[candidate.ID] = &engine{cached: make(map[uint64]bool)}
	}
	type running struct {
		attempt      *placement.Attempt
		firstEventAt time.Time
	}
	var inFlight []running
	prefilledOnce := make(map[uint64]bool)
	reportedAt := start
	var result outcome
	for _, each := range arrivals {
		remaining := inFlight[:0]
		for _, request := range inFlight {
			if request.firstEventAt.After(each.at) {
				remaining = append(remaining, request)
				continue
			}
			request.attempt.FirstEvent(request.firstEventAt)
			request.attempt.End(request.firstEventAt, placement.Succeeded)
		}
		inFlight = remaining
		if each.at.Sub(reportedAt) > reportInterval {
			reportedAt = each.at
			for from, balancer := range balancers {
				for to, other := range balancers {
					if from != to {
						other.UpdatePeer(each.at, ident.Process(fmt.Sprint(from)), balancer.LocalLoad())
					}
				}
			}
		}
		choice := pick(balancers, each)
		result.requests++
		if !admit(choice) {
			continue
		}
		chosen := state[choice.Server]
		tokens := float64(each.query.Prompt)
		cached := true
		for _, part := range each.query.Parts {
			result.shared += float64(part.Tokens)
			if cached = cached && chosen.cached[part.PrefixHash]; cached {
				tokens -= float64(part.Tokens)
			} else if prefilledOnce[part.PrefixHash] {
				result.recomputed += float64(part.Tokens)
			}
			chosen.cached[part.PrefixHash], prefilledOnce[part.PrefixHash] = true, true
		}
		if chosen.freeAt.Before(each.at) {
			chosen.freeAt = each.at
		}
		chosen.freeAt = chosen.freeAt.Add(time.Duration(tokens / prefillRate * float64(time.Millisecond)))
		first := chosen.freeAt.Add(firstEventDelay)
		if first.Sub(each.at) < objective {
			result.inTime++
		}
		inFlight = append(inFlight, running{balancers[each.instance].StartAttempt(each.at, each.query, choice), first})
	}
	return result
}

// TestReplayBurstOfPrefixGroups replays a burst of long prompts for 120 subjects at 85% of what the engines read, from four
// entries: by the least backlog alone shared parts are read again at every engine and the backlog feeds itself.
func TestReplayBurstOfPrefixGroups(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for seed := range uint64(5) {
		arrivals := generateArrivals(seed, 0.85)
		balanced, baseline := replay(arrivals, pickByBalancer, admitAll), replay(arrivals, pickByBacklog, admitAll)
		t.Logf("seed %d: in time %d of %d, read again %.3f; by backlog %d, %.3f", seed,
			balanced.inTime, balanced.requests, balanced.recomputed/balanced.shared, baseline.inTime, baseline.recomputed/baseline.shared)
		is.True(balanced.recomputed < baseline.recomputed/2)
		is.True(balanced.inTime > baseline.inTime*3/2)
	}
}

func admitAll(placement.Choice) bool { return true }

// TestReplayOverload replays one and a half times what the engines read: without admission nearly all requests are late,
// with it those that are admitted are in time.
func TestReplayOverload(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for seed := range uint64(5) {
		arrivals := generateArrivals(seed, 1.5)
		refused := 0
		withAdmission := replay(arrivals, pickByBalancer, func(choice placement.Choice) bool {
			admitted := admission.Decide(admission.Request{QueueDelay: choice.QueueDelay, Objective: objective}).Admit
			if !admitted {
				refused++
			}
			return admitted
		})
		withoutAdmission := replay(arrivals, pickByBalancer, admitAll)
		t.Logf("seed %d: in time %d of %d, refused %d; without admission %d", seed, withAdmission.inTime, withAdmission.requests, refused, withoutAdmission.inTime)
		is.True(withAdmission.inTime > withoutAdmission.inTime)
		is.True(float64(withAdmission.inTime) > 0.9*float64(withAdmission.requests-refused))
	}
}
