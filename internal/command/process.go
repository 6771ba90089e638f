package command

import (
	"context"
	"fmt"
	"time"

	"vanillapond/internal/process/settings"
	"vanillapond/internal/role/entry"
	"vanillapond/internal/role/sidecar"
)

// settingsOptions are the options of the commands that run an entry or a sidecar.
type settingsOptions struct {
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"YAML settings"`
	Check    bool   `long:"check" description:"check the settings and end"`
}

type entryCommand struct {
	command
	settingsOptions
}

func (c *entryCommand) run(env *environment) error {
	loaded, err := settings.Load[entry.Settings](c.Settings)
	if err != nil {
		return usageError(err)
	}
	if c.Check {
		return printValid(env, c.Settings)
	}
	started, err := entry.Start(env.ctx, entry.Config{Settings: loaded, Log: env.errOut})
	if err != nil {
		return err
	}
	return serve(env, started)
}

type sidecarCommand struct {
	command
	settingsOptions
}

func (c *sidecarCommand) run(env *environment) error {
	loaded, err := settings.Load[sidecar.Settings](c.Settings)
	if err != nil {
		return usageError(err)
	}
	if c.Check {
		return printValid(env, c.Settings)
	}
	started, err := sidecar.Start(env.ctx, sidecar.Config{Settings: loaded, Log: env.errOut})
	if err != nil {
		return err
	}
	return serve(env, started)
}

// stopper is a running entry, sidecar or router.
type stopper interface {
	Stop(ctx context.Context)
}

// serve waits for a signal, then stops the process gracefully. The context of Stop is not canceled by the signal, so that running
// requests can complete.
func serve(env *environment, running stopper) error {
	<-env.ctx.Done()
	running.Stop(context.WithoutCancel(env.ctx))
	return nil
}

func printValid(env *environment, path string) error {
	_, err := fmt.Fprintln(env.out, path+": ok")
	return err
}

// stopTimeout limits how long a stub, or the demo, waits for running requests when it stops.
const stopTimeout = time.Second
