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

// start is when each case begins.
var start = time.Unix(1_784_000_000, 0)

// engines returns engines e0, e1 and so on, with the figures of a present machine.
func engines(count int) []placement.Candidate {
	list := make([]placement.Candidate, count)
	for index := range list {
		list[index] = placement.Candidate{ID: ident.Endpoint(fmt.Sprintf("e%d", index)), Slots: 64, KVCapacity: 250_000}
	}
	return list
}

var (
	long  = placement.Query{Engine: true, Prompt: 9000, Output: 50, Objective: 1500 * time.Millisecond, MaxPause: 600 * time.Millisecond}
	paced = placement.Query{Engine: true, Prompt: 700, Output: 270, Objective: 300 * time.Millisecond, MaxPause: 150 * time.Millisecond}
)

// among makes the candidates the board's members.
func among(board *placement.Balancer, list []placement.Candidate) *placement.Balancer {
	board.Update(placement.Generation{Servers: uint64(len(list))}, func() []placement.Candidate { return list })
	return board
}

// place picks a server and sends to it.
func place(t *testing.T, board *placement.Balancer, now time.Time, query placement.Query) (placement.Choice, *placement.Attempt) {
	t.Helper()
	choice, found := board.Pick(now, query)
	if !found {
		t.Fatal("found no server")
	}
	return choice, board.StartAttempt(now, query, choice)
}

// TestLongPromptsAvoidSensitiveStreams replays long prompts beside live streams with short pauses.
func TestLongPromptsAvoidSensitiveStreams(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	board := among(placement.New(1), engines(12))
	streaming := make(map[ident.Endpoint]bool)
	for range 30 {
		choice, ticket := place(t, board, start, paced)
		ticket.FirstEvent(start.Add(40 * time.Millisecond))
		streaming[choice.Server] = true
	}
	is.True(len(streaming) <= 3) // Paced streams share few engines.
	for range 40 {
		choice, _ := place(t, board, start.Add(100*time.Millisecond), long)
		is.True(!streaming[choice.Server])
	}
}

// TestInstancesAgreeOnPreferredEngines sends one subject's prompts from two entries that have told each other nothing.
func TestInstancesAgreeOnPreferredEngines(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	first, second := among(placement.New(1), engines(12)), among(placement.New(2), engines(12))
	for subject := range uint64(50) {
		query := long
		query.Parts = []placement.Part{{PrefixHash: 7, Tokens: 2500}, {PrefixHash: 1000 + subject, Tokens: 3800}}
		here, ticket := place(t, first, start, query)
		ticket.End(start, placement.Succeeded)
		there, ticket := place(t, second, start, query)
		ticket.End(start, placement.Succeeded)
		is.Equal(here.Server, there.Server)
	}
}

// TestHotPrefixSpreads replays many requests for one subject at one moment.
func TestHotPrefixSpreads(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	board := among(placement.New(1), engines(12))
	query := long
	query.Parts = []placement.Part{{PrefixHash: 7, Tokens: 2500}, {PrefixHash: 8, Tokens: 3800}}
	used := make(map[ident.Endpoint]int)
	for range 40 {
		choice, _ := place(t, board, start, query)
		used[choice.Server]++
	}
	is.True(len(used) > 2)
	for _, count := range used {
		is.True(count < 30)
	}
}

// TestPeerLoadCounts holds that what a peer tells counts like own work, until it is told anew or the peer falls silent.
func TestPeerLoadCounts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	board := among(placement.New(1), engines(2))
	busy := map[ident.Endpoint]placement.Load{"e0": {Active: 30, Prefill: placement.PrefillTokens{90_000}, KVTokens: 100_000}}
	board.UpdatePeer(start, "peer", busy)
	board.UpdatePeer(start, "peer", busy)
	choice, _ := board.Pick(start, long)
	is.Equal(choice.Server, ident.Endpoint("e1"))
	is.Equal(choice.Load, placement.Load{})
	board.UpdatePeer(start, "peer", map[ident.Endpoint]placement.Load{"e1": {Active: 30, Prefill: placement.PrefillTokens{90_000}}})
	choice, _ = board.Pick(start, long)
	is.Equal(choice.Server, ident.Endpoint("e0"))
	is.Equal(choice.Load, placement.Load{})
	choice, _ = among(board, engines(1)).Pick(start.Add(4*time.Second), long)
	is.Equal(choice.Load, placement.Load{})
}

// TestQueueDelayIgnoresLowerPriority holds that prompts of less urgent requests are not counted as ahead.
func TestQueueDelayIgnoresLowerPriority(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	board := among(placement.New(1), engines(1))
	board.UpdatePeer(start, "peer", map[ident.Endpoint]placement.Load{"e0": {Prefill: placement.PrefillTokens{0, 1000, 50_000}}})
	urgent, plain := long, long
	urgent.PriorityLevel, plain.PriorityLevel = 1, 2
	first, _ := board.Pick(start, urgent)
	second, _ := board.Pick(start, plain)
	is.Equal(first.QueueDelay*51, second.QueueDelay)
	later, _ := board.Pick(start.Add(20*time.Millisecond), plain) // What a peer told has been read in part since.
	is.True(later.QueueDelay < second.QueueDelay)
}

// TestUnreachableServerIsEjected holds that a server without connection gets no work for a while, unless all are so.
func TestUnreachableServerIsEjected(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	board := among(placement.New(1), engines(2))
	plain := placement.Query{}
	for _, id := range []ident.Endpoint{"e0", "e1"} {
		ticket := board.StartAttempt(start, plain, placement.Choice{Server: id})
		ticket.End(start, placement.Unreachable)
		choice, found := board.Pick(start, plain)
		is.True(found)
		if id == "e0" {
			is.Equal(choice.Server, ident.Endpoint("e1"))
		}
	}
	_, found := board.Pick(start, placement.Query{Avoid: []ident.Endpoint{"e0", "e1"}})
	is.True(!found)
}

// TestBalancerProperties holds that work is never negative and ends at nothing, in any order of sends, events and ends.
func TestBalancerProperties(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		board := among(placement.New(rapid.Uint64().Draw(t, "seed")), engines(rapid.IntRange(1, 6).Draw(t, "engines")))
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
				choice, found := board.Pick(now, query)
				if !found {
					t.Fatal("found no server among some that are not avoided")
				}
				open = append(open, board.StartAttempt(now, query, choice))
			case action == 2:
				open[rapid.IntRange(0, len(open)-1).Draw(t, "started")].FirstEvent(now)
			default:
				ended := rapid.IntRange(0, len(open)-1).Draw(t, "ended")
				open[ended].End(now, placement.Result(rapid.IntRange(0, 4).Draw(t, "result")))
				open = append(open[:ended], open[ended+1:]...)
			}
			for id, work := range board.LocalLoad() {
				if work.Active < 0 || slices.Min(work.Prefill[:]) < 0 || work.KVTokens < 0 || work.LatencySensitive < 0 {
					t.Fatalf("work of %s is below nothing: %+v", id, work)
				}
			}
		}
		for _, ticket := range open {
			ticket.End(now, placement.Neutral)
			ticket.End(now, placement.Neutral)
		}
		if left := board.LocalLoad(); len(left) != 0 {
			t.Fatalf("work is left after all requests have ended: %v", left)
		}
	})
}

// BenchmarkPick measures a decision at 300 servers that 20 entries send to.
func BenchmarkPick(b *testing.B) {
	list := engines(300)
	board := among(placement.New(1), list)
	for peer := range 20 {
		work := make(map[ident.Endpoint]placement.Load)
		for _, each := range list {
			work[each.ID] = placement.Load{Active: peer % 5, Prefill: placement.PrefillTokens{0, 0, 500}, KVTokens: 4000, LatencySensitive: peer % 2}
		}
		board.UpdatePeer(start, ident.Process(fmt.Sprint("peer", peer)), work)
	}
	query := long
	query.Parts = []placement.Part{{PrefixHash: 7, Tokens: 2500}, {PrefixHash: 8, Tokens: 3800}}
	for b.Loop() {
		choice, _ := board.Pick(start, query)
		board.StartAttempt(start, query, choice).End(start, placement.Succeeded)
	}
}
