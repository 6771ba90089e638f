// Package lease grants a named lease to one process at a time, using rows of the table service.
//
// The holder renews the lease and counts its term from before it sent the renewal. Another process acquires the lease only after
// it has itself observed the rows unchanged for the term plus the clock drift. Each acquisition increases the fencing number
// (fence), so that a receiver can tell the requests of an earlier holder from those of a later one.
package lease

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samber/oops"

	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/event"
	"vanillapond/internal/process/table"
	"vanillapond/pkg/ident"
)

// Defaults of the durations of a lease.
const (
	DefaultTerm = 10 * time.Second
	// driftDivisor gives the default bound on clock drift: term / driftDivisor.
	driftDivisor = 20
	// renewalDivisor gives the interval between two renewals, and between two polls of a candidate: term / renewalDivisor.
	renewalDivisor = 3
	// retryDivisor gives the delay before a failed call is retried: term / retryDivisor.
	retryDivisor = 10
	// jitterDivisor gives the jitter of a delay: up to delay / jitterDivisor more or less.
	jitterDivisor = 8
)

// ErrNotHeld is returned where the process does not hold the lease, or where too little of its term remains.
var ErrNotHeld = errors.New("lease: not held")

// Config describes a lease and the process that may hold it.
type Config struct {
	Table       table.Table
	Name        string
	Process     ident.Process
	Incarnation ident.Incarnation
	Events      *event.Recorder
	// Term is how long an acquisition or a renewal is valid; 0 means DefaultTerm.
	Term time.Duration
	// Drift bounds by how much two clocks diverge within a term; 0 means a twentieth of the term.
	Drift time.Duration
	// Now reads the clock; nil means clock.Boot.
	Now func() clock.Reading
	// Ranking returns the current ranking of the process; nil means that it is a candidate.
	Ranking func() Ranking
}

// Lease acquires, renews and releases one lease for one process.
//
// It uses a clock that keeps running while the system is suspended, and sends no clock reading to another process.
type Lease struct {
	config Config
	// changed receives a token after the lease was acquired or lost.
	changed chan struct{}
	mu      sync.Mutex
	// machine is guarded by mu, which is never held during a call to the table.
	machine StateMachine
	// recordedFence is the fence in the last lease_held event, or 0 after lease_lost; guarded by mu.
	recordedFence ident.Fence
	// secondOfPair is true between the two polls of a pair of slow polls; used by Run only.
	secondOfPair bool
	// offsetApplied is true once the random offset of the slow polls was applied; used by Run only.
	offsetApplied bool
	// pollsSlowly is true if the process was not a candidate at its last poll; used by Run only.
	pollsSlowly bool
}

// New returns a lease that is not yet held.
func New(config Config) *Lease {
	if config.Term == 0 {
		config.Term = DefaultTerm
	}
	if config.Drift == 0 {
		config.Drift = config.Term / driftDivisor
	}
	if config.Now == nil {
		config.Now = clock.Boot
	}
	if config.Ranking == nil {
		config.Ranking = func() Ranking { return Ranking{Members: 1} }
	}
	if config.Events == nil {
		config.Events = event.New(event.Config{Process: config.Process})
	}
	params := Params{Process: config.Process, Incarnation: config.Incarnation, Term: config.Term, Drift: config.Drift}
	return &Lease{config: config, machine: StateMachine{Params: params}, changed: make(chan struct{}, 1)}
}

// Name returns the name of the lease.
func (l *Lease) Name() string { return l.config.Name }

// Term returns how long an acquisition or a renewal is valid.
func (l *Lease) Term() time.Duration { return l.config.Term }

// Now returns the current reading of the lease's clock.
func (l *Lease) Now() clock.Reading { return l.config.Now() }

// Changed returns a channel that receives a token after the lease was acquired or lost.
func (l *Lease) Changed() <-chan struct{} { return l.changed }

// Held returns the fencing number, the end of the term and whether the lease is held now.
func (l *Lease) Held() (fence ident.Fence, validUntil clock.Reading, ok bool) {
	grant, err := l.Check(l.config.Now(), 0)
	return grant.Fence, grant.Until, err == nil
}

// Check returns the grant if it is valid for longer than the guard time after now, else ErrNotHeld.
//
// Call it immediately before each operation that requires the lease, with a guard time above the longest duration of the operation.
func (l *Lease) Check(now clock.Reading, guard time.Duration) (Grant, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	grant, ok := l.machine.Grant(now, guard)
	if !ok {
		return Grant{}, oops.Wrapf(ErrNotHeld, "lease %s", l.config.Name)
	}
	return grant, nil
}

// Condition returns the check that makes a transaction fail once another process has acquired the lease.
//
// The check still holds after renewals. A process that acquires the lease later sees everything that was committed with the check.
func (l *Lease) Condition(grant Grant) (table.Check, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.machine.owned || l.machine.rows.Holder.Fence != grant.Fence {
		return table.Check{}, oops.Wrapf(ErrNotHeld, "lease %s", l.config.Name)
	}
	return table.Check{Key: HolderKey(l.config.Name), Revision: l.machine.rows.HolderRevision}, nil
}

// Run acquires the lease when it is vacant and renews it, until the context is done. It does not release the lease.
func (l *Lease) Run(ctx context.Context) {
	wait := jitter(l.config.Term / retryDivisor)
	for {
		// A process that has become a candidate polls within a term instead of at the end of a long delay.
		part := min(wait, l.config.Term)
		clock.Sleep(ctx, part, nil)
		if ctx.Err() != nil {
			return
		}
		if wait -= part; wait <= 0 || l.pollsSlowly && l.config.Ranking().candidate() {
			wait = l.Step(ctx)
		}
	}
}

// Step renews a held lease, else polls the rows and acquires a vacant lease. It returns the delay until the next step.
func (l *Lease) Step(ctx context.Context) time.Duration {
	defer l.recordChange()
	if l.owned() {
		return l.renew(ctx)
	}
	return l.poll(ctx)
}

// Release releases the lease, so that another process need not wait for the end of the term.
//
// Call it only after Run has returned and when no operation under the lease is still in flight.
func (l *Lease) Release(ctx context.Context) error {
	l.mu.Lock()
	attempt, ok := l.machine.Release()
	l.mu.Unlock()
	l.recordChange()
	if !ok {
		return nil
	}
	return l.commit(ctx, attempt)
}

func (l *Lease) owned() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Owned()
}

func (l *Lease) renew(ctx context.Context) time.Duration {
	l.mu.Lock()
	attempt := l.machine.Renew(l.config.Now())
	l.mu.Unlock()
	err := l.commit(ctx, attempt)
	switch {
	case err == nil:
		l.update(func(m *StateMachine) { m.ConfirmRenewal() })
	case errors.Is(err, table.ErrConflict):
		l.update(func(m *StateMachine) { m.MarkLost() })
	case errors.Is(err, table.ErrOutcomeUnknown):
		err = l.read(ctx)
	}
	if err != nil && !errors.Is(err, table.ErrConflict) {
		return jitter(l.config.Term / retryDivisor)
	}
	return jitter(l.config.Term / renewalDivisor)
}

// poll reads the rows and acquires the lease if it is vacant.
func (l *Lease) poll(ctx context.Context) time.Duration {
	if err := l.read(ctx); err != nil {
		return jitter(l.config.Term / renewalDivisor)
	}
	now := l.config.Now()
	l.mu.Lock()
	vacant := l.machine.Vacant(now)
	var attempt Attempt
	if vacant {
		attempt = l.machine.Acquire(now)
	}
	l.mu.Unlock()
	if !vacant {
		return l.pollDelay()
	}
	if err := l.commit(ctx, attempt); err != nil && !errors.Is(err, table.ErrOutcomeUnknown) {
		return l.pollDelay()
	}
	if err := l.read(ctx); err != nil {
		return jitter(l.config.Term / retryDivisor)
	}
	return jitter(l.config.Term / renewalDivisor)
}

// pollDelay returns the delay until the next poll.
//
// Candidates poll often. Other processes poll in pairs, whose two polls are far enough apart to detect a vacant lease.
func (l *Lease) pollDelay() time.Duration {
	ranking := l.config.Ranking()
	l.pollsSlowly = !ranking.candidate()
	if !l.pollsSlowly {
		return jitter(l.config.Term / renewalDivisor)
	}
	l.secondOfPair = !l.secondOfPair
	if l.secondOfPair {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.machine.acquireDelay()
	}
	interval := max(ranking.slowPollInterval(), l.config.Term)
	if !l.offsetApplied {
		l.offsetApplied = true
		return rand.N(interval) //nolint:gosec // Spreads load; needs no secure randomness.
	}
	return jitter(interval)
}

func (l *Lease) read(ctx context.Context) error {
	rows, err := l.config.Table.Read(ctx, HolderKey(l.config.Name), HeartbeatKey(l.config.Name))
	if err != nil {
		return err
	}
	decoded, err := decodeRows(rows)
	if err != nil {
		return err
	}
	l.update(func(m *StateMachine) { m.Observe(l.config.Now(), decoded) })
	return nil
}

func (l *Lease) commit(ctx context.Context, attempt Attempt) error {
	transaction := table.Transaction{
		Checks: []table.Check{{Key: HolderKey(l.config.Name), Revision: attempt.Observed.HolderRevision}},
	}
	if attempt.Holder != nil {
		body, err := json.Marshal(attempt.Holder)
		if err != nil {
			return oops.Wrapf(err, "encode holder")
		}
		transaction.Writes = append(transaction.Writes, table.Write{Key: HolderKey(l.config.Name), Value: body})
	}
	if attempt.RequireUnrenewed {
		transaction.Checks = append(transaction.Checks,
			table.Check{Key: HeartbeatKey(l.config.Name), Revision: attempt.Observed.HeartbeatRevision})
	}
	body, err := json.Marshal(attempt.Heartbeat)
	if err != nil {
		return oops.Wrapf(err, "encode heartbeat")
	}
	transaction.Writes = append(transaction.Writes, table.Write{Key: HeartbeatKey(l.config.Name), Value: body})
	return l.config.Table.Commit(ctx, transaction)
}

func (l *Lease) update(change func(*StateMachine)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.machine)
}

// recordChange records an event and signals changed if the lease was acquired or lost, or if its term ended, since the last call.
func (l *Lease) recordChange() {
	grant, err := l.Check(l.config.Now(), 0)
	fence := grant.Fence
	if err != nil {
		fence = 0
	}
	l.mu.Lock()
	previous := l.recordedFence
	l.recordedFence = fence
	l.mu.Unlock()
	if previous == fence {
		return
	}
	if previous != 0 {
		l.config.Events.Record(event.Event{Name: "lease_lost", Lease: l.config.Name, Fence: previous})
	}
	if fence != 0 {
		l.config.Events.Record(event.Event{Name: "lease_held", Lease: l.config.Name, Fence: fence})
	}
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// jitter varies a delay at random, so that processes do not act at the same moments.
func jitter(wait time.Duration) time.Duration {
	span := wait / jitterDivisor
	return wait - span + rand.N(2*span+1) //nolint:gosec // Spreads load; needs no secure randomness.
}
