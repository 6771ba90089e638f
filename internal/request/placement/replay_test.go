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
	readRate   = 42.8 // Prompt tokens in a millisecond.
	sharedHead = 2500 // Tokens of the part that a quarter of all subjects share.
	sharedBody = 3800 // Tokens of a subject's own part.
	ownTokens  = 2900 // Tokens of the request's own part, on the mean.
	subjects   = 120
	replayed   = 12 // Engines.
	entries    = 4
	tellEvery  = 100 * time.Millisecond
	replayTime = 20 * time.Second
	busyTokens = 0.85 // The part of the engines' time that the load takes if no shared part is read twice.
	onTime     = 1500 * time.Millisecond
	firstStep  = 15 * time.Millisecond // From the end of reading to the first event at the entry.
)

// engine reads prompts one after another and keeps their parts for good.
type engine struct {
	freeAt time.Time
	cached map[uint64]bool
}

// outcome is what a replay comes to.
type outcome struct {
	requests, inTime int
	// again counts shared tokens that were read at one engine although another had read them before.
	again, shared float64
}

// arrival is one request of the replayed load.
type arrival struct {
	at    time.Time
	entry int
	query placement.Query
}

// load returns long prompts in a burst that takes a part of the engines' time if no shared part is read twice.
func load(seed uint64, part float64) []arrival {
	random := rand.New(rand.NewPCG(seed, seed))
	perSecond := part * replayed * readRate * 1000 / ownTokens
	var arrivals []arrival
	for at := start; at.Sub(start) < replayTime; {
		at = at.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		subject := uint64(random.IntN(subjects))
		own := ident.Tokens(random.ExpFloat64() * ownTokens)
		arrivals = append(arrivals, arrival{at: at, entry: random.IntN(entries), query: placement.Query{
			Engine: true, PriorityLevel: 2, Prompt: sharedHead + sharedBody + own, Output: 50, Objective: onTime, MaxPause: 600 * time.Millisecond,
			Parts: []placement.Part{{PrefixHash: subject % 4, Tokens: sharedHead}, {PrefixHash: 1000 + subject, Tokens: sharedBody}},
		}})
	}
	return arrivals
}

// chooser picks an engine for a request of an entry.
type chooser func(boards []*placement.Balancer, each arrival) placement.Choice

// byBoard is the policy in force.
func byBoard(boards []*placement.Balancer, each arrival) placement.Choice {
	choice, _ := boards[each.entry].Pick(each.at, each.query)
	return choice
}

// byBacklog takes the engine with the least to read, as far as the entry knows, whatever engines hold.
func byBacklog(boards []*placement.Balancer, each arrival) placement.Choice {
	query := each.query
	query.Parts = nil
	choice, _ := boards[each.entry].Pick(each.at, query)
	return choice
}

// replay plays a load over engines that read prompts one after another; admit says whether a request goes to its engine.
func replay(arrivals []arrival, pick chooser, admit func(placement.Choice) bool) outcome {
	boards := make([]*placement.Balancer, entries)
	for index := range boards {
		boards[index] = among(placement.New(uint64(index)), engines(replayed))
	}
	state := make(map[ident.Endpoint]*engine)
	for _, candidate := range engines(replayed) {
		state[candidate.ID] = &engine{cached: make(map[uint64]bool)}
	}
	type running struct {
		ticket *placement.Attempt
		until  time.Time
	}
	var under []running
	readOnce := make(map[uint64]bool)
	told := start
	var result outcome
	for _, each := range arrivals {
		kept := under[:0]
		for _, one := range under {
			if one.until.After(each.at) {
				kept = append(kept, one)
				continue
			}
			one.ticket.FirstEvent(one.until)
			one.ticket.End(one.until, placement.Succeeded)
		}
		under = kept
		if each.at.Sub(told) > tellEvery {
			told = each.at
			for from, board := range boards {
				for to, other := range boards {
					if from != to {
						other.UpdatePeer(each.at, ident.Process(fmt.Sprint(from)), board.LocalLoad())
					}
				}
			}
		}
		choice := pick(boards, each)
		result.requests++
		if !admit(choice) {
			continue
		}
		chosen := state[choice.Server]
		tokens := float64(each.query.Prompt)
		holds := true
		for _, part := range each.query.Parts {
			result.shared += float64(part.Tokens)
			if holds = holds && chosen.cached[part.PrefixHash]; holds {
				tokens -= float64(part.Tokens)
			} else if readOnce[part.PrefixHash] {
				result.again += float64(part.Tokens)
			}
			chosen.cached[part.PrefixHash], readOnce[part.PrefixHash] = true, true
		}
		if chosen.freeAt.Before(each.at) {
			chosen.freeAt = each.at
		}
		chosen.freeAt = chosen.freeAt.Add(time.Duration(tokens / readRate * float64(time.Millisecond)))
		first := chosen.freeAt.Add(firstStep)
		if first.Sub(each.at) < onTime {
			result.inTime++
		}
		under = append(under, running{boards[each.entry].StartAttempt(each.at, each.query, choice), first})
	}
	return result
}

// TestReplayBurstOfPrefixGroups replays a burst of long prompts for 120 subjects at 85% of what the engines read, from four
// entries: by the least backlog alone shared parts are read again at every engine and the backlog feeds itself.
func TestReplayBurstOfPrefixGroups(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for seed := range uint64(5) {
		arrivals := load(seed, 0.85)
		now, before := replay(arrivals, byBoard, always), replay(arrivals, byBacklog, always)
		t.Logf("seed %d: in time %d of %d, read again %.3f; by backlog %d, %.3f", seed,
			now.inTime, now.requests, now.again/now.shared, before.inTime, before.again/before.shared)
		is.True(now.again < before.again/2)
		is.True(now.inTime > before.inTime*3/2)
	}
}

func always(placement.Choice) bool { return true }

// TestReplayOverload replays one and a half times what the engines read: without admission nearly all requests are late,
// with it those that are admitted are in time.
func TestReplayOverload(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for seed := range uint64(5) {
		arrivals := load(seed, 1.5)
		refused := 0
		now := replay(arrivals, byBoard, func(choice placement.Choice) bool {
			admitted := admission.Decide(admission.Request{QueueDelay: choice.QueueDelay, Objective: onTime}).Admit
			if !admitted {
				refused++
			}
			return admitted
		})
		before := replay(arrivals, byBoard, always)
		t.Logf("seed %d: in time %d of %d, refused %d; without admission %d", seed, now.inTime, now.requests, refused, before.inTime)
		is.True(now.inTime > before.inTime)
		is.True(float64(now.inTime) > 0.9*float64(now.requests-refused))
	}
}
