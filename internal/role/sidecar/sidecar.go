// Package sidecar assembles the process beside an endpoint.
package sidecar

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"vanillapond/internal/connection/backend"
	"vanillapond/internal/connection/fleet"
	"vanillapond/internal/connection/link"
	"vanillapond/internal/connection/platformclient"
	"vanillapond/internal/process/certificate"
	"vanillapond/internal/process/event"
	"vanillapond/internal/process/ledger"
	"vanillapond/internal/process/listener"
	"vanillapond/internal/process/metrics"
	"vanillapond/internal/process/suspect"
	"vanillapond/internal/request/guard"
	"vanillapond/internal/role/member"
)

// loadInterval is the time between two load readings to every entry.
const loadInterval = time.Second

// orphanLooks is how often orphans are looked for in the time after which a record is one.
const orphanLooks = 4

// Config says what a sidecar runs with.
type Config struct {
	Settings Settings
	// Log gets one line an event.
	Log io.Writer
}

// Sidecar is a running sidecar process.
type Sidecar struct {
	config  Config
	events  *event.Recorder
	guard   *guard.Guard
	copies  *ledger.RecordBuffer
	metrics *metrics.Metrics
	server  *link.Server
	links   *listener.Listener
	private *listener.Listener
	cancel  context.CancelFunc
	loops   sync.WaitGroup
}

// Start starts a sidecar.
func Start(ctx context.Context, config Config) (*Sidecar, error) {
	self, err := member.New(member.Config{
		Process: config.Settings.Process, SecretFile: config.Settings.LinkSecretFile, Log: config.Log,
	})
	if err != nil {
		return nil, err
	}
	s := &Sidecar{config: config, events: self.Events, metrics: self.Metrics}
	s.copies = ledger.NewRecordBuffer(ledger.RecordBufferConfig{
		Table:       platformclient.New(platformclient.Config{Base: config.Settings.Platform, Process: config.Settings.Process}),
		Incarnation: self.Incarnation, Interval: max(config.Settings.OrphanTimeout()/orphanLooks, time.Millisecond),
		OrphanTimeout: config.Settings.OrphanTimeout(),
	})
	s.guard = guard.New(guard.Config{
		Endpoint:           config.Settings.Endpoint,
		Backend:            backend.New(backend.Config{BaseURL: config.Settings.Backend, Kind: config.Settings.Kind}),
		Events:             self.Events,
		Incarnation:        self.Incarnation,
		BroadcastSuspicion: func(suspicion suspect.Suspicion) { s.server.Broadcast(s.guard.Load(), suspicion) },
		Copies:             s.copies,
		Concurrency:        config.Settings.Concurrency,
	})
	hello := func() link.Hello {
		own := self.Hello()
		own.Endpoint = config.Settings.Endpoint
		own.Load = s.guard.Load()
		return own
	}
	s.server = link.NewServer(link.ServerConfig{Hello: hello, Handler: s.guard, QueryOutcome: s.guard.QueryOutcome, RecordBuffer: s.copies, EventClock: self.Events.Clock()})
	if err := s.listen(ctx); err != nil {
		return nil, err
	}
	loopCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	s.cancel = cancel
	s.loops.Go(func() { s.report(loopCtx) })
	s.loops.Go(func() { s.copies.Run(loopCtx) })
	s.events.Record(event.Event{Name: "sidecar_started", Endpoint: config.Settings.Endpoint, Detail: s.links.Address()})
	return s, nil
}

func (s *Sidecar) listen(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle(fleet.PathLink, s.server)
	serving, err := certificate.NewServerConfig(s.config.Settings.ProcessTLS, "http/1.1")
	if err != nil {
		return err
	}
	if s.links, err = listener.Start(ctx, listener.Config{
		Address: s.config.Settings.Listen, Handler: mux, TLS: serving, OnPanic: s.events.RecordPanic,
	}); err != nil {
		return err
	}
	private := http.NewServeMux()
	private.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	private.HandleFunc("GET /ready", func(http.ResponseWriter, *http.Request) {})
	private.Handle("GET "+event.PathEvents, s.events)
	private.Handle("GET "+metrics.Path, s.metrics.Handler())
	s.metrics.Gauge("vanillapond_endpoint_running", "Requests at the back end.", func() float64 { return float64(s.guard.Load().Running) })
	s.metrics.Gauge("vanillapond_endpoint_waiting", "Requests in the sidecar's queue.", func() float64 { return float64(s.guard.Load().Waiting) })
	s.private, err = listener.Start(ctx, listener.Config{Address: s.config.Settings.PrivateListen, Handler: private})
	return err
}

// report sends load readings to every entry.
func (s *Sidecar) report(ctx context.Context) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.server.Broadcast(s.guard.Load())
		case <-ctx.Done():
			return
		}
	}
}

// Address returns the address that takes links.
func (s *Sidecar) Address() string { return s.links.Address() }

// Stop ends the sidecar without cutting a request.
func (s *Sidecar) Stop(ctx context.Context) {
	s.events.Record(event.Event{Name: "sidecar_draining", Endpoint: s.config.Settings.Endpoint})
	ctx, cancel := context.WithTimeout(ctx, s.config.Settings.DrainTimeout())
	defer cancel()
	s.copies.Close(ctx)
	s.guard.Close()
	s.server.Broadcast(s.guard.Load())
	s.guard.Drain(ctx)
	s.server.Drain(ctx)
	s.cancel()
	s.loops.Wait()
	s.events.Record(event.Event{Name: "sidecar_stopped", Endpoint: s.config.Settings.Endpoint})
	s.links.Drain(ctx)
	s.private.Drain(ctx)
}
