package placement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"vanillapond/internal/request/placement"
	"vanillapond/pkg/ident"
)

// start is the time at which each test begins.
var start = time.Unix(1_784_000_000, 0)

// engines returns engines e0, e1 and so on, with the capacity of current hardware.
func engines(count int) []placement.Candidate {
	list := make([]placement.Candidate, count)
	for index := range list {
		list[index] = placement.Candidate{ServerStart: ident.ServerStart{ID: ident.Endpoint(fmt.Sprintf("e%d", index))}, Slots: 64, KVCapacity: 250_000}
	}
	return list
}

var (
	longPrompt = placement.Query{
		Engine: true, Prompt: 9000, Output: 50, Objective: 1500 * time.Millisecond, MaxPause: 600 * time.Millisecond,
	}
	sensitive = placement.Query{
		Engine: true, Prompt: 700, Output: 270, Objective: 300 * time.Millisecond, MaxPause: 150 * time.Millisecond,
	}
)

// withCandidates sets the balancer's candidates and returns it.
func withCandidates(balancer *placement.Balancer, list []placement.Candidate) *placement.Balancer {
	balancer.Update(placement.Generation{Servers: uint64(len(list))}, func() []placement.Candidate { return list })
	return balancer
}

// pickAndSend picks a server and records that the request is sent to it.
func pickAndSend(
	t *testing.T, balancer *placement.Balancer, now time.Time, query placement.Query,
) (placement.Choice, *placement.Attempt) {
	t.Helper()
	choice, found := balancer.Pick(now, query)
	if !found {
		t.Fatal("no server picked")
	}
	return choice, balancer.StartAttempt(now, query, choice)
}

// TestLongPromptsAvoidSensitiveStreams checks that long prompts are kept off the engines of running latency-sensitive
// streams, which a long prefill on the same engine would make late.
func TestLongPromptsAvoidSensitiveStreams(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	balancer := withCandidates(placement.New(1), engines(12))
	streaming := make(map[ident.Endpoint]bool)
	for range 30 {
		choice, attempt := pickAndSend(t, balancer, start, sensitive)
		attempt.FirstEvent(start.Add(40 * time.Millisecond))
		streaming[choice.Server] = true
	}
	is.True(len(streaming) <= 3) // Latency-sensitive streams share few engines.
	for range 40 {
		choice, _ := pickAndSend(t, balancer, start.Add(100*time.Millisecond), longPrompt)
		is.True(!streaming[choice.Server])
	}
}

// TestInstancesAgreeOnPreferredEngines checks that two router instances send prompts with the same prefix to the same
// engine without having exchanged load reports.
func TestInstancesAgreeOnPreferredEngines(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	firstBalancer, secondBalancer := withCandidates(placement.New(1), engines(12)), withCandidates(placement.New(2), engines(12))
	for prefix := range uint64(50) {
		query := longPrompt
		query.Parts = []placement.Part{{PrefixHash: 7, Tokens: 2500}, {PrefixHash: 1000 + prefix, Tokens: 3800}}
		firstChoice, attempt := pickAndSend(t, firstBalancer, start, query)
		attempt.End(start, placement.Succeeded)
		secondChoice, attempt := pickAndSend(t, secondBalancer, start, query)
		attempt.End(start, placement.Succeeded)
		is.Equal(firstChoice.Server, secondChoice.Server)
	}
}

// TestHotPrefixSpreads checks that many simultaneous requests with the same prefix are spread over more engines than the
// preferred ones.
func TestHotPrefixSpreads(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	balancer := withCandidates(placement.New(1), engines(12))
	query := longPrompt
	query.Parts = []placement.Part{{PrefixHash: 7, Tokens: 2500}, {PrefixHash: 8, Tokens: 3800}}
	used := make(map[ident.Endpoint]int)
	for range 40 {
		choice, _ := pickAndSend(t, balancer, start, query)
		used[choice.Server]++
	}
	is.True(len(used) > 2)
	for _, count := range used {
		is.True(count < 30)
	}
}

// TestPeerLoadCounts checks that load reported by a peer counts like local load until a new report replaces it or the
// report expires.
func TestPeerLoadCounts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	balancer := withCandidates(placement.New(1), engines(2))
	load := map[ident.Endpoint]placement.Load{"e0": {Active: 30, Prefill: placement.PrefillTokens{90_000}, KVTokens: 100_000}}
	balancer.UpdatePeer(start, "peer", load)
	balancer.UpdatePeer(start, "peer", load)
	choice, _ := balancer.Pick(start, longPrompt)
	is.Equal(choice.Server, ident.Endpoint("e1"))
	is.Equal(choice.Load, placement.Load{})
	balancer.UpdatePeer(start, "peer", map[ident.Endpoint]placement.Load{"e1": {Active: 30, Prefill: placement.PrefillTokens{90_000}}})
	choice, _ = balancer.Pick(start, longPrompt)
	is.Equal(choice.Server, ident.Endpoint("e0"))
	is.Equal(choice.Load, placement.Load{})
	choice, _ = withCandidates(balancer, engines(1)).Pick(start.Add(4*time.Second), longPrompt)
	is.Equal(choice.Load, placement.Load{})
}

// TestQueueDelayIgnoresLowerPriority checks that the prefill backlog of lower priorities does not count towards the queue
// delay.
func TestQueueDelayIgnoresLowerPriority(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	balancer := withCandidates(placement.New(1), engines(1))
	balancer.UpdatePeer(start, "peer", map[ident.Endpoint]placement.Load{"e0": {Prefill: placement.PrefillTokens{0, 1000, 50_000}}})
	higher, lower := longPrompt, longPrompt
	higher.PriorityLevel, lower.PriorityLevel = 1, 2
	first, _ := balancer.Pick(start, higher)
	second, _ := balancer.Pick(start, lower)
	is.Equal(first.QueueDelay*51, second.QueueDelay)
	later, _ := balancer.Pick(start.Add(20*time.Millisecond), lower) // Part of the reported backlog has been prefilled since.
	is.True(later.QueueDelay < second.QueueDelay)
}

// TestUnreachableServerIsEjected checks that a server gets no requests for a time after a failed connection attempt, unless
// all servers are ejected.
func TestUnreachableServerIsEjected(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	balancer := withCandidates(placement.New(1), engines(2))
	plain := placement.Query{}
	for _, id := range []ident.Endpoint{"e0", "e1"} {
		attempt := balancer.StartAttempt(start, plain, placement.Choice{Server: id})
		attempt.End(start, placement.Unreachable)
		choice, found := balancer.Pick(start, plain)
		is.True(found)
		if id == "e0" {
			is.Equal(choice.Server, ident.Endpoint("e1"))
		}
	}
	_, found := balancer.Pick(start, placement.Query{Avoid: []ident.Endpoint{"e0", "e1"}})
	is.True(!found)
}

// TestFailingServerWhileOthersWait checks that requests wait for a healthy server that takes them later, such as one with a rate limit, instead of
// being sent to one that fails all of them, which is probed; they are sent there if the healthy one never takes them.
func TestFailingServerWhileOthersWait(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	balancer := withCandidates(placement.New(1), engines(2))
	excluded := []ident.Endpoint{"e0"}
	never := placement.Query{Exclude: excluded}
	later := placement.Query{Exclude: excluded, Later: excluded}
	now := start
	for range 30 {
		_, attempt := pickAndSend(t, balancer, now, never)
		attempt.End(now, placement.Failed)
	}
	_, found := balancer.Pick(now, later)
	is.True(!found)
	_, found = balancer.Pick(now, never)
	is.True(found)
	now = now.Add(2 * time.Second)
	choice, probe := pickAndSend(t, balancer, now, later)
	is.Equal(choice.Server, ident.Endpoint("e1"))
	_, found = balancer.Pick(now, later)
	is.True(!found) // one probe at a time
	probe.End(now, placement.Failed)
	_, found = balancer.Pick(now, later)
	is.True(!found)
	now = now.Add(2 * time.Second)
	for range 4 {
		_, probe = pickAndSend(t, balancer, now, later)
		probe.End(now, placement.Succeeded)
	}
	_, found = balancer.Pick(now, later)
	is.True(found) // requests succeed again
}

// TestBalancerProperties checks that no load is ever negative and that all load is zero after the last request, for any
// order of sends, first events and ends.
func TestBalancerProperties(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		balancer := withCandidates(placement.New(rapid.Uint64().Draw(t, "seed")), engines(rapid.IntRange(1, 6).Draw(t, "engines")))
		now := start
		var open []*placement.Attempt
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			switch action := rapid.IntRange(0, 3).Draw(t, "action"); {
			case action < 2 || len(open) == 0:
				query := placement.Query{
					Engine: rapid.Bool().Draw(t, "engine"), Prompt: ident.Tokens(rapid.IntRange(0, 40_000).Draw(t, "prompt")),
					Output: ident.Tokens(rapid.IntRange(0, 500).Draw(t, "output")), MaxPause: 150 * time.Millisecond,
					Parts: []placement.Part{{PrefixHash: rapid.Uint64Range(0, 3).Draw(t, "part"), Tokens: 2000}},
				}
				choice, found := balancer.Pick(now, query)
				if !found {
					t.Fatal("no server picked although none was excluded")
				}
				open = append(open, balancer.StartAttempt(now, query, choice))
			case action == 2:
				open[rapid.IntRange(0, len(open)-1).Draw(t, "started")].FirstEvent(now)
			default:
				ended := rapid.IntRange(0, len(open)-1).Draw(t, "ended")
				open[ended].End(now, placement.Result(rapid.IntRange(0, 4).Draw(t, "result")))
				open = append(open[:ended], open[ended+1:]...)
			}
			for id, load := range balancer.LocalLoad() {
				if load.Active < 0 || slices.Min(load.Prefill[:]) < 0 || load.KVTokens < 0 || load.LatencySensitive < 0 {
					t.Fatalf("negative load of %s: %+v", id, load)
				}
			}
		}
		for _, attempt := range open {
			attempt.End(now, placement.Neutral)
			attempt.End(now, placement.Neutral)
		}
		if remaining := balancer.LocalLoad(); len(remaining) != 0 {
			t.Fatalf("load left after all requests have ended: %v", remaining)
		}
	})
}

// BenchmarkPick measures Pick, StartAttempt and End with 300 servers and load reports of 20 peers.
func BenchmarkPick(b *testing.B) {
	list := engines(300)
	balancer := withCandidates(placement.New(1), list)
	for peer := range 20 {
		load := make(map[ident.Endpoint]placement.Load)
		for _, each := range list {
			load[each.ID] = placement.Load{
				Active: peer % 5, Prefill: placement.PrefillTokens{0, 0, 500}, KVTokens: 4000, LatencySensitive: peer % 2,
			}
		}
		balancer.UpdatePeer(start, ident.Process(fmt.Sprint("peer", peer)), load)
	}
	query := longPrompt
	query.Parts = []placement.Part{{PrefixHash: 7, Tokens: 2500}, {PrefixHash: 8, Tokens: 3800}}
	for b.Loop() {
		choice, _ := balancer.Pick(start, query)
		balancer.StartAttempt(start, query, choice).End(start, placement.Succeeded)
	}
}
