// Command review-2 plays the scripts of the second review: it starts routers as separate processes against stand-ins of clients, servers and
// the platform, and judges what these see.
//
//	review-2 CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxDuration bounds a run. The routers end with their case even if it is killed (Pdeathsig in platform.go).
const maxDuration = 110 * time.Second

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// play plays one case and reports whether the rule was broken; an error means that the case couldn't run.
type play func(rec *record, trouble bool) (broken bool, err error)

var cases = map[string]play{
	"crashing-request": playCrashingRequest,
	"joining-servers":  playJoining,
	"upgrade-in-place": playUpgrade,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	const wanted = 2
	if len(arguments) != wanted || cases[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD")
		return exitNotRun
	}
	rec, err := newRecord(arguments[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	go endEarly(rec)
	broken, err := cases[arguments[0]](rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.conclude("the case couldn't run: %v", err)
		return exitNotRun
	case broken:
		rec.conclude("BROKEN")
		return exitBroken
	default:
		rec.conclude("HELD")
		return exitHeld
	}
}

// endEarly ends the case, with all that it started, if it is interrupted or takes too long.
func endEarly(rec *record) {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	reason := fmt.Sprintf("it took longer than %v", maxDuration)
	select {
	case <-time.After(maxDuration):
	case received := <-interrupted:
		reason = received.String()
	}
	rec.conclude("the case couldn't run: %s", reason)
	if d := active.Load(); d != nil {
		d.abort()
	}
	os.Exit(exitNotRun)
}
