package placement

import (
	"fmt"
	"os"
	"testing"

	"github.com/matryer/is"
)

var unevenSpeeds = []float64{0.6, 1, 1.6}

func replayOf(instances int, ageMS float64) replayPlan {
	return replayPlan{
		instances: instances, servers: 53, ageMS: ageMS, loss: 0.02, jitter: true, speeds: unevenSpeeds,
		kinds: deploymentKinds, utilization: 0.7, burst: 1.3, burstSeconds: 2, seconds: 8, seed: 1,
	}
}

// TestWeighAlternatives prints the figures of docs/design/even-load.md; it is no check, and runs only if asked for.
func TestWeighAlternatives(t *testing.T) {
	if os.Getenv("REPLAY_FIGURES") == "" {
		t.Skip("set REPLAY_FIGURES for the figures")
	}
	for _, instances := range []int{20, 33, 60, 300} {
		for _, age := range []float64{100, 500} {
			for _, name := range []string{"perfect", "cheapest", "level", "2 of n", "4 of n", "subset", "free capacity", "share of slots", "bounded hash"} {
				result := replayChoices(replayOf(instances, age), replayRules[name])
				t.Logf("%3d instances, %3.0f ms: %-14s late %.3f, busiest to mean %.2f, idle beside queue %.3f, dispersion %.2f", instances, age, name,
					result.late, result.busiestToMean, result.idleBesideQueue, result.dispersion)
			}
		}
	}
}

// TestStaleChoice guards against servers that are overloaded in turn because all instances choose by the same outdated figures: the late fraction stays within
// the stated factor of that with perfect knowledge.
func TestStaleChoice(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ age, factor float64 }{{100, 1.15}, {500, 1.4}} {
		t.Run(fmt.Sprintf("%.0fms", c.age), func(t *testing.T) {
			t.Parallel()
			plan := replayOf(33, c.age)
			perfect, current := replayChoices(plan, replayRules["perfect"]), replayChoices(plan, replayRules["level"])
			t.Logf("late %.4f, with perfect knowledge %.4f, quotient %.2f", current.late, perfect.late, current.late/perfect.late)
			is.New(t).True(current.late <= c.factor*perfect.late)
		})
	}
}

// TestNoOscillation guards against servers that are preferred and avoided in turns at constant load: a server's requests in a report interval vary hardly more
// than with independent random choices.
func TestNoOscillation(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for _, instances := range []int{33, 60} {
		for _, age := range []float64{100, 500} {
			plan := replayOf(instances, age)
			plan.utilization, plan.burst = 0.8, 0.8
			current := replayChoices(plan, replayRules["level"])
			t.Logf("%d instances, %.0f ms: dispersion %.2f", instances, age, current.dispersion)
			is.True(current.dispersion <= 1.25)
		}
	}
}

// TestPreviousPolicyOscillates guards the check of TestNoOscillation: it would find the policy before.
func TestPreviousPolicyOscillates(t *testing.T) {
	t.Parallel()
	plan := replayOf(33, 100)
	plan.utilization, plan.burst, plan.seconds = 0.8, 0.8, 4
	is.New(t).True(replayChoices(plan, replayRules["cheapest"]).dispersion > 2)
}

// TestDisturbedInstances guards against overload by instances with outdated figures: a third of them starts late, leaves, is frozen or is cut off for a while.
// The late fraction stays below that of the policy before.
func TestDisturbedInstances(t *testing.T) {
	t.Parallel()
	for name, disturb := range map[string]func(at float64) (sends, hears bool){
		"start":   func(at float64) (bool, bool) { return at > 3000, at > 3000 },
		"leave":   func(at float64) (bool, bool) { return at < 3000, at < 3000 },
		"frozen":  func(at float64) (bool, bool) { running := at < 2000 || at > 4000; return running, running },
		"cut off": func(at float64) (bool, bool) { return true, at < 2000 || at > 4000 },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			plan := replayOf(33, 200)
			plan.disturb = func(at float64, instance int) (bool, bool) {
				if instance%3 != 0 {
					return true, true
				}
				return disturb(at)
			}
			current, before := replayChoices(plan, replayRules["level"]), replayChoices(plan, replayRules["cheapest"])
			t.Logf("late %.4f, of the policy before %.4f", current.late, before.late)
			is.New(t).True(current.late < before.late)
		})
	}
}
