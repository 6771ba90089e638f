package scaling_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"vanillapond/internal/process/scaling"
)

const interval = 5 * time.Second

var defaultPool = scaling.PoolConfig{Min: 1, Max: 10, Slots: 4, Domains: 4, CostPerHour: 100}

// run passes one sample per interval to the policy and returns its targets.
func run(policy *scaling.Policy, pool scaling.PoolConfig, samples []scaling.Sample) []int {
	targets := make([]int, 0, len(samples))
	for index, sample := range samples {
		targets = append(targets, policy.Target(time.Duration(index)*interval, pool, sample))
	}
	return targets
}

func constant(sample scaling.Sample, count int) []scaling.Sample {
	samples := make([]scaling.Sample, count)
	for index := range samples {
		samples[index] = sample
	}
	return samples
}

func TestTarget(t *testing.T) {
	t.Parallel()
	freePool := defaultPool
	freePool.CostPerHour = 0
	belowGoal := scaling.Sample{Demand: 8, Requests: 30, Attained: 20}
	for _, test := range []struct {
		name    string
		pool    scaling.PoolConfig
		running int
		samples []scaling.Sample
		first   int
		last    int
	}{
		{"demand fits", defaultPool, 5, constant(scaling.Sample{Demand: 16}, 100), 5, 5},
		{"demand above the planned load", defaultPool, 4, constant(scaling.Sample{Demand: 16}, 100), 5, 5},
		{"idle scales down one by one", defaultPool, 5, constant(scaling.Sample{}, 100), 5, 4},
		{"idle without a price", freePool, 5, constant(scaling.Sample{}, 1000), 5, 5},
		{"idle but required by the top tiers", defaultPool, 5, constant(scaling.Sample{TopTierDemand: 36}, 1000), 5, 3},
		{"idle down to the minimum", defaultPool, 5, constant(scaling.Sample{}, 1000), 5, 1},
		{"demand above the maximum", defaultPool, 5, constant(scaling.Sample{Demand: 1000}, 10), 10, 10},
		{"low attainment requires one more", defaultPool, 2, constant(belowGoal, 5), 3, 3},
		{"running above the maximum", defaultPool, 12, constant(scaling.Sample{Demand: 40}, 1), 10, 10},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			targets := run(scaling.New(test.running), test.pool, test.samples)
			is.Equal(targets[0], test.first)
			is.Equal(targets[len(targets)-1], test.last)
		})
	}
}

// TestForecast verifies that capacity is planned ahead of rising demand: for a rise of 3 slots per minute, one minute ahead.
func TestForecast(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	policy := scaling.New(1)
	const steps, rise = 84, 3.0
	var demand float64
	for step := range steps {
		demand = rise * (time.Duration(step) * interval).Minutes()
		policy.Target(time.Duration(step)*interval, defaultPool, scaling.Sample{Demand: demand})
	}
	target := policy.Target(steps*interval, defaultPool, scaling.Sample{Demand: demand})
	is.True(float64(target*defaultPool.Slots)*0.8 >= demand+rise)
}

// TestPolicyProperties verifies for any samples that targets are within the bounds and at least the minimum for the top tiers, that
// they decrease by one endpoint at a time and no faster than once in five minutes, and that equal samples lead to equal targets.
func TestPolicyProperties(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		pool := scaling.PoolConfig{
			Min: rapid.IntRange(0, 3).Draw(t, "min"), Max: rapid.IntRange(3, 12).Draw(t, "max"),
			Slots: rapid.IntRange(1, 8).Draw(t, "places"), Domains: rapid.IntRange(1, 5).Draw(t, "domains"),
			CostPerHour: rapid.Int64Range(0, 1).Draw(t, "cost"),
		}
		samples := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) scaling.Sample {
			requests := rapid.IntRange(0, 100).Draw(t, "requests")
			return scaling.Sample{
				Demand: rapid.Float64Range(0, 120).Draw(t, "demand"), TopTierDemand: rapid.Float64Range(0, 120).Draw(t, "top"),
				Requests: requests, Attained: rapid.IntRange(0, requests).Draw(t, "attained"),
			}
		}), 1, 200).Draw(t, "samples")
		running := rapid.IntRange(0, 12).Draw(t, "running")
		targets := run(scaling.New(running), pool, samples)
		previous := min(max(running, pool.Min), pool.Max)
		loweredAt := -1
		for index, target := range targets {
			if target < pool.Min || target > pool.Max {
				t.Fatalf("step %d: found %d, want %d to %d", index, target, pool.Min, pool.Max)
			}
			if minimum := min(pool.MinForDomainLoss(samples[index].TopTierDemand), pool.Max); target < minimum {
				t.Fatalf("step %d: found %d, want at least %d for the top tiers", index, target, minimum)
			}
			if target < previous {
				early := loweredAt >= 0 && time.Duration(index-loweredAt)*interval < 5*time.Minute
				if target < previous-1 || early || pool.CostPerHour == 0 {
					t.Fatalf("step %d: found target %d after %d, last decrease at step %d", index, target, previous, loweredAt)
				}
				loweredAt = index
			}
			previous = target
		}
		if again := run(scaling.New(running), pool, samples); !slices.Equal(again, targets) {
			t.Fatalf("found targets %v, then %v for the same samples", targets, again)
		}
	})
}

func BenchmarkTarget(b *testing.B) {
	policy := scaling.New(1)
	var now time.Duration
	for b.Loop() {
		now += interval
		policy.Target(now, defaultPool, scaling.Sample{Demand: 10, TopTierDemand: 3, Requests: 100, Attained: 99})
	}
}
