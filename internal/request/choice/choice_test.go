package choice

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/pkg/ident"
)

const seeds = 20

var start = time.Unix(1000, 0)

func newMembers(count, domains int) []Member {
	var list []Member
	for index := range count {
		list = append(list, Member{
			ID: ident.Endpoint(fmt.Sprintf("llm-%d", index)), Domain: ident.FailureDomain(fmt.Sprintf("domain-%d", index%domains)),
		})
	}
	return list
}

// idleReport is a lookup that reports every endpoint as idle.
func idleReport(ident.Endpoint) (LoadReport, bool) { return LoadReport{Capacity: 8}, true }

func newPicker(seed uint64, count int) *Picker {
	picker := New(Config{Entry: "entry-1", Seed: seed})
	picker.Update(newMembers(count, 4))
	return picker
}

// TestSubset checks that subsets are deterministic, cover the failure domains evenly and are balanced over all endpoints.
func TestSubset(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const entries, endpoints, domains = 200, 475, 14
	all := newMembers(endpoints, domains)
	entryCount := make(map[ident.Endpoint]int)
	for entry := range entries {
		name := ident.Process(fmt.Sprintf("entry-%d", entry))
		subset := Rank(name, all)[:DefaultSubsetSize]
		byDomain := make(map[ident.FailureDomain]int)
		for index, member := range Rank(name, all)[:DefaultSubsetSize] {
			is.Equal(member, subset[index])
			entryCount[member.ID]++
			byDomain[member.Domain]++
		}
		for _, count := range byDomain {
			is.True(count <= DefaultSubsetSize/domains+1)
		}
	}
	least, most := entries, 0
	for _, member := range all {
		least, most = min(least, entryCount[member.ID]), max(most, entryCount[member.ID])
	}
	mean := float64(entries*DefaultSubsetSize) / endpoints
	t.Logf("entries per endpoint: min %d, mean %.1f, max %d", least, mean, most)
	is.True(least >= 1)
	is.True(float64(most) <= 3*mean)
}

// TestStaleIdleReportAttractsNoExtraRequests checks that an endpoint whose last report is some seconds old and says idle does not
// attract requests from many entries at once.
func TestStaleIdleReportAttractsNoExtraRequests(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= seeds; seed++ {
		const entries, picks, count = 40, 10, 8
		staleEndpoint := ident.Endpoint("llm-3")
		picked := 0
		for entry := range uint64(entries) {
			picker := New(Config{Entry: ident.Process(fmt.Sprintf("entry-%d", entry)), Seed: seed*100 + entry})
			picker.Update(newMembers(count, 4))
			sequence := uint64(0)
			lookup := func(id ident.Endpoint) (LoadReport, bool) {
				if id == staleEndpoint {
					return LoadReport{Sequence: 1, Capacity: 8}, true
				}
				return LoadReport{Sequence: sequence, Busy: 16, Capacity: 8}, true
			}
			for now := start; now.Before(start.Add(4 * time.Second)); now = now.Add(500 * time.Millisecond) {
				sequence++
				picker.End(now, picker.Pick(now, Query{}, lookup), Succeeded)
			}
			for range picks {
				if picker.Pick(start.Add(4*time.Second), Query{}, lookup).Endpoint == staleEndpoint {
					picked++
				}
			}
		}
		if fairShare := entries * picks / count; picked > 2*fairShare {
			t.Fatalf("seed %d: the endpoint with a stale report received %d of %d requests, fair share is %d",
				seed, picked, entries*picks, fairShare)
		}
	}
}

// engine simulates a model engine; latencyFactor 1 is the normal speed.
type engine struct {
	latencyFactor float64
	busy          int
}

// simulation sends requests at a constant rate to engines, one of which becomes slow.
type simulation struct {
	picker   *Picker
	random   *rand.Rand
	engines  map[ident.Endpoint]*engine
	inFlight []inFlightAttempt
	sent     map[ident.Endpoint]int
}

type inFlightAttempt struct {
	attempt        *Attempt
	firstChunkAt   time.Time
	endAt          time.Time
	firstChunkSeen bool
}

// step processes responses that are due and sends one request. Load reports always say that all endpoints are idle.
func (s *simulation) step(now time.Time) {
	var stillInFlight []inFlightAttempt
	for _, current := range s.inFlight {
		if !current.firstChunkSeen && !now.Before(current.firstChunkAt) {
			s.picker.ResponseStarted(current.firstChunkAt, current.attempt)
			current.firstChunkSeen = true
		}
		if !now.Before(current.endAt) {
			s.picker.End(current.endAt, current.attempt, Succeeded)
			s.engines[current.attempt.Endpoint].busy--
			continue
		}
		stillInFlight = append(stillInFlight, current)
	}
	attempt := s.picker.Pick(now, Query{Class: "chat", Streamed: true}, idleReport)
	s.picker.Accepted(now, attempt)
	engine := s.engines[attempt.Endpoint]
	engine.busy++
	s.sent[attempt.Endpoint]++
	latency := time.Duration((0.5 + s.random.Float64()) * engine.latencyFactor * float64(100*time.Millisecond))
	stillInFlight = append(stillInFlight, inFlightAttempt{
		attempt: attempt, firstChunkAt: now.Add(latency), endAt: now.Add(3 * latency),
	})
	s.inFlight = stillInFlight
}

// TestSlowEngineIsEjected checks that an engine slowed down to a fifth of its speed is ejected within 2 s,
// from response latencies alone.
func TestSlowEngineIsEjected(t *testing.T) {
	t.Parallel()
	const count, slowEngine = 8, ident.Endpoint("llm-5")
	maxFraction := 0.0
	for seed := uint64(1); seed <= seeds; seed++ {
		sim := &simulation{
			picker: newPicker(seed, count), random: rand.New(rand.NewPCG(seed, 1)),
			engines: make(map[ident.Endpoint]*engine), sent: make(map[ident.Endpoint]int),
		}
		for _, member := range newMembers(count, 4) {
			sim.engines[member.ID] = &engine{latencyFactor: 1}
		}
		now := start
		for ; now.Before(start.Add(5 * time.Second)); now = now.Add(10 * time.Millisecond) {
			sim.step(now)
		}
		sim.engines[slowEngine].latencyFactor = 5
		for ; now.Before(start.Add(7 * time.Second)); now = now.Add(10 * time.Millisecond) {
			sim.step(now)
		}
		if !sim.picker.endpoints[slowEngine].isEjected(now) {
			t.Fatalf("seed %d: slow engine not ejected after 2 s", seed)
		}
		clear(sim.sent)
		for ; now.Before(start.Add(37 * time.Second)); now = now.Add(10 * time.Millisecond) {
			sim.step(now)
		}
		total := 0
		for id, sent := range sim.sent {
			total += sent
			if id != slowEngine && sim.picker.endpoints[id].ejections > 0 {
				t.Fatalf("seed %d: %s was ejected although it is not slow", seed, id)
			}
		}
		fraction := float64(sim.sent[slowEngine]) / float64(total)
		maxFraction = max(maxFraction, fraction)
		if fraction > 0.01 {
			t.Fatalf("seed %d: %.4f of the requests went to the slow engine after its ejection", seed, fraction)
		}
	}
	t.Logf("largest fraction of requests to the slow engine in the 30 s after its ejection, over all seeds: %.4f", maxFraction)
}

// TestEjection checks that only a bounded fraction is ejected when all endpoints fail, and that a readmitted endpoint returns to
// its full load slowly.
func TestEjection(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	picker := newPicker(1, 10)
	for range 200 {
		picker.End(start, picker.Pick(start, Query{}, idleReport), Failed)
	}
	ejected := 0
	for _, endpoint := range picker.ranked {
		if endpoint.isEjected(start) {
			ejected++
		}
	}
	is.Equal(ejected, 3) // All fail, and 30% are ejected.

	picker = newPicker(2, 10)
	failing := picker.ranked[4]
	failing.consecutiveFailures = maxFailures
	readmittedAt := start.Add(ejectionBase)
	countPicks := func(now time.Time) int {
		picks := 0
		for range 1000 {
			attempt := picker.Pick(now, Query{}, idleReport)
			if attempt.state == failing {
				picks++
			}
			picker.End(now, attempt, Succeeded)
		}
		return picks
	}
	is.Equal(countPicks(start), 0)
	atReadmission, afterRamp := countPicks(readmittedAt), countPicks(readmittedAt.Add(rampTime))
	t.Logf("of 1000 requests, sent to the readmitted endpoint: %d at readmission, %d after the ramp", atReadmission, afterRamp)
	is.True(atReadmission < 40)
	is.True(afterRamp > 60)
}

// TestPrefix checks that requests with the same prefix go to one endpoint until its load is far above the mean.
func TestPrefix(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	picker := newPicker(3, 12)
	first := picker.Pick(start, Query{Prefix: 77}, idleReport)
	picker.End(start, first, Succeeded)
	for range 50 {
		attempt := picker.Pick(start, Query{Prefix: 77}, idleReport)
		is.Equal(attempt.Endpoint, first.Endpoint)
		picker.End(start, attempt, Succeeded)
	}
	const openRequests = 240
	for range openRequests {
		picker.Pick(start, Query{Prefix: 77}, idleReport)
	}
	most := 0
	for _, endpoint := range picker.ranked {
		most = max(most, endpoint.ownRequests)
	}
	t.Logf("one prefix, %d open requests on 12 endpoints: at most %d at one endpoint", openRequests, most)
	is.True(float64(most) <= maxPrefixLoadFactor*openRequests/12+2)
}

// TestFailureDomainLoss checks that the remaining endpoints share the requests of a lost failure domain evenly.
func TestFailureDomainLoss(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	picker := New(Config{Entry: "entry-1", SubsetSize: 12, Seed: 4})
	all := newMembers(40, 4)
	picker.Update(all)
	lookup := func(id ident.Endpoint) (LoadReport, bool) {
		for _, member := range all {
			if member.ID == id && member.Domain == "domain-2" {
				return LoadReport{}, false
			}
		}
		return LoadReport{Capacity: 8}, true
	}
	sent := make(map[ident.Endpoint]int)
	for range 120 {
		sent[picker.Pick(start, Query{}, lookup).Endpoint]++
	}
	is.Equal(len(sent), 12) // Lost members were replaced, so the subset is full.
	for _, count := range sent {
		is.True(count <= 15) // A fair share is 10.
	}
	is.Equal(picker.Pick(start, Query{}, func(ident.Endpoint) (LoadReport, bool) { return LoadReport{}, false }), nil)
}
