package claim

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"vanillapond/internal/process/event"
	"vanillapond/internal/process/outcome"
	"vanillapond/internal/process/table"
	"vanillapond/pkg/ident"
)

// Times and bounds of the driver.
const (
	// takeTimeout bounds the wait for the table before a request runs.
	takeTimeout = 2 * time.Second
	// finishTimeout bounds the wait for the table before an answer is given out.
	finishTimeout = 500 * time.Millisecond
	// firstRetry is the wait after the first failed try to record an outcome; it doubles up to maxRetry.
	firstRetry = time.Second
	maxRetry   = 16 * time.Second
	// maxPending bounds the outcomes that wait for the table; those beyond become unknown by their lease.
	maxPending = 1024
	// leaseMargin is added to a request's deadline, for the time between claim and start and for the recording.
	leaseMargin = 5 * time.Second
)

// Config says what the claims work with.
type Config struct {
	Table  table.Table
	Events *event.Recorder
	// Now is the wall clock, for the retention alone; nil means time.Now.
	Now func() time.Time
}

// Manager takes and finishes the claims of one entry.
type Manager struct {
	config Config
	// pending holds one token for each outcome that waits for the table.
	pending  chan struct{}
	finishes sync.WaitGroup
	watch    *watch
}

// New returns the claims of an entry.
func New(config Config) *Manager {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Manager{config: config, pending: make(chan struct{}, maxPending), watch: newWatch()}
}

// Request is a request that wants to run at most once.
type Request struct {
	ID             ident.Request
	Customer       ident.Customer
	IdempotencyKey string
	// RequestDigest is the digest that binds the key to one request.
	RequestDigest string
	// Timeout is the longest time that the request may take.
	Timeout time.Duration
}

// Handle is a claim that this entry owns.
type Handle struct {
	claims *Manager
	key    table.Key
	record Record
	once   sync.Once
}

// Acquire returns the verdict, with the claim where it is held and the kept answer where there is one.
func (c *Manager) Acquire(ctx context.Context, request Request) (Result, *Handle, *Response) {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	held := &Handle{claims: c, key: Key(request.Customer, request.IdempotencyKey), record: Record{
		Request: request.ID, RequestDigest: request.RequestDigest, LeaseMS: (request.Timeout + leaseMargin).Milliseconds(),
		ExpiresUnix: c.config.Now().Add(Retention).Unix(),
	}}
	taking := NewAcquisition(held.key, held.record)
	for taking.Step() != StepDone {
		_ = c.step(ctx, held.key, &taking)
	}
	verdict := taking.Result()
	if verdict == ResultAcquired {
		return verdict, held, nil
	}
	if verdict == ResultInProgress {
		c.watch.add(taking.row, taking.found)
	}
	if verdict == ResultUnavailable && taking.doubt {
		held.finish(ctx, StateReleased, nil)
	}
	return verdict, nil, taking.found.Response
}

// protocol is a protocol that the driver steps through.
type protocol interface {
	Step() Step
	Transaction() table.Transaction
	OnCommit(err error)
	OnRead(row table.Row, err error)
}

// step does what a protocol asks for and returns the error of a read.
func (c *Manager) step(ctx context.Context, key table.Key, steps protocol) error {
	if steps.Step() == StepCommit {
		steps.OnCommit(c.config.Table.Commit(ctx, steps.Transaction()))
		return nil
	}
	rows, err := c.config.Table.Read(ctx, key)
	if err != nil {
		steps.OnRead(table.Row{}, err)
		return err
	}
	steps.OnRead(rows[0], nil)
	return nil
}

// Complete binds the answer of a request that ran; it waits for the table for a short time only.
func (h *Handle) Complete(ctx context.Context, answer Response) {
	if len(answer.Body) > MaxStoredBody {
		answer.Body = nil
		answer.BodyDropped = true
	}
	h.finish(ctx, StateDone, &answer)
}

// Fail ends the claim of a request without a whole answer; after Answered it does nothing.
func (h *Handle) Fail(ctx context.Context, known outcome.Outcome) {
	if known == outcome.NotRun {
		h.finish(ctx, StateReleased, nil)
		return
	}
	h.finish(ctx, StateUnknown, nil)
}

// finish tries at once and goes on in the background where the table does not answer in time.
func (h *Handle) finish(ctx context.Context, state State, answer *Response) {
	h.once.Do(func() {
		result := h.record
		result.State = state
		result.Response = answer
		finishing := NewFinalization(h.key, result)
		first, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
		defer cancel()
		if h.claims.try(first, h.key, &finishing) {
			return
		}
		h.claims.later(h.key, finishing, time.Duration(h.record.LeaseMS)*time.Millisecond)
	})
}

// try steps until the end or the first failed read, and reports whether the protocol has ended.
func (c *Manager) try(ctx context.Context, key table.Key, finishing *Finalization) bool {
	for ctx.Err() == nil && finishing.Step() != StepDone {
		if c.step(ctx, key, finishing) != nil {
			return false
		}
	}
	return finishing.Step() == StepDone
}

// later goes on for the time of a lease; after that a repeat marks the claim as unknown.
func (c *Manager) later(key table.Key, finishing Finalization, lease time.Duration) {
	select {
	case c.pending <- struct{}{}:
	default:
		c.record("claim_outcome_dropped", finishing.result, "too many outcomes wait for the table")
		return
	}
	c.record("claim_outcome_waits", finishing.result, string(finishing.result.State))
	c.finishes.Go(func() {
		defer func() { <-c.pending }()
		ctx, cancel := context.WithTimeout(context.Background(), lease)
		defer cancel()
		for wait := firstRetry; ctx.Err() == nil; wait = min(2*wait, maxRetry) {
			select {
			case <-time.After(wait/2 + rand.N(wait)): //nolint:gosec // Only an even spread matters.
			case <-ctx.Done():
			}
			if c.try(ctx, key, &finishing) {
				return
			}
		}
	})
}

// Drain waits until no outcome waits for the table, or ctx is done.
func (c *Manager) Drain(ctx context.Context) {
	ended := make(chan struct{})
	go func() {
		c.finishes.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
}

func (c *Manager) record(name event.Name, record Record, detail string) {
	c.config.Events.Record(event.Event{Name: name, Request: record.Request, Detail: detail})
}
