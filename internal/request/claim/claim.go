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

// Timeouts and limits of the claims of one process.
const (
	// acquireTimeout limits the wait for the table service before a request is sent.
	acquireTimeout = 2 * time.Second
	// finalizeTimeout limits the wait for the table service before the caller gets the end of the response.
	finalizeTimeout = 500 * time.Millisecond
	// initialRetryDelay is the delay after the first failed attempt to record an outcome; it doubles up to maxRetryDelay.
	initialRetryDelay = time.Second
	maxRetryDelay     = 16 * time.Second
	// maxPendingFinalizations limits the outcomes that wait for the table service. An outcome beyond the limit is dropped,
	// and its claim becomes unknown after its lease, as if the owner had crashed.
	maxPendingFinalizations = 1024
	// leaseMargin is added to a request's timeout to get the lease of its claim. It covers the time from the acquisition
	// to the start of the request, and the time to record the outcome.
	leaseMargin = 5 * time.Second
)

// Config holds the dependencies of a manager.
type Config struct {
	Table  table.Table
	Events *event.Recorder
	// Now returns the wall-clock time, which is used for the retention only; nil means time.Now.
	Now func() time.Time
}

// Manager acquires and finalizes the claims of one entry.
//
// If the owner of a claim records no outcome within the lease of the claim, an entry that got a repeated request marks the claim
// as unknown.
type Manager struct {
	config Config
	// pending is a semaphore; it holds one token for each outcome that waits for the table service.
	pending       chan struct{}
	finalizations sync.WaitGroup
	watch         *watch
}

// New returns the manager of an entry.
func New(config Config) *Manager {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Manager{config: config, pending: make(chan struct{}, maxPendingFinalizations), watch: newWatch()}
}

// Request is a request with an idempotency key, which must run at most once.
type Request struct {
	ID             ident.Request
	Customer       ident.Customer
	IdempotencyKey string
	// RequestDigest is the digest of the request, as returned by the function RequestDigest.
	RequestDigest string
	// Timeout is the maximum duration of the request.
	Timeout time.Duration
}

// Handle is a claim that this process has acquired.
type Handle struct {
	manager *Manager
	key     table.Key
	record  Record
	once    sync.Once
}

// Acquire tries to acquire the claim of a request.
//
// It returns the result, with a handle if the claim was acquired and with the stored response if there is one.
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

// protocol is a state machine that step executes: an acquisition or a finalization.
type protocol interface {
	Step() Step
	Transaction() table.Transaction
	OnCommit(err error)
	OnRead(row table.Row, err error)
}

// step executes the next step of a protocol and returns the error of a failed read.
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

// Complete records the response of a request that ran.
//
// It waits for the table service for finalizeTimeout at most; after that the outcome is recorded in the background.
func (h *Handle) Complete(ctx context.Context, response Response) {
	if len(response.Body) > MaxStoredBody {
		response.Body = nil
		response.BodyDropped = true
	}
	h.finalize(ctx, StateDone, &response)
}

// Fail ends the claim of a request without a complete response; after Complete it does nothing.
func (h *Handle) Fail(ctx context.Context, runOutcome outcome.Outcome) {
	if runOutcome == outcome.NotRun {
		h.finalize(ctx, StateReleased, nil)
		return
	}
	h.finalize(ctx, StateUnknown, nil)
}

// finalize tries to record the outcome at once, and continues in the background if the table service does not respond in time.
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

// tryFinalize executes steps until the protocol ends or a read fails, and reports whether the protocol has ended.
func (m *Manager) tryFinalize(ctx context.Context, key table.Key, finalization *Finalization) bool {
	for ctx.Err() == nil && finalization.Step() != StepDone {
		if m.step(ctx, key, finalization) != nil {
			return false
		}
	}
	return finalization.Step() == StepDone
}

// finalizeInBackground retries to record the outcome for the duration of a lease.
//
// If the outcome is not recorded by then, a process that got a repeated request marks the claim as unknown.
func (m *Manager) finalizeInBackground(key table.Key, finalization Finalization, lease time.Duration) {
	select {
	case m.pending <- struct{}{}:
	default:
		m.record("claim_outcome_dropped", finalization.result, "outcome not recorded: too many outcomes wait for the table service")
		return
	}
	m.record("claim_outcome_waits", finalization.result, string(finalization.result.State))
	m.finalizations.Go(func() {
		defer func() { <-m.pending }()
		ctx, cancel := context.WithTimeout(context.Background(), lease)
		defer cancel()
		for delay := initialRetryDelay; ctx.Err() == nil; delay = min(2*delay, maxRetryDelay) {
			select {
			case <-time.After(delay/2 + rand.N(delay)): //nolint:gosec // Only spreads the retries.
			case <-ctx.Done():
			}
			if m.tryFinalize(ctx, key, &finalization) {
				return
			}
		}
	})
}

// Drain waits until no outcome waits for the table service or ctx is done.
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
