package command

import (
	"vanillapond/internal/load"
	"vanillapond/internal/process/settings"
)

type loadCommand struct {
	command
	Entries []string `long:"entry" required:"true" value-name:"URL" description:"callers' address of an entry; may repeat"`
	Plan    string   `long:"plan" required:"true" value-name:"FILE" description:"YAML plan of classes and customers with their keys"`
	Seed    uint64   `long:"seed" default:"1" description:"seed of the arrivals"`
	JSON    bool     `long:"json" description:"report as JSON"`
}

func (c *loadCommand) run(shell *shell) error {
	plan, err := settings.Load[load.Plan](c.Plan)
	if err != nil {
		return usageError(err)
	}
	samples := load.Run(shell.ctx, load.Config{Plan: plan, Seed: c.Seed, Entries: c.Entries})
	report := load.Summarize(samples, c.Seed, plan.Seconds)
	if c.JSON {
		return printJSON(shell, report)
	}
	return report.Write(shell.out)
}
