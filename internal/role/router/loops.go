package router

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"vanillapond/internal/connection/direct"
	"vanillapond/internal/connection/servers"
	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/follow"
	"vanillapond/internal/process/table"
	"vanillapond/internal/process/usage"
	"vanillapond/pkg/ident"
	"vanillapond/platform"
)

// health records whether the instance is draining, whether the store is reachable, and the last readiness state.
type health struct {
	draining atomic.Bool
	mu       sync.Mutex
	// storeDown is set while the last call to the store got no response; guarded by mu.
	storeDown bool
	// recovered is closed when the store responds again; guarded by mu.
	recovered chan struct{}
	// ready is the last readiness state that the load balancer got; guarded by mu.
	ready bool
}

func (h *health) drain() { h.draining.Store(true) }

func (h *health) storeUnavailable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.storeDown
}

// storeRecovered returns a channel that is closed when the store responds again.
func (h *health) storeRecovered() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.recovered
}

// recordStoreCall records whether a call to the store got a response, and reports whether the store's availability changed.
func (h *health) recordStoreCall(answered bool) (changed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed = h.storeDown == answered
	h.storeDown = !answered
	if changed && answered {
		close(h.recovered)
		h.recovered = make(chan struct{})
	}
	return changed
}

// start starts the background loops.
func (r *Router) start(ctx context.Context) {
	loops := []func(context.Context){
		// No batch delay: pausing before the next long poll would let the known configuration grow more stale.
		r.followTable(platform.OperatorTable, configPollTimeout(r.settings.Bounds), 0, r.applyConfiguration),
		r.followTable(platform.ServersTable, serversPollTimeout(r.settings.Bounds), serversBatchDelay, r.applyServers),
		r.followTable(quarantineTable, verdictsPollTimeout, 0, r.applyVerdicts),
		r.peers.Run, r.sweep, r.gossip.receive, r.gossip.send, r.storeVerdicts, r.keepSuspects, r.origins.share, r.origins.join, r.syncSoftware, r.serverList.Run,
	}
	for _, loop := range loops {
		r.loops.Go(func() { loop(ctx) })
	}
	r.runReporting(ctx)
}

// followTable returns a loop that follows a table of the store by long polls and applies its changes.
func (r *Router) followTable(table string, pollTimeout, batchDelay time.Duration, apply func(follow.Update)) func(context.Context) {
	config := follow.Config{
		Feed: r.store, Table: table, PollTimeout: pollTimeout, BatchDelay: batchDelay, Apply: apply, OnError: r.logFeedFailure(table),
		Recovered: r.health.storeRecovered,
	}
	return func(ctx context.Context) { follow.Run(ctx, config) }
}

// newReporter returns the usage reporter; its events are logged and counted.
func (r *Router) newReporter() *usage.Reporter {
	return usage.NewReporter(usage.ReporterConfig{
		Table: r.store, Lease: r.lease, ReadCounts: r.collectUsage, HeartbeatInterval: r.peers.HeartbeatInterval,
		WindowLength: r.settings.Bounds.UsageWindow, MaxReportDelay: r.settings.Bounds.UsageLate, Now: r.peers.AgreedTime,
		EraSince: r.storeEraSince,
		Log: func(event string, pairs ...any) {
			r.metrics.countUsageEvent(event)
			r.journal.Log(event, pairs...)
		},
		Sender: usageReportSender{
			duties: platform.NewDuties(platform.DutiesConfig{Address: r.settings.Duties.Address, Process: r.settings.Process}),
		},
	})
}

// runReporting starts the loops of usage reporting. Stop ends them first, so that another instance can take over the lease.
func (r *Router) runReporting(ctx context.Context) {
	reporting, cancel := context.WithCancel(ctx)
	r.cancelReporting = cancel
	r.reporting.Go(func() { r.lease.Run(reporting) })
	r.reporting.Go(func() { r.reporter.Run(reporting) })
	r.reporting.Go(func() { r.watchLease(reporting) })
}

// watchLease logs when the instance acquires or loses the lease for usage reports.
func (r *Router) watchLease(ctx context.Context) {
	for {
		select {
		case <-r.lease.Changed():
			fence, _, held := r.lease.Held()
			r.journal.Log("lease", "duty", usageLease, "held", held, "fence", fence)
		case <-ctx.Done():
			return
		}
	}
}

// logFeedFailure returns a function that logs a failed poll of a table.
func (r *Router) logFeedFailure(table string) func(error) {
	return func(err error) { r.journal.Log("feed_failed", "table", table, "config_age", r.configAge(), "err", err) }
}

// applyConfiguration applies new configuration versions. It confirms that the configuration in force is current, unless the store
// holds one that is unreadable or older.
func (r *Router) applyConfiguration(update follow.Update) {
	r.applyEvacuations(update)
	confirmed := true
	for _, change := range update.Changes {
		if change.Key != platform.OperatorTable+"/"+platform.ConfigurationKey || change.Deleted {
			continue
		}
		confirmed = r.applyVersion(change)
	}
	if confirmed {
		r.configuration.Confirm(update.CurrentAsOf, update.Revision)
	}
}

// applyEvacuations applies the rows by which the operator evacuates failure domains.
func (r *Router) applyEvacuations(update follow.Update) {
	evacuated := make(map[ident.FailureDomain]bool)
	if !update.Snapshot {
		maps.Copy(evacuated, r.evacuated)
	}
	for _, change := range update.Changes {
		domain, found := platform.EvacuatedDomain(strings.TrimPrefix(string(change.Key), platform.OperatorTable+"/"))
		switch {
		case !found:
		case change.Deleted:
			delete(evacuated, domain)
		default:
			evacuated[domain] = true
		}
	}
	r.evacuated = evacuated
	if r.servers.Evacuate(evacuated) {
		r.recheckWaiting()
		_, ready := r.servers.Counts()
		domains := slices.Sorted(maps.Keys(evacuated))
		r.journal.Log("evacuation", "domains", fmt.Sprint(domains), "revision", update.Revision, "ready", ready)
	}
}

// applyVersion applies one version, and reports whether the configuration in force is as new as the one in the store.
func (r *Router) applyVersion(change table.Change) bool {
	configuration, err := platform.DecodeConfiguration(change.Value)
	if err != nil {
		r.journal.Log("configuration_unreadable", "revision", change.Revision, "kept", r.configuration.Version(), "err", err)
		return false
	}
	before := r.configuration.Version()
	if r.configuration.Advance(configuration) {
		r.journal.Log("configuration", "version", configuration.Version, "before", before, "routes", len(configuration.Routes),
			"services", len(configuration.Services), "customers", len(configuration.Customers), "revision", change.Revision)
		r.recheckWaiting()
		return true
	}
	if configuration.Version < before {
		r.journal.Log("configuration_older", "version", configuration.Version, "kept", before, "revision", change.Revision)
		return false
	}
	return true
}

// applyServers applies the last change of each server's registration. A registration that cannot be decoded counts as removed.
func (r *Router) applyServers(update follow.Update) {
	gap := r.missesServers(update)
	registered := make(map[ident.Endpoint]platform.Server)
	removed := make(map[ident.Endpoint]bool)
	for _, change := range update.Changes {
		id := ident.Endpoint(strings.TrimPrefix(string(change.Key), platform.ServersTable+"/"))
		delete(registered, id)
		delete(removed, id)
		if change.Deleted {
			removed[id] = true
			continue
		}
		server, err := platform.DecodeServer(id, change.Value)
		if err != nil {
			r.journal.Log("server_unreadable", "server", id, "revision", change.Revision, "err", err)
			removed[id] = true
			continue
		}
		registered[id] = server
	}
	added, deregistered := slices.Collect(maps.Values(registered)), slices.Collect(maps.Keys(removed))
	r.logServers(r.servers.Update(added, deregistered, update.Snapshot))
	if gap {
		r.journal.Log("servers_missed", "snapshot", update.Snapshot, "revision", update.Revision)
		r.origins.known.ObserveGap()
		r.requestSoftwareSync()
	}
	r.observeSoftware()
	r.serverList.Applied(update)
}

// missesServers reports whether an update shows that servers have come and gone, or had another software version, between two states of the list.
func (r *Router) missesServers(update follow.Update) bool {
	if update.Snapshot {
		return r.servers.Listed()
	}
	inUpdate := make(map[ident.Endpoint]ident.Software)
	for _, change := range update.Changes {
		id := ident.Endpoint(strings.TrimPrefix(string(change.Key), platform.ServersTable+"/"))
		listed, isListed := r.servers.Software(id)
		earlier, isChangedAgain := inUpdate[id]
		if change.Deleted {
			if !isListed || isChangedAgain && earlier != listed {
				return true
			}
			continue
		}
		server, err := platform.DecodeServer(id, change.Value)
		if err != nil {
			continue
		}
		if isChangedAgain && earlier != server.Software {
			return true
		}
		inUpdate[id] = server.Software
	}
	return false
}

// maxServerLines is the number of servers of one update that are logged one by one.
const maxServerLines = 100

// logServers logs changes of servers; beyond maxServerLines, it logs only how many there were of each kind.
func (r *Router) logServers(events []servers.Event) {
	if len(events) > 0 {
		r.recheckWaiting()
	}
	known, ready := r.servers.Counts()
	if len(events) > maxServerLines {
		counts := make(map[string]int)
		for _, event := range events {
			counts[event.Name]++
		}
		for name, count := range counts {
			r.journal.Log("servers_"+name, "count", count, "known", known, "ready", ready)
		}
		return
	}
	for _, event := range events {
		r.journal.Log("server_"+event.Name, "server", event.Server.ID, "service", event.Server.Service, "address", event.Server.Address,
			"domain", event.Server.Domain, "state", event.Server.State, "software", event.Server.Software, "known", known, "ready", ready)
	}
}

// recordAnnouncement logs and counts what a server has said about itself in a response.
func (r *Router) recordAnnouncement(event servers.Event) {
	r.metrics.countAnnouncement(event.Name)
	r.recheckWaiting()
	_, ready := r.servers.Counts()
	r.journal.Log("server_"+event.Name, "server", event.Server.ID, "service", event.Server.Service, "address", event.Server.Address,
		"pause", event.Pause, "rate", event.Rate, "from_peer", event.FromPeer, "ready", ready)
}

// recordInvalid returns a function that logs and counts a response with an invalid announcement.
func (r *Router) recordInvalid(name string) func(ident.Endpoint, error) {
	return func(server ident.Endpoint, err error) {
		r.metrics.countAnnouncement(name)
		r.journal.Log("server_"+name, "server", server, "err", err)
	}
}

// sweep regularly removes lapsed servers and closes idle connections.
func (r *Router) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.logServers(r.servers.Sweep())
			r.quarantine.Sweep(time.Now())
		case <-ctx.Done():
			return
		}
	}
}

// newPool returns the connection pool for a server. The server's connection limit is divided evenly among the router instances.
func (r *Router) newPool(server platform.Server) *direct.Pool {
	limit := func() int {
		routeTable := r.configuration.Table()
		if routeTable == nil {
			return minConnections
		}
		service := routeTable.Service(server.Service)
		if service == nil || service.MaxConnections <= 0 {
			return minConnections
		}
		return max(int(connectionFraction*float64(service.MaxConnections))/r.instances(), minConnections)
	}
	return direct.New(direct.Config{
		Address: server.Address, MaxConnections: limit, DialTimeout: dialTimeout, OnDial: r.metrics.countDial,
	})
}

// notReadyReason returns why the instance does not accept new connections; an empty string if it does.
func (r *Router) notReadyReason() string {
	switch {
	case r.health.draining.Load():
		return "leaving"
	case r.configuration.Table() == nil:
		return "no configuration yet"
	case !r.servers.Listed():
		return "no list of servers yet"
	case !r.origins.joined.Load():
		return "not told of running streams yet"
	case r.configAge() > overdueAge(r.bounds()):
		return "configuration is old"
	default:
		return ""
	}
}

// serveReady responds to the load balancer's readiness probe.
func (r *Router) serveReady(w http.ResponseWriter, _ *http.Request) {
	reason := r.notReadyReason()
	r.health.mu.Lock()
	if ready := reason == ""; ready != r.health.ready {
		r.health.ready = ready
		r.journal.Log("readiness", "ready", ready, "reason", reason, "config_age", r.configAge())
	}
	r.health.mu.Unlock()
	if reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// observeRestore records that the store came back from an older copy of its data.
func (r *Router) observeRestore(era table.Era) {
	r.journal.Log("store_restored", "era", era, "version", r.configuration.Version())
	r.servers.ObserveRestore()
	r.rewriteVerdicts()
	r.origins.known.ForgetStored()
	r.requestSoftwareSync()
}

// storeEraSince returns the agreed time at which this instance first saw the store's current era.
func (r *Router) storeEraSince() time.Time {
	_, since := r.store.Era()
	return r.peers.AgreedTime().Add(-clock.Boot().Sub(since))
}

// observeStoreCall records a call to the store, and logs when the store becomes unreachable and reachable again.
func (r *Router) observeStoreCall(call string, took time.Duration, err error) {
	answered := err == nil || errors.Is(err, table.ErrConflict) || errors.Is(err, table.ErrHistoryUnavailable)
	r.metrics.observeStoreCall(call, took, err)
	r.servers.ObserveStore(took, answered)
	switch {
	case !r.health.recordStoreCall(answered):
	case answered:
		r.journal.Log("store_regained", "call", call)
	default:
		r.journal.Log("store_lost", "call", call, "err", err)
	}
}
