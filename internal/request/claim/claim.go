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
	// acquireTimeout bounds the wait for the table before a request runs.
	acquireTimeout = 2 * time.Second
	// finalizeTimeout bounds the wait for the table before an answer is given out.
	finalizeTimeout = 500 * time.Millisecond
	// initialRetryDelay is the wait after the first failed try to record an outcome; it doubles up to maxRetry.
	initialRetryDelay = time.Second
	maxRetryDelay     = 16 * time.Second
	// maxPendingFinalizations bounds the outcomes that wait for the table; those beyond become unknown by their lease.
	maxPendingFinalizations = 1024
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
	pending       chan struct{}
	finalizations sync.WaitGroup
	watch         *watch
}

// New returns the claims of an entry.
func New(config Config) *Manager {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Manager{config: config, pending: make(chan struct{}, maxPendingFinalizations), watch: newWatch()}
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
	manager *Manager
	key     table.Key
	record  Record
	once    sync.Once
}

// Acquire returns the verdict, with the claim where it is held and the kept answer where there is one.
func (m *Manager) Acquire(ctx context.Context, request Request) (Result, *Handle, *Response) {
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	handle := &Handle{manager: m, key: Key(request.Customer, request.IdempotencyKey), record: Record{
		Request: request.ID, RequestDigest: request.RequestDigest, LeaseMS: (request.Timeout + leaseMargin).Milliseconds(),
		ExpiresUnix: m.config.Now().Add(Retention).Unix(),
	}}
	acquisition := NewAcquisition(handle.key, handle.record)
	for acquisition.Step() != StepDone {
		_ = m.step(ctx, handle.key, &acquisition)
	}
	result := acquisition.Result()
	if result == ResultAcquired {
		return result, handle, nil
	}
	if result == ResultInProgress {
		m.watch.add(acquisition.row, acquisition.found)
	}
	if result == ResultUnavailable && acquisition.writeInDoubt {
		handle.finalize(ctx, StateReleased, nil)
	}
	return result, nil, acquisition.found.Response
}

// protocol is a protocol that the driver steps through.
type protocol interface {
	Step() Step
	Transaction() table.Transaction
	OnCommit(err error)
	OnRead(row table.Row, err error)
}

// step does what a protocol asks for and returns the error of a read.
func (m *Manager) step(ctx context.Context, key table.Key, current protocol) error {
	if current.Step() == StepCommit {
		current.OnCommit(m.config.Table.Commit(ctx, current.Transaction()))
		return nil
	}
	rows, err := m.config.Table.Read(ctx, key)
	if err != nil {
		current.OnRead(table.Row{}, err)
		return err
	}
	current.OnRead(rows[0], nil)
	return nil
}

// Complete binds the answer of a request that ran; it waits for the table for a short time only.
func (h *Handle) Complete(ctx context.Context, response Response) {
	if len(response.Body) > MaxStoredBody {
		response.Body = nil
		response.BodyDropped = true
	}
	h.finalize(ctx, StateDone, &response)
}

// Fail ends the claim of a request without a whole answer; after Answered it does nothing.
func (h *Handle) Fail(ctx context.Context, known outcome.Outcome) {
	if known == outcome.NotRun {
		h.finalize(ctx, StateReleased, nil)
		return
	}
	h.finalize(ctx, StateUnknown, nil)
}

// finalize tries at once and goes on in the background where the table does not answer in time.
func (h *Handle) finalize(ctx context.Context, state State, response *Response) {
	h.once.Do(func() {
		result := h.record
		result.State = state
		result.Response = response
		finalization := NewFinalization(h.key, result)
		firstTry, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalizeTimeout)
		defer cancel()
		if h.manager.tryFinalize(firstTry, h.key, &finalization) {
			return
		}
		h.manager.finalizeInBackground(h.key, finalization, time.Duration(h.record.LeaseMS)*time.Millisecond)
	})
}

// tryFinalize steps until the end or the first failed read, and reports whether the protocol has ended.
func (m *Manager) tryFinalize(ctx context.Context, key table.Key, finalization *Finalization) bool {
	for ctx.Err() == nil && finalization.Step() != StepDone {
		if m.step(ctx, key, finalization) != nil {
			return false
		}
	}
	return finalization.Step() == StepDone
}

// finalizeInBackground goes on for the time of a lease; after that a repeat marks the claim as unknown.
func (m *Manager) finalizeInBackground(key table.Key, finalization Finalization, lease time.Duration) {
	select {
	case m.pending <- struct{}{}:
	default:
		m.record("claim_outcome_dropped", finalization.result, "too many outcomes wait for the table")
		return
	}
	m.record("claim_outcome_waits", finalization.result, string(finalization.result.State))
	m.finalizations.Go(func() {
		defer func() { <-m.pending }()
		ctx, cancel := context.WithTimeout(context.Background(), lease)
		defer cancel()
		for delay := initialRetryDelay; ctx.Err() == nil; delay = min(2*delay, maxRetryDelay) {
			select {
			case <-time.After(delay/2 + rand.N(delay)): //nolint:gosec // Only an even spread matters.
			case <-ctx.Done():
			}
			if m.tryFinalize(ctx, key, &finalization) {
				return
			}
		}
	})
}

// Drain waits until no outcome waits for the table, or ctx is done.
func (m *Manager) Drain(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		m.finalizations.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (m *Manager) record(name event.Name, record Record, detail string) {
	m.config.Events.Record(event.Event{Name: name, Request: record.Request, Detail: detail})
}
