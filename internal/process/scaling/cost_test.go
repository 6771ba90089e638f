package scaling_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/scaling"
)

// Times of a simulated day; a step is one sample.
const (
	daySteps   = int(24 * time.Hour / interval)
	startSteps = int(time.Minute / interval)
)

// day returns demand in places over a day: a daily curve unless flat, noise, and bursts of up to three times for ten minutes.
func day(random *rand.Rand, flat bool, bursts int) []float64 {
	const peak, noise, burstSteps, mostBurst = 24.0, 0.1, 120, 2.0
	demand := make([]float64, daySteps)
	for step := range demand {
		phase := 2 * math.Pi * float64(step) / float64(daySteps)
		demand[step] = peak * (1 + noise*random.NormFloat64())
		if !flat {
			demand[step] *= 0.55 - 0.45*math.Cos(phase)
		}
	}
	for range bursts {
		start, factor := random.IntN(daySteps-burstSteps), 1+mostBurst*random.Float64()
		for step := start; step < start+burstSteps; step++ {
			demand[step] *= factor
		}
	}
	for step := range demand {
		demand[step] = max(demand[step], 0)
	}
	return demand
}

// missed returns how much of the demand found no place.
func missed(demand []float64, places func(step int) float64) float64 {
	var lost, all float64
	for step, wanted := range demand {
		lost += max(wanted-places(step), 0)
		all += wanted
	}
	return lost / all
}

// TestCost holds the endpoint hours against the smallest fixed fleet that leaves no more demand without a place.
func TestCost(t *testing.T) {
	t.Parallel()
	const goal, mostMissed = 1.15, 0.01
	rules := scaling.PoolConfig{Min: 1, Max: 40, Slots: 4, Domains: 4, CostPerHour: 100}
	for _, shape := range []struct {
		name   string
		flat   bool
		bursts int
	}{{"daily curve with bursts", false, 6}, {"daily curve", false, 0}, {"flat with bursts", true, 6}, {"flat", true, 0}} {
		for seed := range uint64(5) {
			is := is.New(t)
			demand := day(rand.New(rand.NewPCG(seed, 1)), shape.flat, shape.bursts)
			ratio, share, fixed := cost(rules, demand)
			t.Logf("%s, seed %d: cost against %d fixed endpoints %.2f, %.4f of the demand without a place", shape.name, seed, fixed, ratio, share)
			is.True(ratio <= goal)
			is.True(share <= mostMissed)
		}
	}
}

// cost returns the endpoint hours against those of the smallest fixed fleet that is no worse, what was missed, and its size.
func cost(rules scaling.PoolConfig, demand []float64) (ratio, share float64, fixed int) {
	policy := scaling.New(2)
	targets := make([]int, len(demand))
	var hours int
	for step, wanted := range demand {
		targets[step] = policy.Target(time.Duration(step)*interval, rules, scaling.Sample{Demand: wanted})
		hours += targets[step]
	}
	share = missed(demand, func(step int) float64 {
		return float64(rules.Slots * min(targets[step], targets[max(step-startSteps, 0)]))
	})
	fixed = rules.Min
	for missed(demand, func(int) float64 { return float64(rules.Slots * fixed) }) > share {
		fixed++
	}
	return float64(hours) / float64(fixed*len(targets)), share, fixed
}
