// Command testbed-3 runs the script cases of the third review: it starts router processes against stand-ins of the platform, its servers and its
// clients, brings the disruption of one case about, and checks one rule by what these have seen.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run. With TROUBLE=0 in the environment it leaves out the
// disruption.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxTime bounds a run.
const maxTime = 110 * time.Second

// verdict is the result of a case.
type verdict struct {
	broken bool
	// text says what was found.
	text string
}

// testCase runs a case; trouble is false if the disruption is left out.
type testCase func(ctx context.Context, b *bed, trouble bool) (verdict, error)

var testCases = map[string]testCase{}

func main() { os.Exit(runCase()) }

func runCase() int {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/vanillapond", "the program that the deploy file builds")
	recordFile := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	selected := testCases[*name]
	if selected == nil {
		fmt.Fprintf(os.Stderr, "no case named %q\n", *name)
		return exitFailed
	}
	if _, err := os.Stat(*program); err != nil {
		fmt.Fprintf(os.Stderr, "the program is not built: %v\n", err)
		return exitFailed
	}
	record, err := newRecorder(*recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer record.close()
	bed, err := newBed(record, *program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer bed.close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxTime)
	defer cancel()
	var found verdict
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		found, err = selected(ctx, bed, os.Getenv("TROUBLE") != "0")
	}()
	select {
	case <-ended:
	case <-ctx.Done():
		// The case itself may still wait for something. The routers are ended, and the case with this process.
		record.say("the case could not run: it was interrupted, or did not end in time")
		return exitFailed
	}
	switch {
	case err != nil:
		record.say("the case could not run: %v", err)
		return exitFailed
	case found.broken:
		record.say("BROKEN: %s", found.text)
		return exitBroken
	default:
		record.say("held: %s", found.text)
		return exitHeld
	}
}
