// Package router assembles a router instance: the process that accepts callers' requests and forwards them directly to the servers
// that are registered in the platform's store.
package router

import (
	"context"
	"crypto/rand"
	"io"
	"net/http"
	"net/netip"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"vanillapond/internal/connection/servers"
	"vanillapond/internal/connection/socket"
	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/follow"
	"vanillapond/internal/process/grace"
	"vanillapond/internal/process/holdings"
	"vanillapond/internal/process/journal"
	"vanillapond/internal/process/lease"
	"vanillapond/internal/process/listener"
	"vanillapond/internal/process/peers"
	"vanillapond/internal/process/quarantine"
	"vanillapond/internal/process/sharedrate"
	"vanillapond/internal/process/usage"
	"vanillapond/internal/request/admission"
	"vanillapond/internal/request/fairshare"
	"vanillapond/internal/request/forward"
	"vanillapond/internal/request/placement"
	"vanillapond/internal/request/retry"
	"vanillapond/internal/request/waiting"
	"vanillapond/internal/version/routes"
	"vanillapond/pkg/ident"
	"vanillapond/platform"
)

// Config configures a router.
type Config struct {
	Settings platform.Settings
	// Log receives the log lines.
	Log io.Writer
	// MetricsPort is the port that serves the metrics; 0 disables it.
	MetricsPort int
	// FairShares turns on equal shares of load-aware engine services between customers while the services are short of capacity.
	FairShares bool
	// Build is the version of the program, for the log and the served state.
	Build string
}

// Router is a running router instance.
type Router struct {
	settings      platform.Settings
	build         string
	incarnation   ident.Incarnation
	journal       *journal.Journal
	metrics       *metrics
	store         *platform.Store
	configuration *routes.Current
	servers       *servers.Registry
	peers         *peers.Registry
	suspects      *forward.SuspectList
	quarantine    *quarantine.Registry
	crashes       servers.CrashDetector
	// pendingVerdicts holds the verdicts of this instance that are not in the store yet.
	pendingVerdicts chan quarantine.VerdictReport
	// pendingSuspects holds the digests of requests that this instance blocked and that are not in the store yet.
	pendingSuspects chan uint64
	counter         *usage.Counter
	lease           *lease.Lease
	callerListener  *listener.Listener
	readyListener   *listener.Listener
	metricsListener *listener.Listener
	// grace begins when the instance is asked to stop.
	grace *grace.Period
	// callers bounds what callers hold, probes what the clients of the other listeners do, and responses what is kept of servers' responses.
	callers, probes, responses *holdings.Account
	gossip                     *gossip
	origins                    *origins
	// evacuated holds the failure domains that the operator has evacuated; only the loop that applies the operator's table uses it, and the
	// set is replaced, never modified.
	evacuated map[ident.FailureDomain]bool
	// lastSoftware holds the software versions of the latest list of servers; only the loop that applies the list uses it.
	lastSoftware map[ident.Pool][]ident.Software
	// softwareChanged asks for a comparison of the software versions with the store.
	softwareChanged chan struct{}
	peerUsage       usageByPeer
	peerFreshness   peerFreshness
	reporter        *usage.Reporter
	// serverList tells as of when the known list of servers is current.
	serverList *follow.Confirmer
	health     health
	// startedAt is when the router was started.
	startedAt clock.Reading
	// currentBounds are the bounds of the latest settings. Components that were built with earlier bounds keep those.
	currentBounds atomic.Pointer[platform.Bounds]
	// cancel ends the background loops, and loops waits for them.
	cancel context.CancelFunc
	loops  sync.WaitGroup
	// cancelReporting ends only the loops of usage reporting, and reporting waits for them.
	cancelReporting      context.CancelFunc
	reporting            sync.WaitGroup
	balancers            *perService[*placement.Balancer]
	admissionControllers *perService[*admission.Controller]
	waiting              *perService[*waiting.Controller]
	retryBudgets         *perService[*retry.Budget]
	// fairShares means that customers have shares, and shares holds what shares each load-aware engine service between its customers.
	fairShares bool
	shares     *perService[*fairshare.Controller]
}

// Start starts a router, which runs until Stop is called.
func Start(ctx context.Context, config Config) (*Router, error) {
	settings := config.Settings
	if settings.CallersAddress == "" || settings.ReadyAddress == "" {
		return nil, oops.Errorf("settings of %s: the addresses for callers and for readiness probes must be set", settings.Process)
	}
	if settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(holdings.SoftLimit(holdings.Bytes(settings.MemoryLimit))))
	}
	incarnation, err := ident.NewIncarnation(settings.Process, time.Now(), rand.Reader)
	if err != nil {
		return nil, err
	}
	r := &Router{
		settings: settings, fairShares: config.FairShares, build: config.Build, incarnation: incarnation, startedAt: clock.Boot(),
		configuration:        &routes.Current{},
		balancers:            newPerService(func(ident.Pool) *placement.Balancer { return placement.New(uint64(time.Now().UnixNano())) }),
		admissionControllers: newPerService(func(ident.Pool) *admission.Controller { return &admission.Controller{} }),
		shares:               newPerService(func(ident.Pool) *fairshare.Controller { return fairshare.New() }),
		health:               health{recovered: make(chan struct{})},
	}
	r.retryBudgets = newPerService(r.newRetryBudget)
	r.waiting = newPerService(r.newWaiting)
	r.currentBounds.Store(&settings.Bounds)
	r.grace = grace.New()
	r.callers, r.probes = r.newHoldings(callerLimits(settings)), r.newHoldings(probeLimits)
	r.responses = r.newHoldings(holdings.NewResponseLimits(holdings.Bytes(settings.MemoryLimit)))
	r.metrics = newMetrics(r)
	r.journal = journal.New(journal.Config{Out: config.Log, OnDrop: r.metrics.countDroppedLine})
	r.journal.Log("start", "process", settings.Process, "incarnation", incarnation, "build", config.Build,
		"domain", settings.Domain, "callers", settings.CallersAddress, "ready", settings.ReadyAddress, "store", settings.Store.Address,
		"duties", settings.Duties.Address, "memory_bytes", settings.MemoryLimit, "caller_bytes", int64(r.callers.Limits().Bytes),
		"caller_connections", r.callers.Limits().Connections)
	r.origins = r.newOrigins()
	r.softwareChanged = make(chan struct{}, 1)
	r.pendingSuspects = make(chan uint64, maxPendingSuspects)
	r.suspects = forward.NewSuspectList(forward.SuspectConfig{
		OnEvent: r.recordSuspect, AgreedTime: func() time.Time { return r.peers.AgreedTime() },
	})
	r.crashes.OnCrash = r.recordCrash
	r.pendingVerdicts = make(chan quarantine.VerdictReport, maxPendingVerdicts)
	r.quarantine = quarantine.New(quarantine.Config{OwnsTrials: r.ownsTrials, OnEvent: r.recordQuarantine})
	if err := r.assemble(ctx, config); err != nil {
		return nil, err
	}
	return r, nil
}

func (r *Router) assemble(ctx context.Context, config Config) error {
	settings := r.settings
	r.store = platform.NewStore(platform.StoreConfig{
		Address: settings.Store.Address, Timeout: storeTimeout, Dial: socket.DialReset, Observe: r.observeStoreCall, OnRestore: r.observeRestore,
	})
	r.serverList = follow.NewConfirmer(follow.ConfirmerConfig{Feed: r.store, Table: platform.ServersTable, Interval: r.confirmInterval})
	r.servers = servers.New(servers.Config{
		NewPool: r.newPool, ReregistrationTimeout: reregistrationTime, RecoveryBound: missingServerTimeout(settings.Bounds),
		MinOutage: minOutageHeartbeats * settings.Heartbeat,
		ListAsOf:  r.serverList.AsOf, RegistrationTimeout: registrationTimeout(settings.Heartbeat),
		OnEvent:     func(event servers.Event) { r.recordAnnouncement(event) },
		WarmupLimit: r.warmupLimit,
		Share:       func() sharedrate.Share { return r.peers.Share() }, AgreedTime: func() time.Time { return r.peers.AgreedTime() },
	})
	address, err := netip.ParseAddr(settings.Address)
	if err != nil {
		return oops.Wrapf(err, "parse the address of %s", settings.Process)
	}
	r.peers = peers.New(peers.Config{
		Table: r.store, Feed: r.store, Process: settings.Process, Incarnation: r.incarnation,
		Address: netip.AddrPortFrom(address, settings.PeerPort), Usage: func() usage.Counts { return r.counter.Counts() },
		Log:                  r.journal.Log,
		MaxHeartbeatInterval: fraction(usageWriteFraction, settings.Bounds.UsageLate), WritesPerSecond: settings.Store.WritesPerSecond,
	})
	r.counter = usage.NewCounter(settings.Bounds.UsageWindow, r.peers.AgreedTime)
	r.lease = lease.New(lease.Config{
		Table: r.store, Name: usageLease, Process: settings.Process, Incarnation: r.incarnation, Term: settings.Bounds.LeaseTerm,
		Ranking: r.leaseRank,
	})
	r.reporter = r.newReporter()
	if r.gossip, err = newGossip(ctx, r); err != nil {
		return err
	}
	loopCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	r.cancel = cancel
	r.start(loopCtx)
	return r.listen(ctx, config)
}

// listen starts the listeners. The one for callers is started last, when everything else is running.
func (r *Router) listen(ctx context.Context, config Config) error {
	onPanic := func(reason string) { r.journal.Log("panic", "reason", reason) }
	onError := func(message string) { r.journal.Log("listener_error", "err", message) }
	var err error
	if config.MetricsPort != 0 {
		address := r.settings.Address + ":" + strconv.Itoa(config.MetricsPort)
		if r.metricsListener, err = listener.Start(ctx, listener.Config{
			Address: address, Handler: r.metricsHandler(), OnPanic: onPanic, OnError: onError, Holdings: r.probes,
		}); err != nil {
			r.journal.Log("metrics_unavailable", "address", address, "err", err)
		}
	}
	handler := http.HandlerFunc(r.serveReady)
	if r.readyListener, err = listener.Start(ctx, listener.Config{
		Address: r.settings.ReadyAddress, Handler: handler, OnPanic: onPanic, OnError: onError, Holdings: r.probes,
	}); err != nil {
		return err
	}
	callerSocket, err := socket.Listen(ctx, r.settings.CallersAddress)
	if err != nil {
		return oops.Wrapf(err, "listen for callers on %s", r.settings.CallersAddress)
	}
	r.callerListener, err = listener.Start(ctx, listener.Config{
		Socket: callerSocket, Handler: r.forwarder(), OnPanic: onPanic, OnError: onError, WriteTimeout: callerWriteTimeout,
		Limits: r.callerLimits, Holdings: r.callers, OnHeadRefused: r.observeRefusedHead,
	})
	return err
}

// callerLimits returns the limits for caller connections from the configuration in force.
func (r *Router) callerLimits() listener.Limits {
	routeTable := r.configuration.Table()
	if routeTable == nil {
		return listener.Limits{}
	}
	limits := routeTable.Limits()
	return listener.Limits{
		HeaderBytes: limits.HeaderBytes, HeaderTimeout: limits.HeaderTimeout.Duration(), IdleTimeout: limits.IdleTimeout.Duration(),
	}
}

func (r *Router) forwarder() http.Handler {
	return forward.New(forward.Config{
		Domain: r.settings.Domain, Process: r.settings.Process, Current: r.configuration, Servers: r.servers, Balancer: r.balancers.get,
		Admission: r.admissionControllers.get, Waiting: r.waiting.get,
		Shares: r.customerShares(), Instances: r.knownInstances,
		Budget:   r.retryBudgets.get,
		Suspects: r.suspects, Quarantine: r.quarantine, HasCrashed: r.crashes.HasCrashed, Usage: r.counter, Origins: r.origins, Observe: r.observe,
		OnInvalidPause: r.recordInvalid("pause_invalid"), OnInvalidLimit: r.recordInvalid("limit_invalid"),
		OnInvalidLoad: r.recordInvalid("load_invalid"), OnFalseLoad: r.recordFalseLoad,
		Grace: r.grace, Holdings: r.callers, Responses: r.responses, OnTooLong: r.observeTooLong,
		PeersCurrent: func() bool {
			return r.peerFreshness.mostlyCurrent(clock.Boot(), overdueAge(r.bounds()))
		},
		MaxKeyAge:  func() time.Duration { return fraction(keyStaleFraction, r.bounds().Revoke) },
		MaxDenyAge: func() time.Duration { return overdueAge(r.bounds()) },
	})
}

// customerShares returns what shares a service between its customers, nil if customers have no shares.
func (r *Router) customerShares() func(ident.Pool) *fairshare.Controller {
	if !r.fairShares {
		return nil
	}
	return r.shares.get
}

// warmupLimit returns the limit of a service's servers while they warm up.
func (r *Router) warmupLimit(name ident.Pool) servers.WarmupLimit {
	routeTable, bounds := r.configuration.Table(), r.bounds()
	if routeTable == nil || bounds.WarmupOverage < 1 {
		return servers.WarmupLimit{}
	}
	service := routeTable.Service(name)
	if service == nil {
		return servers.WarmupLimit{}
	}
	return servers.WarmupLimit{Rate: sharedrate.Rate(service.WarmupRate), Overage: bounds.WarmupOverage, Slack: bounds.WarmupSlack}
}

// unknownFleet is more than the instances of any fleet.
const unknownFleet = 1 << 20

// instances returns the number of instances that share a limit. Before the others are known it is unknownFleet: instances that start together
// must not each use all of it.
func (r *Router) instances() int {
	if count := r.peers.Share().Count; count > 0 {
		return count
	}
	return unknownFleet
}

// serversAge returns how old the known list of servers is; 0 before the first one.
func (r *Router) serversAge() time.Duration {
	asOf := r.serverList.AsOf()
	if asOf == 0 {
		return 0
	}
	return clock.Boot().Sub(asOf)
}

// leaseRank returns this instance's rank among the router instances that may hold the lease for usage reports.
func (r *Router) leaseRank() lease.Ranking {
	processes := []ident.Process{r.settings.Process}
	for _, peer := range r.peers.Peers() {
		processes = append(processes, peer.Process)
	}
	return lease.Rank(usageLease, r.settings.Process, processes)
}

// Stop shuts the process down gracefully: requests that end within the grace period are completed.
func (r *Router) Stop(ctx context.Context) {
	start := time.Now()
	end := start.Add(r.bounds().Grace - stopReserve)
	acceptUntil := start.Add(min(drainAcceptTime, time.Until(end)))
	r.journal.Log("stopping", "grace", r.bounds().Grace)
	r.grace.Begin(acceptUntil, end.Add(-answerReserve))
	r.health.drain()
	r.origins.known.ShareAgain()
	r.stopWaiting()
	r.callerListener.DisableKeepAlives()
	r.cancelReporting()
	r.reporting.Wait()
	r.releaseLease(ctx)
	clock.Sleep(ctx, time.Until(acceptUntil), nil)
	drainCtx, cancel := context.WithDeadline(ctx, end)
	r.callerListener.Drain(drainCtx)
	cancel()
	writeCtx, cancel := context.WithDeadline(ctx, end.Add(stopReserve/2))
	if err := r.peers.Write(writeCtx, true); err != nil {
		r.journal.Log("entry_unwritten", "err", err)
	}
	cancel()
	r.cancel()
	endedCtx, cancel := context.WithCancel(ctx)
	cancel()
	for _, each := range []*listener.Listener{r.readyListener, r.metricsListener} {
		if each != nil {
			each.Drain(endedCtx)
		}
	}
	r.loops.Wait()
	r.journal.Log("stopped", "took", time.Since(start))
	r.journal.Close(journalTimeout)
}

// releaseLease releases the lease for usage reports. If a report may still be in flight, it lets the lease lapse, so that the report can't arrive after
// those of the next holder.
func (r *Router) releaseLease(ctx context.Context) {
	if r.reporter.MayBeInFlight() {
		r.journal.Log("lease_not_released", "err", "a report may be in flight")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := r.lease.Release(ctx); err != nil {
		r.journal.Log("lease_not_released", "err", err)
	}
}

// configAge returns the time since the configuration in force was last confirmed to be the newest.
func (r *Router) configAge() time.Duration { return r.configuration.Age(clock.Boot()) }
