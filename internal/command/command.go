// Package command implements the command line of vanillapond.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// Exit statuses.
const (
	ExitOK = 0
	// ExitFailed means that the command ran and failed.
	ExitFailed = 1
	// ExitUsage means that arguments or settings are invalid.
	ExitUsage = 2
)

// errUsage marks errors in arguments or settings; fail then returns ExitUsage.
var errUsage = errors.New("usage")

// environment holds the context and the output streams of a command.
type environment struct {
	ctx    context.Context //nolint:containedctx // The struct lives only as long as the command runs.
	out    io.Writer
	errOut io.Writer
}

// runner is a command whose fields go-flags has set from the arguments.
type runner interface {
	run(env *environment) error
}

// options lists all commands.
type options struct {
	Version    versionCommand    `command:"version"  description:"print the version"`
	Entry      entryCommand      `command:"entry"    description:"run an entry process"`
	Sidecar    sidecarCommand    `command:"sidecar"  description:"run a sidecar process beside an endpoint"`
	Router     routerCommand     `command:"router"   description:"run a router process straight before servers, on the users' platform"`
	State      stateCommand      `command:"state"    description:"show what a running router believes"`
	Explain    explainCommand    `command:"explain"  description:"show what routers' logs say about one request"`
	Stub       stubCommand       `command:"stub"     description:"run a stand-in of an outside system"`
	Config     configCommand     `command:"config"   description:"read and change the configuration"`
	Key        keyCommand        `command:"key"      description:"make keys and their digests"`
	Usage      usageCommand      `command:"usage"    description:"list a customer's billing windows"`
	Account    accountCommand    `command:"account"  description:"make a partner's final statement"`
	Timeline   timelineCommand   `command:"timeline" description:"merge the events of all processes"`
	Load       loadCommand       `command:"load"     description:"send open-loop load and report what was served"`
	Experiment experimentCommand `command:"experiment" description:"play loads over policies and models of engines in virtual time"`
	Demo       demoCommand       `command:"demo"     description:"run the whole path in one process on loopback"`
}

// helpText is the description at the top of the help output.
const helpText = `Routes language-model traffic with service levels and priorities.

Examples:
  vanillapond demo
  vanillapond entry --settings entry.yaml --check
  vanillapond config patch --entry http://127.0.0.1:8444 --file change.yaml
  vanillapond key issue --entry http://127.0.0.1:8444 --customer school --class drafting --key-file school.key
  vanillapond experiment --plan examples/experiment/burst.yaml --seeds 5
  vanillapond state --router http://10.1.0.19:9464
  vanillapond explain c4c212906cc624ed --log front-a.log --log front-b.log
  vanillapond timeline --process http://127.0.0.1:9090 --request ID

Exit status: 0 done, 1 failed, 2 wrong arguments or settings. --version prints the version.`

// Run parses the arguments, runs the command that they name and returns the exit status.
func Run(arguments []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	env := &environment{ctx: ctx, out: out, errOut: errOut}
	var all options
	if len(arguments) == 1 && arguments[0] == "--version" {
		arguments = []string{"version"}
	}
	parser := flags.NewNamedParser("vanillapond", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = helpText
	if _, err := parser.AddGroup("Options", "", &all); err != nil {
		return env.fail(err)
	}
	parser.CommandHandler = func(command flags.Commander, _ []string) error {
		selected, ok := command.(runner)
		if !ok {
			return fmt.Errorf("%w: no command given", errUsage)
		}
		return selected.run(env)
	}
	if _, err := parser.ParseArgs(arguments); err != nil {
		return env.fail(err)
	}
	return ExitOK
}

// fail prints an error, or the help if it was requested, and returns the exit status.
func (env *environment) fail(err error) int {
	var flagError *flags.Error
	if errors.As(err, &flagError) {
		if flagError.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(env.out, flagError.Message)
			return ExitOK
		}
		_, _ = fmt.Fprintln(env.errOut, "vanillapond:", flagError.Message)
		return ExitUsage
	}
	_, _ = fmt.Fprintln(env.errOut, "vanillapond:", err)
	if errors.Is(err, errUsage) {
		return ExitUsage
	}
	return ExitFailed
}

// usageError marks err as an error in arguments or settings.
func usageError(err error) error {
	return fmt.Errorf("%w: %w", errUsage, err)
}

// command is embedded in each command so that go-flags accepts it. Run calls the command's run method instead of Execute.
type command struct{}

// Execute implements flags.Commander.
func (command) Execute([]string) error { return nil }

// Build is the version of this build.
const Build = "0.1.0"

type versionCommand struct{ command }

func (*versionCommand) run(env *environment) error {
	_, err := fmt.Fprintln(env.out, "vanillapond", Build)
	return err
}
