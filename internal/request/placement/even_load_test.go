package placement_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"vanillapond/internal/request/placement"
	"vanillapond/pkg/ident"
)

var evenLoad = placement.Settings{LoadAware: true, ShortestPause: 300 * time.Millisecond, TokensPerEvent: 7}

// evenLoadBalancer returns a balancer of a load-aware service with equal engines that has heard a peer's report and rate of sends at start.
func evenLoadBalancer(seed uint64, count int, sendsPerSecond float64) *placement.Balancer {
	balancer := withCandidates(placement.New(seed), engines(count))
	balancer.Configure(evenLoad)
	load := make(map[ident.Endpoint]placement.Load)
	for index, each := range engines(count) {
		load[each.ID] = placement.Load{Active: 10 + index%3, Prefill: placement.PrefillTokens{0, 0, ident.Tokens(20_000 + 100*index)}}
	}
	balancer.UpdatePeer(start, "peer", load)
	balancer.Merge(start, "peer", placement.LoadReport{OrdinaryPerSecond: sendsPerSecond})
	return balancer
}

// picks returns how often each server is picked for a query at a time.
func picks(balancer *placement.Balancer, now time.Time, query placement.Query) map[ident.Endpoint]int {
	counts := make(map[ident.Endpoint]int)
	for range 400 {
		choice, _ := balancer.Pick(now, query)
		counts[choice.Server]++
	}
	return counts
}

// TestOldFiguresDecideLess guards against instances that all choose the server that looked best in old reports: with fresh reports it is always taken; with old
// ones, as at an instance that was frozen or is cut off, any good one is, but not one that fails requests.
func TestOldFiguresDecideLess(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	balancer := evenLoadBalancer(1, 12, 1000)
	for range 30 {
		attempt := balancer.StartAttempt(start, longPrompt, placement.Choice{Server: "e5"})
		attempt.End(start, placement.Failed)
	}
	is.Equal(len(picks(balancer, start, longPrompt)), 1)
	for _, age := range []time.Duration{time.Second, 2500 * time.Millisecond, 5 * time.Second} {
		counts := picks(balancer, start.Add(age), longPrompt)
		is.Equal(counts["e5"], 0)
		is.True(len(counts) >= 10)
		for _, count := range counts {
			is.True(count < 120) // No server gets three times its part.
		}
	}
}

// TestOldFiguresKeepPrefix guards against an even load that prefills every prefix everywhere: the preferred engine of a long prefix is taken although the reports are
// old.
func TestOldFiguresKeepPrefix(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	query := longPrompt
	query.Parts = []placement.Part{{PrefixHash: 7, Tokens: 2500}, {PrefixHash: 8, Tokens: 3800}}
	first := picks(evenLoadBalancer(1, 12, 1000), start.Add(time.Second), query)
	is.Equal(len(first), 1)
	is.Equal(picks(evenLoadBalancer(2, 12, 1000), start.Add(time.Second), query), first)
}

// TestReportsDrainByTheirOwnAge guards against backlogs that are reduced by the mean age of all reports: an old report of a server counts less than a new one.
func TestReportsDrainByTheirOwnAge(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	balancer := withCandidates(placement.New(1), engines(2))
	balancer.Configure(evenLoad)
	backlog := placement.Load{Active: 3, Prefill: placement.PrefillTokens{0, 0, 20_000}}
	balancer.UpdatePeer(start, "old", map[ident.Endpoint]placement.Load{"e0": backlog})
	now := start.Add(200 * time.Millisecond)
	balancer.UpdatePeer(now, "new", map[ident.Endpoint]placement.Load{"e1": backlog})
	totals := make(map[ident.Endpoint]ident.Tokens)
	for _, status := range balancer.ServerStatuses(now) {
		totals[status.Server] = status.Total.Prefill.Total()
	}
	is.Equal(totals["e1"], ident.Tokens(20_000))
	is.Equal(totals["e0"], ident.Tokens(20_000-200*64))
}

// TestReturningServerKeepsItsSums guards against a negative load of a server that leaves the list and returns between two reports of a peer.
func TestReturningServerKeepsItsSums(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	balancer := evenLoadBalancer(1, 2, 0)
	withCandidates(balancer, engines(1))
	withCandidates(balancer, engines(2))
	load := placement.Load{Active: 4, Prefill: placement.PrefillTokens{0, 0, 5000}}
	balancer.UpdatePeer(start, "peer", map[ident.Endpoint]placement.Load{"e1": load})
	for _, status := range balancer.ServerStatuses(start) {
		if status.Server == "e1" {
			is.Equal(status.Total, load)
		}
	}
}

// TestMeasurementOutlivesNoReport guards against a measurement that counts beside the reports that include it, and against an older one that replaces a newer
// one.
func TestMeasurementOutlivesNoReport(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	balancer := evenLoadBalancer(1, 12, 1000)
	later := start.Add(100 * time.Millisecond)
	balancer.UpdatePeer(later, "peer", map[ident.Endpoint]placement.Load{"e0": {Active: 60}, "e1": {Active: 60}})
	balancer.Merge(later, "peer", placement.LoadReport{OrdinaryPerSecond: 1000, Measurements: []placement.Measurement{{Server: "e0", Active: 63}}})
	balancer.Merge(later, "peer", placement.LoadReport{OrdinaryPerSecond: 1000, Measurements: []placement.Measurement{{Server: "e0", Active: 10, AgeMS: 50}}})
	active := func(now time.Time) int {
		balancer.Pick(now, longPrompt)
		for _, status := range balancer.ServerStatuses(now) {
			if status.Server == "e0" {
				return status.Total.Active
			}
		}
		return -1
	}
	active(later)
	is.Equal(active(later.Add(10*time.Millisecond)), 63)
	is.Equal(active(later.Add(150*time.Millisecond)), 60)
	report, found := balancer.Report(later.Add(20*time.Millisecond), placement.MaxMeasurements)
	is.True(found)
	is.Equal(report.Measurements, []placement.Measurement{{Server: "e0", Active: 63, AgeMS: 20}})
	is.NoErr(report.Check())
}

// TestFalseFigureIsLimited guards against a server that draws or loses a large part of the load by a false figure: whatever it says changes the estimate by at most
// a twentieth of the requests in flight.
func TestFalseFigureIsLimited(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(3, 60).Draw(t, "engines")
		balancer := evenLoadBalancer(1, count, float64(rapid.IntRange(0, 5000).Draw(t, "sends")))
		balancer.Pick(start, longPrompt)
		total, before := 0, 0
		for _, status := range balancer.ServerStatuses(start) {
			total += status.Total.Active
			if status.Server == "e0" {
				before = status.Total.Active
			}
		}
		attempt := balancer.StartAttempt(start, longPrompt, placement.Choice{Server: "e0"})
		balancer.UpdatePeer(start.Add(time.Second), "second", nil)
		attempt.ReportLoad(start.Add(time.Second), placement.ReportedLoad{Running: rapid.IntRange(0, 1<<20).Draw(t, "running"), Slots: 64})
		for _, status := range balancer.ServerStatuses(start.Add(time.Second + time.Millisecond)) {
			if change := math.Abs(float64(status.Total.Active - before - 1)); status.Server == "e0" && change > 0.05*float64(total)+0.5 {
				t.Fatalf("the estimate changes by %g of %d requests", change, total)
			}
		}
	})
}

// TestLoadReportCheck guards against reports that no instance sends.
func TestLoadReportCheck(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	many := make([]placement.Measurement, placement.MaxMeasurements+1)
	for index := range many {
		many[index].Server = "e0"
	}
	is.NoErr(placement.LoadReport{OrdinaryPerSecond: 3, Measurements: many[1:]}.Check())
	for _, wrong := range []placement.LoadReport{
		{OrdinaryPerSecond: -1},
		{SensitivePerSecond: math.NaN()},
		{SensitivePerSecond: math.Inf(1)},
		{Measurements: many},
		{Measurements: []placement.Measurement{{Active: 1}}},
		{Measurements: []placement.Measurement{{Server: "e0", Active: -1}}},
		{Measurements: []placement.Measurement{{Server: "e0", Active: math.MaxInt}}},
		{Measurements: []placement.Measurement{{Server: "e0", AgeMS: -1}}},
		{Measurements: []placement.Measurement{{Server: "e0", AgeMS: 60_000}}},
	} {
		is.True(wrong.Check() != nil)
	}
}

// TestOtherServicesAreUnchanged guards against effects on services that are not load-aware: figures and rates of sends change no choice there.
func TestOtherServicesAreUnchanged(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	balancer := evenLoadBalancer(1, 12, 1000)
	balancer.Configure(placement.Settings{})
	attempt := balancer.StartAttempt(start, longPrompt, placement.Choice{Server: "e3"})
	attempt.ReportLoad(start, placement.ReportedLoad{Running: 5000})
	attempt.End(start, placement.Succeeded)
	_, found := balancer.Report(start, placement.MaxMeasurements)
	is.True(!found)
	now := start.Add(2 * time.Second)
	is.Equal(len(picks(balancer, now, longPrompt)), 4) // All backlogs have been prefilled; a third of the servers has the fewest requests.
	choice, _ := balancer.Pick(now, longPrompt)
	is.Equal(choice.Balance, placement.Balance{})
	is.Equal(choice.FigureAge, time.Duration(0))
}

// BenchmarkPickEvenLoad measures Pick, StartAttempt and End of a load-aware service with 300 servers, load reports of 20 peers and measurements.
func BenchmarkPickEvenLoad(b *testing.B) {
	list := engines(300)
	balancer := withCandidates(placement.New(1), list)
	balancer.Configure(evenLoad)
	for peer := range 20 {
		load := make(map[ident.Endpoint]placement.Load)
		report := placement.LoadReport{OrdinaryPerSecond: 20, SensitivePerSecond: 5}
		for index, each := range list {
			load[each.ID] = placement.Load{
				Active: peer % 5, Prefill: placement.PrefillTokens{0, 0, 500}, KVTokens: 4000, LatencySensitive: peer % 2,
			}
			if index < placement.MaxMeasurements {
				report.Measurements = append(report.Measurements, placement.Measurement{Server: each.ID, Active: 40, AgeMS: 20})
			}
		}
		balancer.UpdatePeer(start, ident.Process(fmt.Sprint("peer", peer)), load)
		balancer.Merge(start, ident.Process(fmt.Sprint("peer", peer)), report)
	}
	query := longPrompt
	query.Parts = []placement.Part{{PrefixHash: 7, Tokens: 2500}, {PrefixHash: 8, Tokens: 3800}}
	now := start.Add(50 * time.Millisecond)
	for b.Loop() {
		choice, _ := balancer.Pick(now, query)
		balancer.StartAttempt(now, query, choice).End(now, placement.Succeeded)
	}
}
