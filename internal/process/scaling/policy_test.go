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

var rules = scaling.PoolConfig{Min: 1, Max: 10, Slots: 4, Domains: 4, CostPerHour: 100}

// run gives the policy one sample an interval and returns its targets.
func run(policy *scaling.Policy, rules scaling.PoolConfig, samples []scaling.Sample) []int {
	targets := make([]int, 0, len(samples))
	for index, sample := range samples {
		targets = append(targets, policy.Target(time.Duration(index)*interval, rules, sample))
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
	free := rules
	free.CostPerHour = 0
	missing := scaling.Sample{Demand: 8, Requests: 30, Attained: 20}
	for _, test := range []struct {
		name    string
		rules   scaling.PoolConfig
		running int
		samples []scaling.Sample
		first   int
		last    int
	}{
		{"demand fits", rules, 5, constant(scaling.Sample{Demand: 16}, 100), 5, 5},
		{"demand above the planned load", rules, 4, constant(scaling.Sample{Demand: 16}, 100), 5, 5},
		{"idle ends one by one", rules, 5, constant(scaling.Sample{}, 100), 5, 4},
		{"idle and free", free, 5, constant(scaling.Sample{}, 1000), 5, 5},
		{"idle but the top tiers need it", rules, 5, constant(scaling.Sample{TopTierDemand: 36}, 1000), 5, 3},
		{"idle down to the least", rules, 5, constant(scaling.Sample{}, 1000), 5, 1},
		{"at most the greatest", rules, 5, constant(scaling.Sample{Demand: 1000}, 10), 10, 10},
		{"missed targets ask for one more", rules, 2, constant(missing, 5), 3, 3},
		{"more than the greatest", rules, 12, constant(scaling.Sample{Demand: 40}, 1), 10, 10},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			targets := run(scaling.New(test.running), test.rules, test.samples)
			is.Equal(targets[0], test.first)
			is.Equal(targets[len(targets)-1], test.last)
		})
	}
}

// TestForecast checks that rising demand is met before it is there: a rise of 3 places a minute, one minute ahead.
func TestForecast(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	policy := scaling.New(1)
	const steps, rise = 84, 3.0
	var demand float64
	for step := range steps {
		demand = rise * (time.Duration(step) * interval).Minutes()
		policy.Target(time.Duration(step)*interval, rules, scaling.Sample{Demand: demand})
	}
	target := policy.Target(steps*interval, rules, scaling.Sample{Demand: demand})
	is.True(float64(target*rules.Slots)*0.8 >= demand+rise)
}

// TestPolicyProperties holds for any samples: the bounds, the floor of the top tiers, slow and single steps down, and
// that the same samples lead to the same targets.
func TestPolicyProperties(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		rules := scaling.PoolConfig{
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
		targets := run(scaling.New(running), rules, samples)
		before := min(max(running, rules.Min), rules.Max)
		lowered := -1
		for index, target := range targets {
			if target < rules.Min || target > rules.Max {
				t.Fatalf("step %d: found %d, want %d to %d", index, target, rules.Min, rules.Max)
			}
			if floor := min(rules.MinForDomainLoss(samples[index].TopTierDemand), rules.Max); target < floor {
				t.Fatalf("step %d: found %d, want the top tiers' %d", index, target, floor)
			}
			if target < before {
				early := lowered >= 0 && time.Duration(index-lowered)*interval < 5*time.Minute
				if target < before-1 || early || rules.CostPerHour == 0 {
					t.Fatalf("step %d: found %d after %d, lowered before at %d", index, target, before, lowered)
				}
				lowered = index
			}
			before = target
		}
		if again := run(scaling.New(running), rules, samples); !slices.Equal(again, targets) {
			t.Fatalf("found %v, then %v for the same samples", targets, again)
		}
	})
}

func BenchmarkTarget(b *testing.B) {
	policy := scaling.New(1)
	var now time.Duration
	for b.Loop() {
		now += interval
		policy.Target(now, rules, scaling.Sample{Demand: 10, TopTierDemand: 3, Requests: 100, Attained: 99})
	}
}
