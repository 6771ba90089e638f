package experiment_test

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"vanillapond/internal/experiment"
)

// unevenPlan returns a shortened load on engines of different speed with reports of a mean age.
func unevenPlan(t *testing.T, ageMS float64) experiment.Plan {
	t.Helper()
	plan := loadPlan(t, "uneven.yaml")
	plan.Seconds, plan.GossipMS = 6, ageMS
	plan.Reports.DelayMS, plan.Reports.JitterMS = ageMS/2, ageMS/10
	return plan
}

// TestUnevenEngines guards against servers that are overloaded in turn: with engines of different speed and delayed, lost and overtaken reports, the router
// earns more than without load-aware routing, and does not prefill noticeably more.
func TestUnevenEngines(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for _, age := range []float64{100, 500} {
		plan := unevenPlan(t, age)
		current, before := run(t, plan, "router", 1), run(t, plan, experiment.PolicyCheapest, 1)
		t.Logf("%.0f ms: worth %.3f, before %.3f; late %d, before %d; prefilled %d, before %d", age, current.Total.Worth, before.Total.Worth, current.Total.Late,
			before.Total.Late, current.PrefilledTokens, before.PrefilledTokens)
		is.True(current.Total.Worth > before.Total.Worth)
		is.True(float64(current.PrefilledTokens) < 1.1*float64(before.PrefilledTokens))
	}
}

// TestFalseFigures guards against an engine that draws or loses load by false figures: whatever its factor, its part of the requests changes by at most 0.1.
func TestFalseFigures(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	plan := unevenPlan(t, 100)
	plan.Engines.Count, plan.Entries = 5, 8
	for index := range plan.Classes {
		plan.Classes[index].PerSecond /= 10
	}
	honest := run(t, plan, "router", 1).Balance.FirstShare
	for _, factor := range []float64{0, 0.1, 10, 1e5} {
		plan.Reports.FalseCount, plan.Reports.FalseFactor = 1, factor
		share := run(t, plan, "router", 1).Balance.FirstShare
		t.Logf("factor %g: the engine gets %.3f of the requests, with true figures %.3f", factor, share, honest)
		is.True(math.Abs(share-honest) <= 0.1)
	}
}
