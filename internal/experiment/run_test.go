package experiment_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"vanillapond/internal/experiment"
	"vanillapond/internal/process/settings"
)

func load(t *testing.T, name string) experiment.Plan {
	t.Helper()
	plan, err := settings.Load[experiment.Plan]("../../examples/experiment/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return plan
}

func play(t *testing.T, plan experiment.Plan, policy string, seed uint64) experiment.Report {
	t.Helper()
	report, err := experiment.Run(t.Context(), experiment.Config{Plan: plan, Policy: policy, Seed: seed, Arrivals: experiment.Generate(plan, seed)})
	if err != nil {
		t.Fatal(err)
	}
	return report
}

// TestEveryRequestEnds holds that each request has one outcome under each policy, and that a seed gives one result.
func TestEveryRequestEnds(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	plan := load(t, "burst.yaml")
	arrivals := experiment.Generate(plan, 7)
	for _, policy := range experiment.Policies {
		report := play(t, plan, policy, 7)
		is.Equal(report.Total.Requests, len(arrivals))
		is.Equal(report.Total.InTime+report.Total.Late+report.Total.Refused+report.Total.Failed, len(arrivals))
		again := play(t, plan, policy, 7)
		is.Equal(again.Total.Worth, report.Total.Worth)
		is.Equal(again.PrefilledTokens, report.PrefilledTokens)
	}
}

// TestBurstOfLongPrompts replays a burst of long prompts beside live streams: the decisions in force serve more than plain
// ones at every seed, starve no class, and what they refuse is not run.
//
// With half of the engines kept for live streams, as once, the worth of all was 0.58 to 0.62 of what could be earned.
func TestBurstOfLongPrompts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	plan := load(t, "burst.yaml")
	for seed := uint64(1); seed <= 5; seed++ {
		now := play(t, plan, "router", seed)
		for _, plain := range experiment.Policies[1:] {
			is.True(now.Total.Worth > play(t, plan, plain, seed).Total.Worth)
		}
		is.True(now.Total.Worth > 0.64)
		is.True(now.Classes["live"].Worth > 0.9)
		is.True(now.Classes["draft"].Worth > 0.9)
		is.True(now.Total.Failed*20 < now.Total.Requests) // What is admitted ends in time to be of use.
		// The largest tenth is served at least half as often as all.
		largest := now.SizeDeciles[len(now.SizeDeciles)-1]
		is.True(2*(largest.InTime+largest.Late)*now.Total.Requests >= (now.Total.InTime+now.Total.Late)*largest.Requests)
	}
}

// TestCalmLoad holds that hardly anything is refused or late where the engines have room.
func TestCalmLoad(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	report := play(t, load(t, "calm.yaml"), "router", 1)
	is.True(report.Total.Worth > 0.95)
	is.True(report.Total.Refused*100 < report.Total.Requests)
}

// TestRecording writes a load and plays it again with the same result.
func TestRecording(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	plan := load(t, "burst.yaml")
	arrivals := experiment.Generate(plan, 3)
	var file bytes.Buffer
	is.NoErr(experiment.WriteArrivals(&file, arrivals))
	read, err := experiment.ReadArrivals(&file)
	is.NoErr(err)
	report, err := experiment.Run(t.Context(), experiment.Config{Plan: plan, Policy: "router", Seed: 3, Arrivals: read})
	is.NoErr(err)
	is.Equal(report.Total.Worth, play(t, plan, "router", 3).Total.Worth)
	for _, bad := range []string{"{", `{"at_ms":-1,"class":"x","prompt":1,"output":1}`, `{"at_ms":1,"prompt":1,"output":1}`} {
		_, err := experiment.ReadArrivals(strings.NewReader(bad))
		is.True(err != nil && strings.Contains(err.Error(), "line 1"))
	}
	_, err = experiment.Run(t.Context(), experiment.Config{Plan: plan, Policy: "router", Arrivals: []experiment.Arrival{{Class: "none"}}})
	is.True(err != nil)
	_, err = experiment.Run(t.Context(), experiment.Config{Plan: plan, Policy: "best"})
	is.True(err != nil)
}

// TestPlanCheck names the field of a plan that is wrong.
func TestPlanCheck(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		change func(*experiment.Plan)
		field  string
	}{
		{func(p *experiment.Plan) { p.Seconds = 0 }, "seconds"},
		{func(p *experiment.Plan) { p.Entries = 0 }, "entries"},
		{func(p *experiment.Plan) { p.GossipMS = 0 }, "gossip_ms"},
		{func(p *experiment.Plan) { p.Engines.PrefillChunk = 0 }, "engines"},
		{func(p *experiment.Plan) { p.Classes = nil }, "classes"},
		{func(p *experiment.Plan) { p.Classes[0].DeadlineMS = 0 }, "deadline_ms"},
		{func(p *experiment.Plan) { p.Classes[0].Bursts = []experiment.Burst{{From: 2, To: 1, Factor: 1}} }, "bursts"},
		{func(p *experiment.Plan) { p.Classes[0].Priority = 10 }, "rank"},
	} {
		plan := load(t, "burst.yaml")
		c.change(&plan)
		err := plan.Check()
		is.New(t).True(err != nil && strings.Contains(err.Error(), c.field))
	}
}

// TestOutputFormats prints a report as text and as a plot.
func TestOutputFormats(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	plan := load(t, "burst.yaml")
	plan.Seconds = 4
	reports := []experiment.Report{play(t, plan, "router", 1), play(t, plan, "router", 2), play(t, plan, "fifo_round_robin", 1)}
	var text, plot bytes.Buffer
	is.NoErr(experiment.WriteText(&text, plan, reports))
	is.Equal(strings.Count(text.String(), "\n"), 3)
	is.NoErr(experiment.Plot(&plot, reports))
	is.Equal(strings.Count(plot.String(), "<polyline"), 2)
}

// TestOverload replays a burst that the engines cannot serve: drafts, more urgent than the long prompts and small, keep being
// served, because they are not kept off engines where they would delay a stream only a little.
//
// With five times the price of such delays, as once, their worth was 0.92 to 0.95 of what could be earned.
func TestOverload(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	plan := load(t, "overload.yaml")
	for seed := uint64(1); seed <= 5; seed++ {
		now := play(t, plan, "router", seed)
		is.True(now.Classes["draft"].Worth > 0.96)
		is.True(now.Classes["live"].Worth > now.Classes["review"].Worth)
	}
}

// TestUrgentBurst replays a burst of a small urgent kind beside large requests of a less urgent kind: fewer urgent ones are refused
// than where each kind is judged alone, and more is earned in all.
//
// The load is that of a day on which a twelfth of an urgent kind got nothing while less urgent prompts of four times the size
// began (deploy/days/overload.toml).
func TestUrgentBurst(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	plan := load(t, "urgent_burst.yaml")
	for seed := uint64(1); seed <= 5; seed++ {
		now, before := play(t, plan, "router", seed), play(t, plan, experiment.PolicyWithoutPriorityAdmission, seed)
		is.True(now.Classes["draft"].Refused < before.Classes["draft"].Refused)
		is.True(now.Total.Worth > before.Total.Worth)
	}
}
