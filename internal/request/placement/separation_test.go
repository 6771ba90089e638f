package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"vanillapond/pkg/ident"
)

// tolerant are the settings of a service whose streams allow pauses of 300 ms and more, with events of 7 tokens.
var tolerant = Settings{LoadAware: true, TokensPerEvent: 7, ShortestPause: 300 * time.Millisecond}

// newEngine returns an engine of the given speed relative to 112 prompt tokens/ms and steps of 3.41 ms + 0.097 ms per request.
func newEngine(index int, speed float64) *server {
	return &server{
		Candidate: Candidate{
			ServerStart: ident.ServerStart{ID: ident.Endpoint(fmt.Sprint("i", index))}, Domain: ident.FailureDomain(fmt.Sprint("d", index%3)), Slots: 128, KVCapacity: 455_733,
		},
		attempts:   make(map[*Attempt]struct{}),
		figures:    figures{rate: 112 * speed, baseMs: 31 / speed, stepMs: 3.41 / speed, stepMsPerRequest: 0.097 / speed},
		preference: preferredCount,
	}
}

func countReserved(engines []*server) (reserved int, rate float64, byDomain map[ident.FailureDomain]int) {
	byDomain = make(map[ident.FailureDomain]int)
	for _, engine := range engines {
		byDomain[engine.Domain] += 0
		if engine.reserved {
			reserved++
			rate += engine.figures.rate
			byDomain[engine.Domain]++
		}
	}
	return reserved, rate, byDomain
}

// TestReservationByCapacity guards against reservations that take most of the prefill rate, that a failure domain has too many or none of, or that are too
// small although engines are left.
func TestReservationByCapacity(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		engines := make([]*server, 3*rapid.IntRange(4, 20).Draw(t, "engines per domain"))
		speeds := rapid.SliceOfN(rapid.Float64Range(0.4, 2.2), len(engines), len(engines)).Draw(t, "speeds")
		total, streams := 0.0, 0
		for index := range engines {
			engines[index] = newEngine(index, speeds[index])
			engines[index].load.LatencySensitive = rapid.IntRange(0, 30).Draw(t, "streams")
			streams += engines[index].load.LatencySensitive
			total += engines[index].figures.rate
		}
		var r reservation
		r.markByCapacity(time.Unix(0, 0), engines, true, tolerant)
		reserved, rate, byDomain := countReserved(engines)
		if rate > maxReservedRate*total {
			t.Fatalf("%.0f of %.0f tokens/ms are reserved", rate, total)
		}
		least, most, capacity, fastest := len(engines), 0, 0.0, 0.0
		for _, count := range byDomain {
			least, most = min(least, count), max(most, count)
		}
		if most > least+1 {
			t.Fatalf("domains have %v reserved engines", byDomain)
		}
		for _, engine := range engines {
			fastest = max(fastest, engine.figures.rate)
			if engine.reserved {
				capacity += engine.streamCapacity(tolerant, minStreamFraction)
			}
		}
		if capacity < float64(streams) && rate+fastest <= maxReservedRate*total {
			t.Fatalf("%d engines are reserved, which carry %.0f of %d streams", reserved, capacity, streams)
		}
	})
}

// TestSlowEnginesAreNotReserved guards against streams on engines whose steps alone are too slow for the pauses that the streams allow.
func TestSlowEnginesAreNotReserved(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var engines []*server
	for index := range 24 {
		speed := 1.0
		if index < 12 {
			speed = 0.3
		}
		engines = append(engines, newEngine(index, speed))
		engines[index].load.LatencySensitive = 5
	}
	var r reservation
	r.markByCapacity(time.Unix(0, 0), engines, true, tolerant)
	slow, _, _ := countReserved(engines[:12])
	fast, _, _ := countReserved(engines[12:])
	is.Equal(slow, 0)
	is.True(fast >= minReserved)
}

// TestReservationShrinksSlowly guards against engines that change sides with each burst, while the streams that run there stay.
func TestReservationShrinksSlowly(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := time.Unix(0, 0)
	var r reservation
	reservedWith := func(streams int) int {
		var engines []*server
		for index := range 39 {
			engines = append(engines, newEngine(index, 1))
		}
		engines[0].load.LatencySensitive = streams
		r.markByCapacity(now, engines, true, tolerant)
		reserved, _, _ := countReserved(engines)
		return reserved
	}
	burst := reservedWith(200)
	is.True(burst > minReserved)
	now = now.Add(shrinkAfter - time.Millisecond)
	is.Equal(reservedWith(10), burst)
	now = now.Add(2 * time.Millisecond)
	is.Equal(reservedWith(10), burst-1)
	is.Equal(reservedWith(10), burst-1)
}

// TestProtectedCost guards against placements that make running streams late, put an urgent stream where it can't keep its pace, or start a response that
// can't end in time, each while a better engine is free.
func TestProtectedCost(t *testing.T) {
	t.Parallel()
	long := Query{
		Engine: true, PriorityLevel: 2, Prompt: 9190, Output: 50, Objective: 1500 * time.Millisecond, MaxPause: 1200 * time.Millisecond, Remaining: 5 * time.Second,
	}
	urgent := Query{
		Engine: true, Prompt: 715, Output: 280, Objective: 400 * time.Millisecond, MaxPause: 300 * time.Millisecond, Remaining: 15 * time.Second,
	}
	output := long
	output.Output = 150
	for _, c := range []struct {
		name  string
		query Query
		// worse and better set up the loads of the two engines.
		worse, better func(*server)
	}{
		{
			"long prompt beside streams", long,
			func(s *server) { s.load = Load{Active: 20, LatencySensitive: 20} },
			func(s *server) { s.load = Load{Active: 20, Prefill: PrefillTokens{2: 9000}} },
		},
		{
			"urgent stream on a slow engine", urgent,
			func(s *server) {
				*s = *newEngine(0, 0.6)
				s.reserved, s.load = true, Load{Active: 55, LatencySensitive: 55}
			},
			func(s *server) { s.reserved, s.load = true, Load{Active: 60, LatencySensitive: 60} },
		},
		{
			"urgent stream behind long prompts", urgent,
			func(s *server) { s.reserved, s.load = true, Load{Active: 5, Prefill: PrefillTokens{2: 30_000}} },
			func(s *server) { s.reserved, s.load = true, Load{Active: 25, LatencySensitive: 25} },
		},
		{
			"long output on a slow engine", output,
			func(s *server) {
				*s = *newEngine(0, 0.6)
				s.load = Load{Active: 10, Prefill: PrefillTokens{0: 20_000}}
			},
			func(s *server) { s.load = Load{Active: 30, Prefill: PrefillTokens{2: 30_000}} },
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := New(1)
			b.Configure(tolerant)
			worse, better := newEngine(0, 1), newEngine(1, 1)
			c.worse(worse)
			c.better(better)
			cost := b.protectedCost(c.query)
			if cost(worse) <= cost(better) {
				t.Errorf("costs are %.3f and %.3f, want the first to be higher", cost(worse), cost(better))
			}
		})
	}
}
