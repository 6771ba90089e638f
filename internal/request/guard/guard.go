// Package guard has the last word on what runs at an endpoint.
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

// busyRetry is when coming back to a full endpoint may help.
const busyRetry = 500 * time.Millisecond

// Config says what a guard protects.
type Config struct {
	Endpoint ident.Endpoint
	Backend  *backend.Backend
	Events   *event.Recorder
	// Incarnation names this run of the sidecar.
	Incarnation ident.Incarnation
	// BroadcastSuspicion passes news of a suspect on to every entry; nil means to none.
	BroadcastSuspicion func(suspicion suspect.Suspicion)
	// Copies keeps the usage of what was run.
	Copies *ledger.RecordBuffer
	// Concurrency is how many requests the back end runs at a time; at least 1.
	Concurrency int
}

// Guard admits requests to one back end.
type Guard struct {
	config    Config
	admission *admission
	sequence  atomic.Uint64
	// suspects holds one token while a suspect runs.
	suspects chan struct{}
	starts   *starts
	mu       sync.Mutex
	// draining is never cleared; guarded by mu.
	draining bool
	// crashes is guarded by mu.
	crashes crashes
	// running counts admitted requests; guarded by mu.
	running sync.WaitGroup
}

// New returns a guard.
func New(config Config) *Guard {
	return &Guard{config: config, admission: newAdmission(config.Concurrency), suspects: make(chan struct{}, 1), starts: newStarts(clock.Boot())}
}

// Load returns the load now.
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

// Close refuses new requests from now on.
func (g *Guard) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
}

// Drain waits until the requests that run after Close have ended.
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
	if !g.enter() {
		g.deny(stream, link.Deny{Code: link.DenyDraining, NotRun: true, Reason: "the endpoint is leaving"})
		return
	}
	defer g.running.Done()
	ctx, cancel := context.WithTimeout(stream.Context(), time.Duration(stream.Open.DeadlineMS)*time.Millisecond)
	defer cancel()
	if stream.Open.Suspect {
		if !g.aloneAmongSuspects(ctx, stream) {
			return
		}
		defer func() { <-g.suspects }()
	}
	place := g.acquire(ctx, stream)
	if place == nil {
		return
	}
	var usage link.Usage
	defer func() { place.release(usage) }()
	if deny := g.mayStart(ctx, stream); deny != nil {
		g.deny(stream, *deny)
		return
	}
	usage = g.run(ctx, stream, place)
}

func (g *Guard) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return false
	}
	g.running.Add(1)
	return true
}

// run returns what the back end has done, also where the answer broke off.
func (g *Guard) run(ctx context.Context, stream *link.Incoming, place *place) link.Usage {
	if err := stream.Accept(g.Load()); err != nil {
		return link.Usage{}
	}
	g.record("backend_started", stream, "")
	usage, err := g.config.Backend.Run(ctx, stream.Open, &metered{ResponseWriter: stream, place: place})
	switch {
	case err == nil:
		g.lives()
		g.record("backend_ended", stream, "")
		g.end(stream, usage)
	case errors.Is(err, backend.ErrNotReached):
		g.deny(stream, link.Deny{Code: link.DenyDown, NotRun: true, Reason: err.Error()})
	case ctx.Err() != nil:
		g.deny(stream, link.Deny{Code: link.DenyCancelled, Reason: context.Cause(ctx).Error() + ": " + err.Error()})
	default:
		g.cut(stream, err.Error())
	}
	return usage
}

// end keeps a copy of the usage before the entry can hear of the end.
func (g *Guard) end(stream *link.Incoming, usage link.Usage) {
	record := ledger.Record{
		Tag: stream.Open.Tag, Request: stream.Open.Request, Customer: stream.Open.Customer,
		Usage: ledger.Usage{Requests: usage.Requests, Prompt: usage.Prompt, Completion: usage.Completion},
	}
	g.config.Copies.Add(stream.Entry().Incarnation, record)
	if err := stream.End(usage, g.Load()); err != nil {
		g.config.Copies.Drop(record.Tag)
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
