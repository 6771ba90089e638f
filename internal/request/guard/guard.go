// Package guard is the admission control of a sidecar: it makes the final decision on which requests run at its endpoint.
package guard

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"vanillapond/internal/connection/backend"
	"vanillapond/internal/connection/link"
	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/event"
	"vanillapond/internal/process/ledger"
	"vanillapond/internal/process/suspect"
	"vanillapond/pkg/ident"
)

// minRetryAfter is the shortest retry delay reported to entries when the endpoint denies a request.
const minRetryAfter = 500 * time.Millisecond

// Config configures a Guard.
type Config struct {
	Endpoint ident.Endpoint
	Backend  *backend.Backend
	Events   *event.Recorder
	// Incarnation identifies this run of the sidecar.
	Incarnation ident.Incarnation
	// BroadcastSuspicion sends a suspicion to every connected entry; nil disables it.
	BroadcastSuspicion func(suspicion suspect.Suspicion)
	// RecordBuffer holds the usage of completed requests until it is durable.
	RecordBuffer *ledger.RecordBuffer
	// Concurrency is the number of requests that the backend runs concurrently; at least 1.
	Concurrency int
}

// Guard admits requests to one backend.
type Guard struct {
	config    Config
	admission *admission
	sequence  atomic.Uint64
	// suspectSlot holds one element while a suspect runs: a request that was running when an endpoint crashed. Suspects run
	// one at a time, so that another crash shows which of them causes it.
	suspectSlot chan struct{}
	startLog    *startLog
	mu          sync.Mutex
	// draining is never reset; guarded by mu.
	draining bool
	// crash is guarded by mu.
	crash crashState
	// running counts admitted requests; guarded by mu.
	running sync.WaitGroup
}

// New returns a guard.
func New(config Config) *Guard {
	return &Guard{config: config, admission: newAdmission(config.Concurrency), suspectSlot: make(chan struct{}, 1), startLog: newStartLog(clock.Boot())}
}

// Load returns the current load.
func (g *Guard) Load() link.Load {
	g.mu.Lock()
	draining := g.draining
	g.mu.Unlock()
	running, waiting := g.admission.counts()
	return link.Load{
		Sequence: g.sequence.Add(1),
		Running:  running,
		Waiting:  waiting,
		Capacity: g.config.Concurrency,
		Draining: draining,
	}
}

// Close makes the guard refuse all new requests.
func (g *Guard) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
}

// Drain waits for the requests admitted before Close to end, or for the end of the context.
func (g *Guard) Drain(ctx context.Context) {
	ended := make(chan struct{})
	go func() {
		g.running.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
}

// ServeStream implements link.Handler.
func (g *Guard) ServeStream(stream *link.Incoming) {
	if !g.admit() {
		g.deny(stream, link.Deny{Code: link.DenyDraining, NotRun: true, Reason: "the endpoint is leaving"})
		return
	}
	defer g.running.Done()
	ctx, cancel := context.WithTimeout(stream.Context(), time.Duration(stream.Open.DeadlineMS)*time.Millisecond)
	defer cancel()
	if stream.Open.Suspect {
		if !g.acquireSuspectSlot(ctx, stream) {
			return
		}
		defer func() { <-g.suspectSlot }()
	}
	job := g.acquireSlot(ctx, stream)
	if job == nil {
		return
	}
	var usage link.Usage
	defer func() { job.release(usage) }()
	crashes, up := g.checkBackend()
	if !up {
		g.deny(stream, link.Deny{Code: link.DenyDown, NotRun: true, Reason: "the backend has crashed and is not back yet"})
		return
	}
	if deny := g.checkStart(ctx, stream); deny != nil {
		g.deny(stream, *deny)
		return
	}
	usage = g.run(ctx, stream, job, crashes)
}

func (g *Guard) admit() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return false
	}
	g.running.Add(1)
	return true
}

// run sends the request to the backend and returns its usage, also when the response was interrupted. crashesBefore is the number of
// crashes of the backend before the request started.
func (g *Guard) run(ctx context.Context, stream *link.Incoming, job *job, crashesBefore int) link.Usage {
	if err := stream.Accept(g.Load()); err != nil {
		return link.Usage{}
	}
	g.record("backend_started", stream, "")
	usage, err := g.config.Backend.Run(ctx, stream.Open, &meteredResponse{ResponseWriter: stream, job: job})
	switch {
	case err == nil:
		g.record("backend_ended", stream, "")
		g.finish(stream, usage)
	case errors.Is(err, backend.ErrNotReached):
		g.deny(stream, link.Deny{Code: link.DenyDown, NotRun: true, Reason: err.Error()})
	case ctx.Err() != nil:
		g.deny(stream, link.Deny{Code: link.DenyCancelled, Reason: context.Cause(ctx).Error() + ": " + err.Error()})
	default:
		g.failStream(stream, crashesBefore, err.Error())
	}
	return usage
}

// finish stores a copy of the usage before the entry can learn that the request has ended.
func (g *Guard) finish(stream *link.Incoming, usage link.Usage) {
	record := ledger.Record{
		Tag: stream.Open.Tag, Request: stream.Open.Request, Customer: stream.Open.Customer,
		Usage: ledger.Usage{Requests: usage.Requests, Prompt: usage.Prompt, Completion: usage.Completion},
	}
	g.config.RecordBuffer.Add(stream.Entry().Incarnation, record)
	if err := stream.End(usage, g.Load()); err != nil {
		g.config.RecordBuffer.Drop(record.Tag)
	}
}

func (g *Guard) deny(stream *link.Incoming, deny link.Deny) {
	deny.Load = g.Load()
	g.record("stream_denied", stream, string(deny.Code)+": "+deny.Reason)
	_ = stream.Deny(deny)
}

func (g *Guard) record(name event.Name, stream *link.Incoming, detail string) {
	open := stream.Open
	g.config.Events.Record(event.Event{
		Name: name, Request: open.Request, Customer: open.Customer, Class: open.Class,
		Endpoint: g.config.Endpoint, Version: open.Version, Detail: detail,
	})
}
