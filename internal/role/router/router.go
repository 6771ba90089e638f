// Package router assembles the process that takes callers' requests straight to servers on the users' platform.
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
	"vanillapond/internal/process/journal"
	"vanillapond/internal/process/lease"
	"vanillapond/internal/process/listener"
	"vanillapond/internal/process/peers"
	"vanillapond/internal/process/usage"
	"vanillapond/internal/request/admission"
	"vanillapond/internal/request/forward"
	"vanillapond/internal/request/placement"
	"vanillapond/internal/request/repeat"
	"vanillapond/internal/version/routes"
	"vanillapond/pkg/ident"
	"vanillapond/platform"
)

// Config says what a router runs with.
type Config struct {
	Settings platform.Settings
	// Log gets the log lines.
	Log io.Writer
	// MetricsPort is where the counters are served; 0 means nowhere.
	MetricsPort int
	// Build is the version of the program, for the log.
	Build string
}

// Router is a running process.
type Router struct {
	settings    platform.Settings
	build       string
	incarnation ident.Incarnation
	journal     *journal.Journal
	metrics     *metrics
	store       *platform.Store
	current     *routes.Current
	servers     *servers.Registry
	peers       *peers.Registry
	suspects    *forward.SuspectList
	counter     *usage.Counter
	lease       *lease.Lease
	callers     *listener.Listener
	ready       *listener.Listener
	exposed     *listener.Listener
	gossip      *gossip
	told        told
	reporter    *usage.Reporter
	// serversRead is when the newest answer to the question for servers was asked for, a clock.Reading.
	serversRead atomic.Int64
	state       state
	// promised are the bounds of the newest settings; those that a part was built with stay as they are.
	promised atomic.Pointer[platform.Bounds]
	// cancel ends the loops, and loops waits for them.
	cancel context.CancelFunc
	loops  sync.WaitGroup
	// cancelDuties ends the loops of the duty alone.
	cancelDuties context.CancelFunc
	duties       sync.WaitGroup
	boards       *perService[*placement.Balancer]
	precedences  *perService[*admission.Controller]
	budgets      *perService[*repeat.Budget]
}

// memoryShare is the part of the memory limit that the heap may fill before collection becomes eager.
const memoryShare = 0.6

// Start runs a router until Stop.
func Start(ctx context.Context, config Config) (*Router, error) {
	settings := config.Settings
	if settings.CallersAddress == "" || settings.ReadyAddress == "" {
		return nil, oops.Errorf("settings of %s: found no addresses for callers and readiness", settings.Process)
	}
	if settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryLimit)))
	}
	incarnation, err := ident.NewIncarnation(settings.Process, time.Now(), rand.Reader)
	if err != nil {
		return nil, err
	}
	r := &Router{
		settings: settings, build: config.Build, incarnation: incarnation, current: &routes.Current{}, suspects: forward.NewSuspectList(),
		boards:      newPerService(func() *placement.Balancer { return placement.New(uint64(time.Now().UnixNano())) }),
		precedences: newPerService(func() *admission.Controller { return &admission.Controller{} }),
		state:       state{regained: make(chan struct{})},
	}
	r.budgets = newPerService(r.newBudget)
	r.promised.Store(&settings.Bounds)
	r.metrics = newMetrics(r)
	r.journal = journal.New(journal.Config{Out: config.Log, OnDrop: r.metrics.dropped})
	r.journal.Log("start", "process", settings.Process, "incarnation", incarnation, "build", config.Build,
		"domain", settings.Domain, "callers", settings.CallersAddress, "ready", settings.ReadyAddress, "store", settings.Store.Address,
		"duties", settings.Duties.Address, "memory_bytes", settings.MemoryLimit)
	if err := r.assemble(ctx, config); err != nil {
		return nil, err
	}
	return r, nil
}

func (r *Router) assemble(ctx context.Context, config Config) error {
	settings := r.settings
	r.store = platform.NewStore(platform.StoreConfig{
		Address: settings.Store.Address, Timeout: storeTimeout, Dial: socket.Dial, Observe: r.observeStore,
	})
	r.servers = servers.New(servers.Config{
		NewPool: r.newPool, ReturnTime: returnTime, Contact: contactLeft(settings.Bounds), OutageTime: outageBeats * settings.Heartbeat,
	})
	address, err := netip.ParseAddr(settings.Address)
	if err != nil {
		return oops.Wrapf(err, "address of %s", settings.Process)
	}
	r.peers = peers.New(peers.Config{
		Table: r.store, Feed: r.store, Process: settings.Process, Incarnation: r.incarnation,
		Address: netip.AddrPortFrom(address, settings.PeerPort), Usage: func() usage.Counts { return r.counter.Counts() }, Log: r.journal.Log,
		MaxHeartbeatInterval: share(beatShare, settings.Bounds.UsageLate), WritesPerSecond: settings.Store.WritesPerSecond,
	})
	r.counter = usage.NewCounter(settings.Bounds.UsageWindow, r.peers.AgreedTime)
	r.lease = lease.New(lease.Config{
		Table: r.store, Name: dutyLease, Process: settings.Process, Incarnation: r.incarnation, Term: settings.Bounds.LeaseTerm, Ranking: r.place,
	})
	r.reporter = r.newReporter()
	if r.gossip, err = newGossip(ctx, r); err != nil {
		return err
	}
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	r.cancel = cancel
	r.run(running)
	return r.listen(ctx, config)
}

// listen opens the sockets; callers come last.
func (r *Router) listen(ctx context.Context, config Config) error {
	panicked := func(reason string) { r.journal.Log("panic", "reason", reason) }
	failed := func(message string) { r.journal.Log("listener_error", "err", message) }
	var err error
	if config.MetricsPort != 0 {
		address := r.settings.Address + ":" + strconv.Itoa(config.MetricsPort)
		if r.exposed, err = listener.Start(ctx, listener.Config{Address: address, Handler: r.exposedHandler(), OnPanic: panicked, OnError: failed}); err != nil {
			r.journal.Log("metrics_unavailable", "address", address, "err", err)
		}
	}
	handler := http.HandlerFunc(r.answerReady)
	if r.ready, err = listener.Start(ctx, listener.Config{Address: r.settings.ReadyAddress, Handler: handler, OnPanic: panicked, OnError: failed}); err != nil {
		return err
	}
	accepting, err := socket.Listen(ctx, r.settings.CallersAddress)
	if err != nil {
		return oops.Wrapf(err, "listen on %s", r.settings.CallersAddress)
	}
	r.callers, err = listener.Start(ctx, listener.Config{
		Socket: accepting, Handler: r.forwarder(), OnPanic: panicked, OnError: failed, WriteTimeout: callerWriteTimeout,
		Limits: r.callerLimits,
	})
	return err
}

// callerLimits returns what the newest configuration allows callers.
func (r *Router) callerLimits() listener.Limits {
	known := r.current.Table()
	if known == nil {
		return listener.Limits{}
	}
	limits := known.Limits()
	return listener.Limits{HeaderTimeout: limits.HeaderTimeout.Duration(), IdleTimeout: limits.IdleTimeout.Duration()}
}

func (r *Router) forwarder() http.Handler {
	return forward.New(forward.Config{
		Domain: r.settings.Domain, Current: r.current, Servers: r.servers, Balancer: r.boards.of, Admission: r.precedences.of, Budget: r.budgets.of,
		Suspects: r.suspects, Usage: r.counter, Observe: r.observe,
		MaxKeyAge:  func() time.Duration { return share(keyShare, r.bounds().Revoke) },
		MaxDenyAge: func() time.Duration { return share(unreadyShare, r.bounds().Revoke) },
	})
}

func (r *Router) newBudget() *repeat.Budget {
	bounds := r.settings.Bounds
	return repeat.New(repeat.Config{
		Ratio: repeatShare * bounds.RetryRatio, Extra: repeatShare * bounds.RetryExtra, Window: bounds.RetryWindow, Instances: r.peers.FleetSize,
	})
}

// budgetsLeft returns how many repeats may be made now, by service.
func (r *Router) budgetsLeft(now time.Time) map[ident.Pool]float64 {
	left := make(map[ident.Pool]float64)
	for service, budget := range r.budgets.all() {
		left[service] = budget.Remaining(now)
	}
	return left
}

// serversAge returns how old the knowledge of the servers is; 0 before the first.
func (r *Router) serversAge() time.Duration {
	read := clock.Reading(r.serversRead.Load())
	if read == 0 {
		return 0
	}
	return clock.Boot().Sub(read)
}

// place ranks the entry among those that may hold the duty.
func (r *Router) place() lease.Ranking {
	members := []ident.Process{r.settings.Process}
	for _, peer := range r.peers.Peers() {
		members = append(members, peer.Process)
	}
	return lease.Rank(dutyLease, r.settings.Process, members)
}

// Stop ends the process without cutting a request that ends within the grace time.
func (r *Router) Stop(ctx context.Context) {
	began := time.Now()
	grace := r.bounds().Grace
	r.journal.Log("stopping", "grace", grace)
	r.state.leave()
	r.callers.DisableKeepAlives()
	r.cancelDuties()
	r.duties.Wait()
	released, cancel := context.WithTimeout(ctx, storeTimeout)
	if err := r.lease.Release(released); err != nil {
		r.journal.Log("lease_not_released", "err", err)
	}
	cancel()
	clock.Sleep(ctx, time.Until(began.Add(acceptTime)), nil)
	draining, cancel := context.WithDeadline(ctx, began.Add(grace-stopReserve))
	r.callers.Drain(draining)
	cancel()
	last, cancel := context.WithDeadline(ctx, began.Add(grace-stopReserve/2))
	if err := r.peers.Write(last, true); err != nil {
		r.journal.Log("entry_unwritten", "err", err)
	}
	cancel()
	r.cancel()
	ended, cancel := context.WithCancel(ctx)
	cancel()
	for _, each := range []*listener.Listener{r.ready, r.exposed} {
		if each != nil {
			each.Drain(ended)
		}
	}
	r.loops.Wait()
	r.journal.Log("stopped", "took", time.Since(began))
	r.journal.Close(journalTimeout)
}

// configAge returns how old the knowledge of the configuration is.
func (r *Router) configAge() time.Duration { return r.current.Age(clock.Boot()) }
