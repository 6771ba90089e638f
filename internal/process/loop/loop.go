// Package loop runs state machines that make at most one call to the platform in each step.
package loop

import (
	"context"
	"math/rand/v2"
	"time"
)

// Limits of a loop.
const (
	// maxFailures is the number of failed steps after which Drive returns.
	maxFailures = 4
	// maxBackoff limits the wait after failed calls of Drive, in intervals.
	maxBackoff = 8
)

// Machine is a state machine that makes at most one external call in each step.
type Machine interface {
	// Step makes one step and reports whether there was something to do.
	Step(ctx context.Context) (bool, error)
}

// Run calls Drive at about the given interval until the context is done. It waits with jitter, and exponentially longer after
// failures.
func Run(ctx context.Context, machine Machine, interval time.Duration) {
	wait := jitter(interval, 1)
	failures := 0
	for {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
		failures++
		if Drive(ctx, machine) == nil {
			failures = 0
		}
		wait = jitter(interval, min(1<<min(failures, maxBackoff), maxBackoff))
	}
}

// Drive steps a machine until it has nothing to do. It gives up and returns the last error if maxFailures steps have failed, or
// if a step fails after the context is done.
//
// After a failed step the next one follows without a wait, because it may read the changed state that made the step fail.
func Drive(ctx context.Context, machine Machine) error {
	failures := 0
	for {
		more, err := machine.Step(ctx)
		if err != nil {
			failures++
		}
		switch {
		case err != nil && (failures >= maxFailures || ctx.Err() != nil):
			return err
		case err == nil && !more:
			return nil
		}
	}
}

// jitter returns a random duration between 0.5 and 1.5 times factor intervals.
func jitter(interval time.Duration, factor int) time.Duration {
	base := interval * time.Duration(factor)
	return base/2 + rand.N(max(base, 1)) //nolint:gosec // Spreads load only.
}
