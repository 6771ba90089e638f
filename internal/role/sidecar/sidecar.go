// Package sidecar assembles the sidecar process, which runs beside an endpoint's backend and admits the requests that entries
// send to it over links.
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
	"vanillapond/internal/process/holdings"
	"vanillapond/internal/process/ledger"
	"vanillapond/internal/process/listener"
	"vanillapond/internal/process/metrics"
	"vanillapond/internal/process/suspect"
	"vanillapond/internal/request/guard"
	"vanillapond/internal/role/member"
)

// loadInterval is the time between two load reports to all entries.
const loadInterval = time.Second

// orphanScans is how many times the sidecar scans for orphaned usage records within the orphan timeout, the time after which a
// record counts as orphaned.
const orphanScans = 4

// Config configures a sidecar.
type Config struct {
	Settings Settings
	// Log receives one line per event.
	Log io.Writer
}

// Sidecar is a running sidecar process.
type Sidecar struct {
	config          Config
	identity        *member.Member
	events          *event.Recorder
	guard           *guard.Guard
	recordBuffer    *ledger.RecordBuffer
	metrics         *metrics.Metrics
	linkServer      *link.Server
	linkListener    *listener.Listener
	privateListener *listener.Listener
	// callers bounds what entries hold, and internal what the clients of the private listener do.
	callers, internal *holdings.Account
	cancel            context.CancelFunc
	loops             sync.WaitGroup
}

// Start starts a sidecar.
func Start(ctx context.Context, config Config) (*Sidecar, error) {
	identity, err := member.New(member.Config{
		Process: config.Settings.Process, SecretFile: config.Settings.LinkSecretFile, Log: config.Log,
	})
	if err != nil {
		return nil, err
	}
	s := &Sidecar{config: config, identity: identity, events: identity.Events, metrics: identity.Metrics}
	s.callers, s.internal = identity.NewHoldings(config.Settings.Limits)
	s.recordBuffer = ledger.NewRecordBuffer(ledger.RecordBufferConfig{
		Table:       platformclient.New(platformclient.Config{Base: config.Settings.Platform, Process: config.Settings.Process}),
		Incarnation: identity.Incarnation, Interval: max(config.Settings.OrphanTimeout()/orphanScans, time.Millisecond),
		OrphanTimeout: config.Settings.OrphanTimeout(),
	})
	s.guard = guard.New(guard.Config{
		Endpoint: config.Settings.Endpoint,
		Backend: backend.New(backend.Config{
			BaseURL: config.Settings.Backend, Kind: config.Settings.Kind, Holdings: identity.NewResponseHoldings(config.Settings.Limits),
		}),
		Events:             identity.Events,
		Incarnation:        identity.Incarnation,
		BroadcastSuspicion: func(suspicion suspect.Suspicion) { s.linkServer.Broadcast(s.guard.Load(), suspicion) },
		RecordBuffer:       s.recordBuffer,
		Concurrency:        config.Settings.Concurrency,
	})
	hello := func() link.Hello {
		message := identity.Hello()
		message.Endpoint = config.Settings.Endpoint
		message.Load = s.guard.Load()
		return message
	}
	s.linkServer = link.NewServer(link.ServerConfig{
		Hello: hello, Handler: s.guard, QueryOutcome: s.guard.QueryOutcome, RecordBuffer: s.recordBuffer, EventClock: identity.Events.Clock(),
		Holdings: s.callers,
	})
	if err := s.startListeners(ctx); err != nil {
		return nil, err
	}
	loopCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	s.cancel = cancel
	s.loops.Go(func() { s.reportLoad(loopCtx) })
	s.loops.Go(func() { s.recordBuffer.Run(loopCtx) })
	s.events.Record(event.Event{Name: "sidecar_started", Endpoint: config.Settings.Endpoint, Detail: s.linkListener.Address()})
	return s, nil
}

func (s *Sidecar) startListeners(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle(fleet.PathLink, s.linkServer)
	tlsConfig, err := certificate.NewServerConfig(s.config.Settings.ProcessTLS, "http/1.1")
	if err != nil {
		return err
	}
	if s.linkListener, err = listener.Start(ctx, listener.Config{
		Address: s.config.Settings.Listen, Handler: mux, TLS: tlsConfig, OnPanic: s.events.RecordPanic, Holdings: s.callers,
		OnHeadRefused: s.identity.RecordRefusedHead,
	}); err != nil {
		return err
	}
	private := http.NewServeMux()
	private.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	private.HandleFunc("GET /ready", func(http.ResponseWriter, *http.Request) {})
	private.Handle("GET "+event.PathEvents, s.events)
	private.Handle("GET "+metrics.Path, s.metrics.Handler())
	s.metrics.Gauge("vanillapond_endpoint_running", "Requests at the back end.", func() float64 {
		return float64(s.guard.Load().Running)
	})
	s.metrics.Gauge("vanillapond_endpoint_waiting", "Requests in the sidecar's queue.", func() float64 {
		return float64(s.guard.Load().Waiting)
	})
	s.privateListener, err = listener.Start(ctx, listener.Config{
		Address: s.config.Settings.PrivateListen, Handler: private, Holdings: s.internal, OnHeadRefused: s.identity.RecordRefusedHead,
	})
	return err
}

// reportLoad regularly sends the current load to all entries.
func (s *Sidecar) reportLoad(ctx context.Context) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.linkServer.Broadcast(s.guard.Load())
		case <-ctx.Done():
			return
		}
	}
}

// Address returns the address of the listener for links.
func (s *Sidecar) Address() string { return s.linkListener.Address() }

// Stop shuts the sidecar down gracefully: running requests are completed if they end within the drain timeout.
func (s *Sidecar) Stop(ctx context.Context) {
	s.events.Record(event.Event{Name: "sidecar_draining", Endpoint: s.config.Settings.Endpoint})
	ctx, cancel := context.WithTimeout(ctx, s.config.Settings.DrainTimeout())
	defer cancel()
	s.recordBuffer.Close(ctx)
	s.guard.Close()
	s.linkServer.Broadcast(s.guard.Load())
	s.guard.Drain(ctx)
	s.linkServer.Drain(ctx)
	s.cancel()
	s.loops.Wait()
	s.events.Record(event.Event{Name: "sidecar_stopped", Endpoint: s.config.Settings.Endpoint})
	s.linkListener.Drain(ctx)
	s.privateListener.Drain(ctx)
}
