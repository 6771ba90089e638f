// Package entry assembles the entry process, which accepts callers' requests and forwards them to the sidecars of endpoints.
package entry

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"vanillapond/internal/body"
	"vanillapond/internal/connection/fleet"
	"vanillapond/internal/connection/platformclient"
	"vanillapond/internal/process/certificate"
	"vanillapond/internal/process/event"
	"vanillapond/internal/process/grace"
	"vanillapond/internal/process/holdings"
	"vanillapond/internal/process/ledger"
	"vanillapond/internal/process/listener"
	"vanillapond/internal/process/metrics"
	"vanillapond/internal/process/platform"
	"vanillapond/internal/process/scaling"
	"vanillapond/internal/process/suspect"
	"vanillapond/internal/request/claim"
	"vanillapond/internal/request/dispatch"
	"vanillapond/internal/request/gateway"
	"vanillapond/internal/request/operations"
	"vanillapond/internal/role/member"
	"vanillapond/internal/version/freshness"
	"vanillapond/internal/version/peer"
	"vanillapond/internal/version/replica"
	"vanillapond/internal/version/snapshot"
	"vanillapond/internal/version/store"
	"vanillapond/internal/version/watch"
	"vanillapond/pkg/configuration"
	"vanillapond/pkg/operator"
)

// leaseCallDivisor sets the fraction of a lease's term that a call to the table may take: one third, so that a slow table does not
// make the holder lose its lease.
const leaseCallDivisor = 3

// Config configures an entry.
type Config struct {
	Settings Settings
	// Log receives one line per event.
	Log io.Writer
}

// Entry is a running entry process.
type Entry struct {
	config        Config
	identity      *member.Member
	client        *platformclient.Client
	vms           *platform.CachedVMs
	ledger        *ledger.Ledger
	suspectSharer *suspect.Sharer
	// replica is this process's copy of the configuration.
	replica          *replica.Replica
	events           *event.Recorder
	fleet            *fleet.Fleet
	snapshots        *snapshot.Holder
	callerListener   *listener.Listener
	operatorListener *listener.Listener
	privateListener  *listener.Listener
	// peerListener is nil if the private listener serves the other entries' requests.
	peerListener *listener.Listener
	freshness    *freshness.Gate
	peerNode     *peer.Node
	watcher      *watch.Watcher
	scaling      *scalingControl
	reporting    *reporting
	meter        *scaling.Meter
	metrics      *metrics.Metrics
	readiness    *readiness
	claims       *claim.Manager
	// grace begins when the entry is asked to stop.
	grace *grace.Period
	// callers bounds what callers hold, and internal what operators and other processes do.
	callers, internal *holdings.Account
	suspects          *suspect.Registry
	cancel            context.CancelFunc
	loops             sync.WaitGroup
}

// Start starts an entry.
func Start(ctx context.Context, config Config) (*Entry, error) {
	settings := config.Settings
	identity, err := member.New(member.Config{Process: settings.Process, SecretFile: settings.LinkSecretFile, Log: config.Log})
	if err != nil {
		return nil, err
	}
	dialer, err := certificate.NewClient(settings.ProcessTLS)
	if err != nil {
		return nil, err
	}
	e := &Entry{
		config: config, identity: identity, events: identity.Events, metrics: identity.Metrics,
		client:    platformclient.New(platformclient.Config{Base: settings.Platform, Process: settings.Process}),
		snapshots: new(snapshot.Holder),
		meter:     scaling.NewMeter(),
		suspects:  suspect.NewRegistry(),
		grace:     grace.New(),
	}
	e.callers, e.internal = identity.NewHoldings(settings.Limits)
	e.connectFleet(dialer)
	e.ledger = ledger.New(ledger.Config{
		Table: e.client, Process: settings.Process, Incarnation: identity.Incarnation,
		WindowLength: e.windowLength, Interval: settings.FlushInterval(), OnAcknowledgment: e.fleet.Acknowledge,
	})
	e.claims = claim.New(claim.Config{Table: e.client, Events: e.events})
	e.suspectSharer = suspect.NewSharer(suspect.Config{Registry: e.suspects, Table: e.client})
	e.suspectSharer.Read(ctx)
	e.watchConfiguration(dialer)
	if err := e.startListeners(ctx); err != nil {
		e.fleet.Close()
		return nil, err
	}
	e.run(ctx)
	e.events.Record(event.Event{Name: "entry_started", Detail: e.callerListener.Address()})
	return e, nil
}

// connectFleet sets up the links to the sidecars.
func (e *Entry) connectFleet(dialer *http.Client) {
	settings := e.config.Settings
	e.fleet = fleet.New(fleet.Config{
		Hello:    e.identity.Hello(),
		Events:   e.events,
		Suspects: e.suspects,
		HTTP:     dialer,
		Scheme:   settings.urlScheme("ws"),
		Rank: func(pool []configuration.Endpoint) []configuration.Endpoint {
			return rankEndpoints(settings.Process, pool)
		},
		LinksPerPool: linksPerPool,
	})
	e.registerGauges()
	e.readiness = &readiness{linked: e.fleet.Linked}
	e.snapshots.Observe(e.fleet.Update)
}

// run starts the background loops, and starts to compete for the leases.
func (e *Entry) run(ctx context.Context) {
	settings := e.config.Settings
	loopCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	e.cancel = cancel
	for _, loop := range []func(context.Context){
		e.watcher.Run, e.ledger.Run, e.claims.Run, e.suspectSharer.Run,
		func(ctx context.Context) { e.fleet.Watch(ctx, e.vms) },
	} {
		e.loops.Go(func() { loop(loopCtx) })
	}
	term := settings.LeaseTerm()
	leaseClient := platformclient.New(platformclient.Config{
		Base: settings.Platform, Process: settings.Process, Timeout: term / leaseCallDivisor,
	})
	e.scaling = newScalingControl(scalingConfig{
		Process: settings.Process, Incarnation: e.identity.Incarnation, Term: term, Table: leaseClient, Orders: leaseClient,
		Fleet: e.fleet, Meter: e.meter, Snapshots: e.snapshots, Events: e.events,
	})
	e.snapshots.Observe(e.scaling.update)
	e.reporting = e.startReporting(e.client, e.identity.Incarnation)
}

// watchConfiguration sets up the components that keep the configuration up to date.
func (e *Entry) watchConfiguration(dialer *http.Client) {
	settings := e.config.Settings
	e.freshness = freshness.NewGate(freshness.New(freshness.Config{Address: settings.PeerAddress, Domain: settings.Domain}), nil)
	e.replica = replica.New(replica.Config{
		Store:  store.New(store.Config{Table: e.client, Objects: e.client}),
		Holder: e.snapshots, Events: e.events, OnHeadRead: e.freshness.ObserveTable,
	})
	e.vms = platform.NewCachedVMs(e.client, time.Now)
	e.peerNode = peer.New(peer.Config{
		Process: settings.Process, Address: settings.PeerAddress, Domain: settings.Domain, Secret: e.identity.Secret,
		Replica: e.replica, Gate: e.freshness, Events: e.events, Scheme: settings.urlScheme("http"), HTTP: dialer, Holdings: e.internal,
	})
	var seeds []freshness.Peer
	for _, configured := range settings.Peers {
		seeds = append(seeds, freshness.Peer{Address: configured.Address, Name: string(configured.Process), Domain: configured.Domain})
	}
	e.watcher = watch.New(watch.Config{
		Replica: e.replica, Gate: e.freshness, Peers: e.peerNode, VMs: e.vms, Events: e.events, Seeds: seeds,
	})
}

// liveEntries returns the number of entries among which the customers' limits are divided; at least 1.
func (e *Entry) liveEntries() int {
	entries, _ := e.fleet.Entries()
	return max(len(entries), 1)
}

func (e *Entry) windowLength() int64 {
	if current := e.snapshots.Current(); current != nil {
		return current.Configuration.Billing.WindowSeconds
	}
	return 0
}

// startListeners starts all listeners.
func (e *Entry) startListeners(ctx context.Context) error {
	callerHandler := gateway.New(gateway.Config{
		Snapshots: e.snapshots,
		Dispatcher: dispatch.New(dispatch.Config{
			Process: e.config.Settings.Process, Fleet: e.fleet, Events: e.events, Suspects: e.suspects,
		}),
		Ledger:    e.ledger,
		Events:    e.events,
		Freshness: e.freshness,
		Entries:   e.liveEntries,
		Meter:     e.meter,
		Metrics:   e.metrics,
		Claims:    e.claims,
		Holdings:  e.callers,
		Grace:     e.grace,
		Responses: e.identity.NewResponseHoldings(e.config.Settings.Limits),
	})
	operatorAPI := operations.New(operations.Config{
		Replica: e.replica, Snapshots: e.snapshots, Events: e.events, Propagator: e.watcher, RootDigest: e.config.Settings.RootOperator,
		Table: e.client,
	})
	settings := e.config.Settings
	var err error
	if e.callerListener, err = e.startListener(ctx, listener.Config{
		Address: settings.Listen, Handler: callerHandler, Holdings: e.callers,
	}, settings.CallerTLS); err != nil {
		return err
	}
	if e.operatorListener, err = e.startListener(ctx, listener.Config{
		Address: settings.OperatorListen, Handler: e.readBodies(operatorAPI.Handler()), Holdings: e.internal,
	}, settings.OperatorTLS); err != nil {
		return err
	}
	if settings.PeerListen != "" {
		mux := http.NewServeMux()
		mux.Handle("POST "+peer.Path, e.peerNode)
		if e.peerListener, err = e.startListener(ctx, listener.Config{
			Address: settings.PeerListen, Handler: mux, Holdings: e.internal,
		}, settings.ProcessTLS); err != nil {
			return err
		}
	}
	e.privateListener, err = e.startListener(ctx, listener.Config{
		Address: settings.PrivateListen, Handler: e.privateHandler(), Holdings: e.internal,
	}, certificate.Files{})
	return err
}

// startListener starts a listener, with TLS if files are given.
func (e *Entry) startListener(ctx context.Context, config listener.Config, files certificate.Files) (*listener.Listener, error) {
	var err error
	if config.TLS, err = certificate.NewServerConfig(files, "h2", "http/1.1"); err != nil {
		return nil, err
	}
	config.OnPanic, config.OnHeadRefused = e.events.RecordPanic, e.identity.RecordRefusedHead
	return listener.Start(ctx, config)
}

// operatorBodyTimeout bounds the time in which the body of an operator's request must arrive.
const operatorBodyTimeout = 30 * time.Second

// readBodies wraps the operators' API, so that the bodies of its requests are bounded together. A message that is a little too long is left to the API.
func (e *Entry) readBodies(api http.Handler) http.Handler {
	return body.NewHandler(body.HandlerConfig{
		Next: api, Limit: operator.MaxMessageBytes + 1, Timeout: operatorBodyTimeout, Account: e.internal,
	})
}

func (e *Entry) privateHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /ready", e.serveReady)
	mux.Handle("GET "+event.PathEvents, e.events)
	mux.Handle("GET "+metrics.Path, e.metrics.Handler())
	if e.config.Settings.PeerListen == "" {
		mux.Handle("POST "+peer.Path, e.peerNode)
	}
	return mux
}

// Addresses returns the addresses of the listeners for callers, for operators, and for probes, events and metrics.
func (e *Entry) Addresses() (callers, operators, private string) {
	return e.callerListener.Address(), e.operatorListener.Address(), e.privateListener.Address()
}

// Before the end of a planned stop, callers whose requests still run get an answer.
const (
	// answerReserve is the time before it, and answerReserveDivisor the largest part of the whole that it may take.
	answerReserve        = 500 * time.Millisecond
	answerReserveDivisor = 10
)

// Stop shuts the entry down gracefully: running requests are completed if they end within the drain timeout.
func (e *Entry) Stop(ctx context.Context) {
	e.events.Record(event.Event{Name: "entry_draining"})
	start, timeout := time.Now(), e.config.Settings.DrainTimeout()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	e.grace.Begin(start.Add(e.config.Settings.BalancerDelay()), start.Add(timeout-min(answerReserve, timeout/answerReserveDivisor)))
	e.readiness.drain()
	e.scaling.stop(ctx)
	e.reporting.stop(ctx)
	e.callerListener.DisableKeepAlives()
	time.Sleep(e.config.Settings.BalancerDelay())
	e.callerListener.Drain(ctx)
	e.operatorListener.Drain(ctx)
	e.claims.Drain(ctx)
	e.cancel()
	e.loops.Wait()
	e.fleet.Close()
	e.events.Record(event.Event{Name: "entry_stopped"})
	if e.peerListener != nil {
		e.peerListener.Drain(ctx)
	}
	e.privateListener.Drain(ctx)
}
