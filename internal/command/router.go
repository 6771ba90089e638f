package command

import (
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"github.com/samber/oops"

	"vanillapond/internal/role/router"
	"vanillapond/platform"
)

type routerCommand struct {
	command
	Settings    string `long:"settings" value-name:"FILE" description:"settings in the platform's format (default: the file that VANILLAPOND_NODE_FILE names)"`
	MetricsPort int    `long:"metrics-port" value-name:"PORT" description:"serve counters at this port of the VM's address"`
	FairShares  bool   `long:"fair-shares" description:"while a load-aware service is short of capacity, share it evenly between customers"`
	Check       bool   `long:"check" description:"check the settings and end"`
}

func (c *routerCommand) run(env *environment) error {
	path := c.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	if path == "" {
		return usageError(oops.Errorf("no settings: set --settings FILE or the environment variable %s to the file's name", platform.SettingsVariable))
	}
	loaded, err := platform.LoadSettings(path)
	if err != nil {
		return usageError(err)
	}
	if c.Check {
		return printValid(env, path)
	}
	runtime.GOMAXPROCS(max(loaded.Cores, 1))
	started, err := router.Start(env.ctx, router.Config{Settings: loaded, Log: env.out, MetricsPort: c.MetricsPort, FairShares: c.FairShares, Build: Build})
	if err != nil {
		return err
	}
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	go func() {
		for {
			select {
			case <-hangup:
				started.Reload(platform.LoadSettings(path))
			case <-env.ctx.Done():
				return
			}
		}
	}()
	return serve(env, started)
}
