// Package entry assembles the process that takes callers' requests.
package entry

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"vanillapond/internal/connection/fleet"
	"vanillapond/internal/connection/platformclient"
	"vanillapond/internal/process/certificate"
	"vanillapond/internal/process/event"
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
)

// leaseCallShare is the part of a lease's term that a call to the table may take, so that a slow table keeps the holder.
const leaseCallShare = 3

// Config says what an entry runs with.
type Config struct {
	Settings Settings
	// Log gets one line an event.
	Log io.Writer
}

// Entry is a running entry process.
type Entry struct {
	config Config
	self   *member.Member
	client *platformclient.Client
	vms    *platform.CachedVMs
	usage  *ledger.Ledger
	sharer *suspect.Sharer
	// replica is this process's copy of the configuration.
	replica  *replica.Replica
	events   *event.Recorder
	fleet    *fleet.Fleet
	holder   *snapshot.Holder
	callers  *listener.Listener
	operator *listener.Listener
	private  *listener.Listener
	// peers is nil where the private listener takes the peers' questions.
	peers     *listener.Listener
	gate      *freshness.Gate
	node      *peer.Node
	watcher   *watch.Watcher
	control   *control
	reports   *reports
	meter     *scaling.Meter
	metrics   *metrics.Metrics
	readiness *readiness
	claims    *claim.Manager
	suspects  *suspect.Registry
	cancel    context.CancelFunc
	loops     sync.WaitGroup
}

// Start starts an entry.
func Start(ctx context.Context, config Config) (*Entry, error) {
	own := config.Settings
	self, err := member.New(member.Config{Process: own.Process, SecretFile: own.LinkSecretFile, Log: config.Log})
	if err != nil {
		return nil, err
	}
	dialer, err := certificate.NewClient(own.ProcessTLS)
	if err != nil {
		return nil, err
	}
	e := &Entry{
		config: config, self: self, events: self.Events, metrics: self.Metrics,
		client:   platformclient.New(platformclient.Config{Base: own.Platform, Process: own.Process}),
		holder:   new(snapshot.Holder),
		meter:    scaling.NewMeter(),
		suspects: suspect.NewRegistry(),
	}
	e.connect(dialer)
	e.usage = ledger.New(ledger.Config{
		Table: e.client, Process: own.Process, Incarnation: self.Incarnation,
		WindowLength: e.windowLength, Interval: own.FlushInterval(), OnAcknowledgment: e.fleet.Acknowledge,
	})
	e.claims = claim.New(claim.Config{Table: e.client, Events: e.events})
	e.sharer = suspect.NewSharer(suspect.Config{Registry: e.suspects, Table: e.client})
	e.sharer.Read(ctx)
	e.watch(dialer)
	if err := e.listen(ctx); err != nil {
		e.fleet.Close()
		return nil, err
	}
	e.run(ctx)
	e.events.Record(event.Event{Name: "entry_started", Detail: e.callers.Address()})
	return e, nil
}

// connect assembles the links to the sidecars.
func (e *Entry) connect(dialer *http.Client) {
	own := e.config.Settings
	e.fleet = fleet.New(fleet.Config{
		Hello:    e.self.Hello(),
		Events:   e.events,
		Suspects: e.suspects,
		HTTP:     dialer,
		Scheme:   own.scheme("ws"),
		Rank: func(pool []configuration.Endpoint) []configuration.Endpoint {
			return rank(own.Process, pool)
		},
		Links: linksPerPool,
	})
	e.gauges()
	e.readiness = &readiness{linked: e.fleet.Linked}
	e.holder.Observe(e.fleet.Update)
}

// run starts the loops and takes part in the leases.
func (e *Entry) run(ctx context.Context) {
	own := e.config.Settings
	loopCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	e.cancel = cancel
	for _, loop := range []func(context.Context){
		e.watcher.Run, e.usage.Run, e.claims.Run, e.sharer.Run,
		func(ctx context.Context) { e.fleet.Watch(ctx, e.vms) },
	} {
		e.loops.Go(func() { loop(loopCtx) })
	}
	term := own.LeaseTerm()
	patient := platformclient.New(platformclient.Config{Base: own.Platform, Process: own.Process, Timeout: term / leaseCallShare})
	e.control = newControl(controlConfig{
		Process: own.Process, Incarnation: e.self.Incarnation, Term: term, Table: patient, Orders: patient,
		Fleet: e.fleet, Meter: e.meter, Snapshots: e.holder, Events: e.events,
	})
	e.holder.Observe(e.control.update)
	e.reports = e.startReports(e.client, e.self.Incarnation)
}

// watch assembles what keeps the configuration up to date.
func (e *Entry) watch(dialer *http.Client) {
	own := e.config.Settings
	e.gate = freshness.NewGate(freshness.New(freshness.Config{Address: own.PeerAddress, Domain: own.Domain}), nil)
	e.replica = replica.New(replica.Config{
		Store:  store.New(store.Config{Table: e.client, Objects: e.client}),
		Holder: e.holder, Events: e.events, OnHead: e.gate.Table,
	})
	e.vms = platform.NewCachedVMs(e.client, time.Now)
	e.node = peer.New(peer.Config{
		Process: own.Process, Address: own.PeerAddress, Domain: own.Domain, Secret: e.self.Secret,
		Replica: e.replica, Gate: e.gate, Events: e.events, Scheme: own.scheme("http"), HTTP: dialer,
	})
	var seeds []freshness.Peer
	for _, listed := range own.Peers {
		seeds = append(seeds, freshness.Peer{Address: listed.Address, Name: string(listed.Process), Domain: listed.Domain})
	}
	e.watcher = watch.New(watch.Config{
		Replica: e.replica, Gate: e.gate, Peers: e.node, VMs: e.vms, Events: e.events, Seeds: seeds,
	})
}

// liveEntries returns how many entries share the customers' limits, at least 1.
func (e *Entry) liveEntries() int {
	entries, _ := e.fleet.Entries()
	return max(len(entries), 1)
}

func (e *Entry) windowLength() int64 {
	if current := e.holder.Current(); current != nil {
		return current.Configuration.Billing.WindowSeconds
	}
	return 0
}

// listen starts all listeners.
func (e *Entry) listen(ctx context.Context) error {
	callers := gateway.New(gateway.Config{
		Snapshots:  e.holder,
		Dispatcher: dispatch.New(dispatch.Config{Process: e.config.Settings.Process, Fleet: e.fleet, Events: e.events, Suspects: e.suspects}),
		Ledger:     e.usage,
		Events:     e.events,
		Freshness:  e.gate,
		Entries:    e.liveEntries,
		Meter:      e.meter,
		Metrics:    e.metrics,
		Claims:     e.claims,
	})
	operators := operations.New(operations.Config{
		Replica: e.replica, Snapshots: e.holder, Events: e.events, Propagator: e.watcher, RootDigest: e.config.Settings.RootOperator,
		Table: e.client,
	})
	own := e.config.Settings
	var err error
	if e.callers, err = e.start(ctx, own.Listen, callers, own.CallerTLS); err != nil {
		return err
	}
	if e.operator, err = e.start(ctx, own.OperatorListen, operators.Handler(), own.OperatorTLS); err != nil {
		return err
	}
	if own.PeerListen != "" {
		mux := http.NewServeMux()
		mux.Handle("POST "+peer.Path, e.node)
		if e.peers, err = e.start(ctx, own.PeerListen, mux, own.ProcessTLS); err != nil {
			return err
		}
	}
	e.private, err = e.start(ctx, own.PrivateListen, e.privateHandler(), certificate.Files{})
	return err
}

// start starts one listener.
func (e *Entry) start(ctx context.Context, address string, handler http.Handler, files certificate.Files) (*listener.Listener, error) {
	serving, err := certificate.NewServerConfig(files, "h2", "http/1.1")
	if err != nil {
		return nil, err
	}
	return listener.Start(ctx, listener.Config{Address: address, Handler: handler, TLS: serving, OnPanic: e.events.RecordPanic})
}

func (e *Entry) privateHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /ready", e.serveReady)
	mux.Handle("GET "+event.PathEvents, e.events)
	mux.Handle("GET "+metrics.Path, e.metrics.Handler())
	if e.config.Settings.PeerListen == "" {
		mux.Handle("POST "+peer.Path, e.node)
	}
	return mux
}

// Addresses returns the callers', operators' and private addresses.
func (e *Entry) Addresses() (callers, operators, private string) {
	return e.callers.Address(), e.operator.Address(), e.private.Address()
}

// Stop ends the entry without cutting a request.
func (e *Entry) Stop(ctx context.Context) {
	e.events.Record(event.Event{Name: "entry_draining"})
	ctx, cancel := context.WithTimeout(ctx, e.config.Settings.DrainTimeout())
	defer cancel()
	e.readiness.leave()
	e.control.stop(ctx)
	e.reports.stop(ctx)
	e.callers.DisableKeepAlives()
	time.Sleep(e.config.Settings.BalancerDelay())
	e.callers.Drain(ctx)
	e.operator.Drain(ctx)
	e.claims.Drain(ctx)
	e.cancel()
	e.loops.Wait()
	e.fleet.Close()
	e.events.Record(event.Event{Name: "entry_stopped"})
	if e.peers != nil {
		e.peers.Drain(ctx)
	}
	e.private.Drain(ctx)
}
