package command

import (
	"fmt"
	"os"

	"github.com/samber/oops"

	"vanillapond/internal/experiment"
	"vanillapond/internal/process/settings"
)

type experimentCommand struct {
	command
	Plan      string   `long:"plan" required:"true" value-name:"FILE" description:"YAML plan of engines, entries and load"`
	Policies  []string `long:"policy" value-name:"NAME" description:"policy to be played, may repeat (default: all)"`
	FirstSeed uint64   `long:"first" default:"1" description:"the first seed"`
	Seeds     uint64   `long:"seeds" default:"5" description:"how many seeds are played"`
	Format    string   `long:"format" default:"text" choice:"text" choice:"json" choice:"svg" description:"form of the output"`
	Record    string   `long:"record" value-name:"FILE" description:"write the first seed's arrivals to a file and end"`
}

func (c *experimentCommand) run(env *environment) error {
	plan, err := settings.Load[experiment.Plan](c.Plan)
	if err != nil {
		return usageError(err)
	}
	if c.Seeds == 0 {
		return usageError(oops.Errorf("--seeds: must be 1 or more"))
	}
	recorded, err := readRecording(plan.Recording)
	if err != nil {
		return usageError(err)
	}
	if c.Record != "" {
		return c.record(plan)
	}
	if len(c.Policies) == 0 {
		c.Policies = experiment.Policies
	}
	reports, err := c.simulate(env, plan, recorded)
	if err != nil {
		return err
	}
	switch c.Format {
	case "json":
		return printJSON(env, reports)
	case "svg":
		return experiment.Plot(env.out, reports)
	default:
		return experiment.WriteText(env.out, plan, reports)
	}
}

// simulate runs each policy with each seed, and prints a line of progress per run.
func (c *experimentCommand) simulate(env *environment, plan experiment.Plan, recorded []experiment.Arrival) ([]experiment.Report, error) {
	var reports []experiment.Report
	for seed := c.FirstSeed; seed < c.FirstSeed+c.Seeds; seed++ {
		arrivals := recorded
		if arrivals == nil {
			arrivals = experiment.Generate(plan, seed)
		}
		for _, policy := range c.Policies {
			report, err := experiment.Run(env.ctx, experiment.Config{Plan: plan, Policy: policy, Seed: seed, Arrivals: arrivals})
			if err != nil {
				return nil, err
			}
			_, _ = fmt.Fprintf(env.errOut, "seed %d, %s: %d requests, in time %d, late %d, refused %d, failed %d\n", seed, policy, report.Total.Requests,
				report.Total.InTime, report.Total.Late, report.Total.Refused, report.Total.Failed)
			reports = append(reports, report)
		}
	}
	return reports, nil
}

func (c *experimentCommand) record(plan experiment.Plan) error {
	file, err := os.Create(c.Record)
	if err != nil {
		return oops.Wrapf(err, "--record")
	}
	if err := experiment.WriteArrivals(file, experiment.Generate(plan, c.FirstSeed)); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

// readRecording returns the arrivals in a file, or nil if path is empty.
func readRecording(path string) ([]experiment.Arrival, error) {
	if path == "" {
		return nil, nil
	}
	file, err := os.Open(path) //nolint:gosec // The plan names the file.
	if err != nil {
		return nil, oops.Wrapf(err, "recording")
	}
	defer func() { _ = file.Close() }()
	arrivals, err := experiment.ReadArrivals(file)
	if err != nil {
		return nil, oops.Wrapf(err, "%s", path)
	}
	return arrivals, nil
}
