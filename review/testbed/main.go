package testbed

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// maxRun is how long a case may run.
const maxRun = 100 * time.Second

// maxClose is how long a case may take to end its stand-ins after that. The routers end with the case in any way.
const maxClose = 10 * time.Second

// errInterrupted is returned if a case was ended by a signal or ran too long.
var errInterrupted = errors.New("the case was interrupted, or ran for longer than " + maxRun.String())

// Main runs a case and ends the process with its exit code. The case gets whether it makes its disruption, and returns the violations of the rule.
// The first argument of the process is the path of the record.
func Main(run func(bed *Bed, trouble bool) (violations []string, err error)) {
	os.Exit(execute(run, os.Args[1:], os.Stdout))
}

func execute(run func(bed *Bed, trouble bool) ([]string, error), arguments []string, out io.Writer) int {
	if len(arguments) != 1 {
		_, _ = fmt.Fprintln(out, "usage: PROGRAM RECORD")
		return exitCannotRun
	}
	bed, err := New(arguments[0])
	if err != nil {
		_, _ = fmt.Fprintln(out, "cannot run:", err)
		return exitCannotRun
	}
	time.AfterFunc(maxRun+maxClose, func() { os.Exit(exitCannotRun) })
	defer bed.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	bed.Record("disruption: %t", trouble)
	violations, err := await(func() ([]string, error) { return run(bed, trouble) })
	if err != nil {
		bed.Record("cannot run: %v", err)
		_, _ = fmt.Fprintln(out, "cannot run:", err)
		return exitCannotRun
	}
	for _, violation := range violations {
		bed.Record("VIOLATION %s", violation)
		_, _ = fmt.Fprintln(out, "VIOLATION", violation)
	}
	if len(violations) > 0 {
		_, _ = fmt.Fprintln(out, "the rule was broken")
		return exitBroken
	}
	bed.Record("the rule held")
	_, _ = fmt.Fprintln(out, "the rule held")
	return exitHeld
}

// await runs a function until it returns, a signal asks to end, or maxRun has passed.
func await(run func() ([]string, error)) ([]string, error) {
	type result struct {
		violations []string
		err        error
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	results := make(chan result, 1)
	go func() {
		violations, err := run()
		results <- result{violations, err}
	}()
	select {
	case r := <-results:
		return r.violations, r.err
	case <-signals:
	case <-time.After(maxRun):
	}
	return nil, errInterrupted
}
