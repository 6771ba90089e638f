package scaling_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/scaling"
)

// Steps of a simulated day; a step is one sample.
const (
	daySteps   = int(24 * time.Hour / interval)
	startSteps = int(time.Minute / interval)
)

// simulateDay returns the demand over a day in slots: a daily curve unless flat, with noise and with ten-minute bursts of up to
// three times the demand.
func simulateDay(random *rand.Rand, flat bool, bursts int) []float64 {
	const peak, noise, burstSteps, maxBurstIncrease = 24.0, 0.1, 120, 2.0
	demand := make([]float64, daySteps)
	for step := range demand {
		phase := 2 * math.Pi * float64(step) / float64(daySteps)
		demand[step] = peak * (1 + noise*random.NormFloat64())
		if !flat {
			demand[step] *= 0.55 - 0.45*math.Cos(phase)
		}
	}
	for range bursts {
		start, factor := random.IntN(daySteps-burstSteps), 1+maxBurstIncrease*random.Float64()
		for step := start; step < start+burstSteps; step++ {
			demand[step] *= factor
		}
	}
	for step := range demand {
		demand[step] = max(demand[step], 0)
	}
	return demand
}

// unservedRatio returns the fraction of the demand that exceeds the capacity.
func unservedRatio(demand []float64, capacity func(step int) float64) float64 {
	var unserved, total float64
	for step, demanded := range demand {
		unserved += max(demanded-capacity(step), 0)
		total += demanded
	}
	return unserved / total
}

// TestCost compares the endpoint hours with those of the smallest fixed number of endpoints that leaves no more demand unserved. It
// verifies that the policy costs at most 15 % more and leaves at most 1 % of the demand unserved.
func TestCost(t *testing.T) {
	t.Parallel()
	const maxCostRatio, maxUnserved = 1.15, 0.01
	pool := scaling.PoolConfig{Min: 1, Max: 40, Slots: 4, Domains: 4, CostPerHour: 100}
	for _, shape := range []struct {
		name   string
		flat   bool
		bursts int
	}{{"daily curve with bursts", false, 6}, {"daily curve", false, 0}, {"flat with bursts", true, 6}, {"flat", true, 0}} {
		for seed := range uint64(5) {
			is := is.New(t)
			demand := simulateDay(rand.New(rand.NewPCG(seed, 1)), shape.flat, shape.bursts)
			ratio, unserved, fixed := compareCost(pool, demand)
			t.Logf("%s, seed %d: cost relative to %d fixed endpoints %.2f, %.4f of the demand unserved", shape.name, seed, fixed, ratio, unserved)
			is.True(ratio <= maxCostRatio)
			is.True(unserved <= maxUnserved)
		}
	}
}

// compareCost returns the ratio of the endpoint hours to those of the smallest fixed number of endpoints that leaves no more demand
// unserved, the fraction of unserved demand, and that fixed number.
func compareCost(pool scaling.PoolConfig, demand []float64) (ratio, unserved float64, fixed int) {
	policy := scaling.New(2)
	targets := make([]int, len(demand))
	var hours int
	for step, demanded := range demand {
		targets[step] = policy.Target(time.Duration(step)*interval, pool, scaling.Sample{Demand: demanded})
		hours += targets[step]
	}
	unserved = unservedRatio(demand, func(step int) float64 {
		return float64(pool.Slots * min(targets[step], targets[max(step-startSteps, 0)]))
	})
	fixed = pool.Min
	for unservedRatio(demand, func(int) float64 { return float64(pool.Slots * fixed) }) > unserved {
		fixed++
	}
	return float64(hours) / float64(fixed*len(targets)), unserved, fixed
}
