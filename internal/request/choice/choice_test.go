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

func members(count, domains int) []Member {
	var list []Member
	for index := range count {
		list = append(list, Member{
			ID: ident.Endpoint(fmt.Sprintf("llm-%d", index)), Domain: ident.FailureDomain(fmt.Sprintf("domain-%d", index%domains)),
		})
	}
	return list
}

// idle is the view of endpoints that never tell a load.
func idle(ident.Endpoint) (LoadReport, bool) { return LoadReport{Capacity: 8}, true }

func chooser(seed uint64, count int) *Picker {
	c := New(Config{Entry: "entry-1", Seed: seed})
	c.Update(members(count, 4))
	return c
}

// TestSubset holds that subsets are the same each time, spread over failure domains and even in load.
func TestSubset(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const entries, endpoints, domains = 200, 475, 14
	all := members(endpoints, domains)
	taken := make(map[ident.Endpoint]int)
	for entry := range entries {
		name := ident.Process(fmt.Sprintf("entry-%d", entry))
		subset := Rank(name, all)[:DefaultSubsetSize]
		byDomain := make(map[ident.FailureDomain]int)
		for index, member := range Rank(name, all)[:DefaultSubsetSize] {
			is.Equal(member, subset[index])
			taken[member.ID]++
			byDomain[member.Domain]++
		}
		for _, count := range byDomain {
			is.True(count <= DefaultSubsetSize/domains+1)
		}
	}
	least, most := entries, 0
	for _, member := range all {
		least, most = min(least, taken[member.ID]), max(most, taken[member.ID])
	}
	mean := float64(entries*DefaultSubsetSize) / endpoints
	t.Logf("entries by endpoint: least %d, mean %.1f, most %d", least, mean, most)
	is.True(least >= 1)
	is.True(float64(most) <= 3*mean)
}

// TestStaleIdleReportAttractsNoExtraRequests holds that a reading which was idle seconds ago is not chosen by many entries at once.
func TestStaleIdleReportAttractsNoExtraRequests(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= seeds; seed++ {
		const entries, picks, count = 40, 10, 8
		stale := ident.Endpoint("llm-3")
		drawn := 0
		for entry := range uint64(entries) {
			c := New(Config{Entry: ident.Process(fmt.Sprintf("entry-%d", entry)), Seed: seed*100 + entry})
			c.Update(members(count, 4))
			sequence := uint64(0)
			view := func(id ident.Endpoint) (LoadReport, bool) {
				if id == stale {
					return LoadReport{Sequence: 1, Capacity: 8}, true
				}
				return LoadReport{Sequence: sequence, Busy: 16, Capacity: 8}, true
			}
			for now := start; now.Before(start.Add(4 * time.Second)); now = now.Add(500 * time.Millisecond) {
				sequence++
				c.End(now, c.Pick(now, Query{}, view), Succeeded)
			}
			for range picks {
				if c.Pick(start.Add(4*time.Second), Query{}, view).Endpoint == stale {
					drawn++
				}
			}
		}
		if fair := entries * picks / count; drawn > 2*fair {
			t.Fatalf("seed %d: the stale endpoint drew %d of %d requests, a fair share is %d", seed, drawn, entries*picks, fair)
		}
	}
}

// engine answers after a time that grows with its load.
type engine struct {
	slow float64
	busy int
}

// trial sends a steady stream to engines of which one is slow from a time on.
type trial struct {
	chooser *Picker
	random  *rand.Rand
	engines map[ident.Endpoint]*engine
	pending []landing
	sent    map[ident.Endpoint]int
}

type landing struct {
	attempt *Attempt
	first   time.Time
	end     time.Time
	seen    bool
}

// step lands what is due and sends one request; the readings always say that all are idle.
func (tr *trial) step(now time.Time) {
	var left []landing
	for _, landing := range tr.pending {
		if !landing.seen && !now.Before(landing.first) {
			tr.chooser.ResponseStarted(landing.first, landing.attempt)
			landing.seen = true
		}
		if !now.Before(landing.end) {
			tr.chooser.End(landing.end, landing.attempt, Succeeded)
			tr.engines[landing.attempt.Endpoint].busy--
			continue
		}
		left = append(left, landing)
	}
	attempt := tr.chooser.Pick(now, Query{Class: "chat", Streamed: true}, idle)
	tr.chooser.Accepted(now, attempt)
	engine := tr.engines[attempt.Endpoint]
	engine.busy++
	tr.sent[attempt.Endpoint]++
	first := time.Duration((0.5 + tr.random.Float64()) * engine.slow * float64(100*time.Millisecond))
	left = append(left, landing{attempt: attempt, first: now.Add(first), end: now.Add(3 * first)})
	tr.pending = left
}

// TestSlowEngineIsEjected holds that an engine slowed to a fifth is left out within 2 s, by its answers alone.
func TestSlowEngineIsEjected(t *testing.T) {
	t.Parallel()
	const count, slowed = 8, ident.Endpoint("llm-5")
	most := 0.0
	for seed := uint64(1); seed <= seeds; seed++ {
		tr := &trial{
			chooser: chooser(seed, count), random: rand.New(rand.NewPCG(seed, 1)),
			engines: make(map[ident.Endpoint]*engine), sent: make(map[ident.Endpoint]int),
		}
		for _, member := range members(count, 4) {
			tr.engines[member.ID] = &engine{slow: 1}
		}
		now := start
		for ; now.Before(start.Add(5 * time.Second)); now = now.Add(10 * time.Millisecond) {
			tr.step(now)
		}
		tr.engines[slowed].slow = 5
		for ; now.Before(start.Add(7 * time.Second)); now = now.Add(10 * time.Millisecond) {
			tr.step(now)
		}
		if !tr.chooser.peers[slowed].out(now) {
			t.Fatalf("seed %d: the slow engine is not left out after 2 s", seed)
		}
		clear(tr.sent)
		for ; now.Before(start.Add(37 * time.Second)); now = now.Add(10 * time.Millisecond) {
			tr.step(now)
		}
		total := 0
		for id, sent := range tr.sent {
			total += sent
			if id != slowed && tr.chooser.peers[id].ejections > 0 {
				t.Fatalf("seed %d: %s is left out and is not slow", seed, id)
			}
		}
		share := float64(tr.sent[slowed]) / float64(total)
		most = max(most, share)
		if share > 0.01 {
			t.Fatalf("seed %d: %.4f of the requests went to the slow engine after it was noticed", seed, share)
		}
	}
	t.Logf("most of all seeds to the slow engine in the 30 s after: %.4f", most)
}

// TestEjection holds that failures eject at most a share, and that the return is slow.
func TestEjection(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := chooser(1, 10)
	for range 200 {
		c.End(start, c.Pick(start, Query{}, idle), Failed)
	}
	out := 0
	for _, peer := range c.ranked {
		if peer.out(start) {
			out++
		}
	}
	is.Equal(out, 3) // All fail, and 30% are left out.

	c = chooser(2, 10)
	bad := c.ranked[4]
	bad.failures = maxFailures
	back := start.Add(ejectionBase)
	fly := func(now time.Time) int {
		before := 0
		for range 1000 {
			attempt := c.Pick(now, Query{}, idle)
			if attempt.peer == bad {
				before++
			}
			c.End(now, attempt, Succeeded)
		}
		return before
	}
	is.Equal(fly(start), 0)
	soon, later := fly(back), fly(back.Add(rampTime))
	t.Logf("of 1000 requests at the return: %d, after the ramp: %d", soon, later)
	is.True(soon < 40)
	is.True(later > 60)
}

// TestPrefix holds that a prefix goes to one endpoint, but never far above the mean load.
func TestPrefix(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := chooser(3, 12)
	first := c.Pick(start, Query{Prefix: 77}, idle)
	c.End(start, first, Succeeded)
	for range 50 {
		attempt := c.Pick(start, Query{Prefix: 77}, idle)
		is.Equal(attempt.Endpoint, first.Endpoint)
		c.End(start, attempt, Succeeded)
	}
	const held = 240
	for range held {
		c.Pick(start, Query{Prefix: 77}, idle)
	}
	most := 0
	for _, peer := range c.ranked {
		most = max(most, peer.own)
	}
	t.Logf("one prefix, %d open requests on 12 endpoints: most %d", held, most)
	is.True(float64(most) <= boundFactor*held/12+2)
}

// TestFailureDomainLoss holds that the rest takes over a lost failure domain's requests evenly.
func TestFailureDomainLoss(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := New(Config{Entry: "entry-1", SubsetSize: 12, Seed: 4})
	all := members(40, 4)
	c.Update(all)
	lost := func(id ident.Endpoint) (LoadReport, bool) {
		for _, member := range all {
			if member.ID == id && member.Domain == "domain-2" {
				return LoadReport{}, false
			}
		}
		return LoadReport{Capacity: 8}, true
	}
	sent := make(map[ident.Endpoint]int)
	for range 120 {
		sent[c.Pick(start, Query{}, lost).Endpoint]++
	}
	is.Equal(len(sent), 12) // The subset is whole again.
	for _, count := range sent {
		is.True(count <= 15) // A fair share is 10.
	}
	is.Equal(c.Pick(start, Query{}, func(ident.Endpoint) (LoadReport, bool) { return LoadReport{}, false }), nil)
}
