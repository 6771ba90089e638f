// Package lease gives a named lease to one process at a time, by rows of the table service.
//
// The holder counts its term from before it sent the renewal; a taker waits until it has itself seen the rows unchanged
// for the term and the drift. Both use clocks that run on through a suspend, and no reading leaves its process.
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

// Times of a lease where the configuration does not say.
const (
	DefaultTerm = 10 * time.Second
	// driftShare is the part of a term by which two clocks may go apart.
	driftShare = 20
	// renewalShare is the part of a term between two renewals, and between two looks of a candidate.
	renewalShare = 3
	// retryShare is the part of a term after which a failed call is made again.
	retryShare = 10
	// jitterShare is the part of a wait by which it varies to both sides.
	jitterShare = 8
)

// ErrNotHeld says that the process does not hold the lease, or not for long enough.
var ErrNotHeld = errors.New("lease: not held")

// Config says which lease a process takes part in.
type Config struct {
	Table       table.Table
	Name        string
	Process     ident.Process
	Incarnation ident.Incarnation
	Events      *event.Recorder
	// Term is how long a renewal lasts; 0 means DefaultTerm.
	Term time.Duration
	// Drift bounds how far two clocks go apart within a term; 0 means a twentieth of the term.
	Drift time.Duration
	// Now reads the clock; nil means clock.Boot.
	Now func() clock.Reading
	// Ranking returns the process's place now; nil means that it is a candidate.
	Ranking func() Ranking
}

// Lease is one process's part in one lease.
type Lease struct {
	config Config
	// changed holds a token after the lease was won or lost.
	changed chan struct{}
	mu      sync.Mutex
	// machine is guarded by mu, which is never held over a call to the table.
	machine StateMachine
	// held is the fence that was last told of in an event, 0 while not held; guarded by mu.
	held ident.Fence
	// second says that the next slow look ends a pair of looks; used by Run alone.
	second bool
	// spread says that the slow looks have their random offset; used by Run alone.
	spread bool
	// slow says that the last look was of a process that is no candidate; used by Run alone.
	slow bool
}

// New returns a lease that is not held.
func New(config Config) *Lease {
	if config.Term == 0 {
		config.Term = DefaultTerm
	}
	if config.Drift == 0 {
		config.Drift = config.Term / driftShare
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
	rules := Params{Process: config.Process, Incarnation: config.Incarnation, Term: config.Term, Drift: config.Drift}
	return &Lease{config: config, machine: StateMachine{Params: rules}, changed: make(chan struct{}, 1)}
}

// Name returns the name of the lease.
func (l *Lease) Name() string { return l.config.Name }

// Term returns how long a renewal lasts.
func (l *Lease) Term() time.Duration { return l.config.Term }

// Now reads the clock of the lease.
func (l *Lease) Now() clock.Reading { return l.config.Now() }

// Changed returns a channel with a token after the lease was won or lost.
func (l *Lease) Changed() <-chan struct{} { return l.changed }

// Held returns the fencing number and the end of the term, and whether the lease is held now.
func (l *Lease) Held() (fence ident.Fence, validUntil clock.Reading, ok bool) {
	grant, err := l.Check(l.config.Now(), 0)
	return grant.Fence, grant.Until, err == nil
}

// Check returns the grant if it lasts longer than guard after now, else ErrNotHeld.
//
// It is called right before each act under the lease, with a guard above the time that the act may take.
func (l *Lease) Check(now clock.Reading, guard time.Duration) (Grant, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	grant, ok := l.machine.Grant(now, guard)
	if !ok {
		return Grant{}, oops.Wrapf(ErrNotHeld, "lease %s", l.config.Name)
	}
	return grant, nil
}

// Condition returns the check that makes a transaction fail once another process has taken the lease.
//
// Renewals leave it unchanged; a successor that has taken the lease sees all that was committed with it.
func (l *Lease) Condition(grant Grant) (table.Check, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.machine.mine || l.machine.rows.Holder.Fence != grant.Fence {
		return table.Check{}, oops.Wrapf(ErrNotHeld, "lease %s", l.config.Name)
	}
	return table.Check{Key: HolderKey(l.config.Name), Revision: l.machine.rows.HolderRevision}, nil
}

// Run takes the lease where it is vacant and renews it, until the context is done; it does not release it.
func (l *Lease) Run(ctx context.Context) {
	wait := jitter(l.config.Term / retryShare)
	for {
		// A process that becomes a candidate meanwhile looks at once instead of at the end of a long wait.
		slice := min(wait, l.config.Term)
		clock.Sleep(ctx, slice, nil)
		if ctx.Err() != nil {
			return
		}
		if wait -= slice; wait <= 0 || l.slow && l.config.Ranking().candidate() {
			wait = l.Step(ctx)
		}
	}
}

// Step does what is due and returns the time until the next step.
func (l *Lease) Step(ctx context.Context) time.Duration {
	defer l.tell()
	if l.mine() {
		return l.renew(ctx)
	}
	return l.watch(ctx)
}

// Release gives the lease up, so that another process need not wait for the term's end.
//
// It is called after Run has ended and when nothing sent under the lease is still under way.
func (l *Lease) Release(ctx context.Context) error {
	l.mu.Lock()
	attempt, ok := l.machine.Release()
	l.mu.Unlock()
	l.tell()
	if !ok {
		return nil
	}
	return l.commit(ctx, attempt)
}

func (l *Lease) mine() bool {
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
		l.with(func(m *StateMachine) { m.ConfirmRenewal() })
	case errors.Is(err, table.ErrConflict):
		l.with(func(m *StateMachine) { m.MarkLost() })
	case errors.Is(err, table.ErrOutcomeUnknown):
		err = l.read(ctx)
	}
	if err != nil && !errors.Is(err, table.ErrConflict) {
		return jitter(l.config.Term / retryShare)
	}
	return jitter(l.config.Term / renewalShare)
}

// watch looks at the rows and takes the lease where it is vacant.
func (l *Lease) watch(ctx context.Context) time.Duration {
	if err := l.read(ctx); err != nil {
		return jitter(l.config.Term / renewalShare)
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
		return l.pause()
	}
	if err := l.commit(ctx, attempt); err != nil && !errors.Is(err, table.ErrOutcomeUnknown) {
		return l.pause()
	}
	if err := l.read(ctx); err != nil {
		return jitter(l.config.Term / retryShare)
	}
	return jitter(l.config.Term / renewalShare)
}

// pause returns the time to the next look: candidates look often, others in pairs of looks a term apart.
func (l *Lease) pause() time.Duration {
	place := l.config.Ranking()
	l.slow = !place.candidate()
	if !l.slow {
		return jitter(l.config.Term / renewalShare)
	}
	l.second = !l.second
	if l.second {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.machine.wait()
	}
	slow := max(place.slow(), l.config.Term)
	if !l.spread {
		l.spread = true
		return rand.N(slow) //nolint:gosec // Spreads work; nothing secret depends on it.
	}
	return jitter(slow)
}

func (l *Lease) read(ctx context.Context) error {
	rows, err := l.config.Table.Read(ctx, HolderKey(l.config.Name), HeartbeatKey(l.config.Name))
	if err != nil {
		return err
	}
	read, err := decodeRows(rows)
	if err != nil {
		return err
	}
	l.with(func(m *StateMachine) { m.Observe(l.config.Now(), read) })
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

func (l *Lease) with(change func(*StateMachine)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.machine)
}

// tell records once that the lease was won, lost or lapsed.
func (l *Lease) tell() {
	grant, err := l.Check(l.config.Now(), 0)
	fence := grant.Fence
	if err != nil {
		fence = 0
	}
	l.mu.Lock()
	before := l.held
	l.held = fence
	l.mu.Unlock()
	if before == fence {
		return
	}
	if before != 0 {
		l.config.Events.Record(event.Event{Name: "lease_lost", Lease: l.config.Name, Fence: before})
	}
	if fence != 0 {
		l.config.Events.Record(event.Event{Name: "lease_held", Lease: l.config.Name, Fence: fence})
	}
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// jitter varies a wait, so that processes do not act in step.
func jitter(wait time.Duration) time.Duration {
	span := wait / jitterShare
	return wait - span + rand.N(2*span+1) //nolint:gosec // Spreads work; nothing secret depends on it.
}
