package router

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"vanillapond/internal/connection/direct"
	"vanillapond/internal/connection/servers"
	"vanillapond/internal/process/follow"
	"vanillapond/internal/process/table"
	"vanillapond/internal/process/usage"
	"vanillapond/pkg/ident"
	"vanillapond/platform"
)

// state is whether the process wants new connections, and whether its dependencies answer.
type state struct {
	leaving atomic.Bool
	mu      sync.Mutex
	// lost says that the store's last call failed; guarded by mu.
	lost bool
	// regained is closed when the store answers again; guarded by mu.
	regained chan struct{}
	// ready is the last answer to the balancer; guarded by mu.
	ready bool
}

func (s *state) leave() { s.leaving.Store(true) }

func (s *state) storeLost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost
}

// storeRegained returns a channel that is closed when the store answers again.
func (s *state) storeRegained() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.regained
}

// storeAnswered notes whether a call to the store was answered, and reports whether that is a change.
func (s *state) storeAnswered(answered bool) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed = s.lost == answered
	s.lost = !answered
	if changed && answered {
		close(s.regained)
		s.regained = make(chan struct{})
	}
	return changed
}

// run starts the loops.
func (r *Router) run(ctx context.Context) {
	loops := []func(context.Context){
		// A pause before the next question would make the knowledge of the configuration older.
		r.follow(platform.OperatorTable, configWait(r.settings.Bounds), 0, r.applyConfiguration),
		r.follow(platform.ServersTable, serversWait(r.settings.Bounds), serversGather, r.applyServers),
		r.peers.Run, r.sweep, r.gossip.listen, r.gossip.tell,
	}
	for _, loop := range loops {
		r.loops.Go(func() { loop(ctx) })
	}
	r.runDuties(ctx)
}

// follow returns a loop that follows a table.
func (r *Router) follow(name string, wait, gather time.Duration, apply func(follow.Update)) func(context.Context) {
	config := follow.Config{Feed: r.store, Table: name, PollTimeout: wait, BatchDelay: gather, Apply: apply, OnError: r.unread(name), Recovered: r.state.storeRegained}
	return func(ctx context.Context) { follow.Run(ctx, config) }
}

// newReporter returns the reporter of usage, whose events are counted too.
func (r *Router) newReporter() *usage.Reporter {
	return usage.NewReporter(usage.ReporterConfig{
		Table: r.store, Lease: r.lease, ReadCounts: r.gatherUsage, HeartbeatInterval: r.peers.HeartbeatInterval, WindowLength: r.settings.Bounds.UsageWindow,
		MaxReportDelay: r.settings.Bounds.UsageLate, Now: r.peers.AgreedTime,
		Log: func(event string, pairs ...any) {
			r.metrics.usageEvent(event)
			r.journal.Log(event, pairs...)
		},
		Sender: reports{duties: platform.NewDuties(platform.DutiesConfig{Address: r.settings.Duties.Address, Process: r.settings.Process})},
	})
}

// runDuties starts the loops that end first when the process stops.
func (r *Router) runDuties(ctx context.Context) {
	duties, cancel := context.WithCancel(ctx)
	r.cancelDuties = cancel
	r.duties.Go(func() { r.lease.Run(duties) })
	r.duties.Go(func() { r.reporter.Run(duties) })
	r.duties.Go(func() { r.watchLease(duties) })
}

// watchLease tells when the duty is won and lost.
func (r *Router) watchLease(ctx context.Context) {
	for {
		select {
		case <-r.lease.Changed():
			fence, _, held := r.lease.Held()
			r.journal.Log("lease", "duty", dutyLease, "held", held, "fence", fence)
		case <-ctx.Done():
			return
		}
	}
}

// unread logs a failed call that follows a table.
func (r *Router) unread(name string) func(error) {
	return func(err error) { r.journal.Log("feed_failed", "table", name, "config_age", r.configAge(), "err", err) }
}

// applyConfiguration takes over a version, and confirms the known one where nothing newer is there.
func (r *Router) applyConfiguration(news follow.Update) {
	newest := true
	for _, change := range news.Changes {
		if change.Key != platform.OperatorTable+"/"+platform.ConfigurationKey || change.Deleted {
			continue
		}
		newest = r.applyVersion(change)
	}
	if newest {
		r.current.Confirm(news.CurrentAsOf, news.Revision)
	}
}

// applyVersion takes over one version and reports whether the known one is as new as the store's.
func (r *Router) applyVersion(change table.Change) bool {
	configuration, err := platform.DecodeConfiguration(change.Value)
	if err != nil {
		r.journal.Log("configuration_unreadable", "revision", change.Revision, "kept", r.current.Version(), "err", err)
		return false
	}
	before := r.current.Version()
	if r.current.Advance(configuration) {
		r.journal.Log("configuration", "version", configuration.Version, "before", before, "routes", len(configuration.Routes),
			"services", len(configuration.Services), "customers", len(configuration.Customers), "revision", change.Revision)
		return true
	}
	if configuration.Version < before {
		r.journal.Log("configuration_older", "version", configuration.Version, "kept", before, "revision", change.Revision)
		return false
	}
	return true
}

// applyServers takes over the last word on each server's entry; one that cannot be read names no server to use.
func (r *Router) applyServers(news follow.Update) {
	r.serversRead.Store(int64(news.CurrentAsOf))
	present := make(map[ident.Endpoint]platform.Server)
	removed := make(map[ident.Endpoint]bool)
	for _, change := range news.Changes {
		id := ident.Endpoint(strings.TrimPrefix(string(change.Key), platform.ServersTable+"/"))
		delete(present, id)
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
		present[id] = server
	}
	entries, gone := slices.Collect(maps.Values(present)), slices.Collect(maps.Keys(removed))
	r.logServers(r.servers.Update(entries, gone, news.Snapshot))
}

func (r *Router) logServers(events []servers.Event) {
	known, ready := r.servers.Counts()
	for _, event := range events {
		r.journal.Log("server_"+event.Name, "server", event.Server.ID, "service", event.Server.Service, "address", event.Server.Address,
			"domain", event.Server.Domain, "state", event.Server.State, "known", known, "ready", ready)
	}
}

// sweep forgets what is over.
func (r *Router) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.logServers(r.servers.Sweep())
		case <-ctx.Done():
			return
		}
	}
}

// newPool returns the connections to a server, of which every entry has its part.
func (r *Router) newPool(server platform.Server) *direct.Pool {
	limit := func() int {
		known := r.current.Table()
		if known == nil {
			return minConnections
		}
		service := known.Service(server.Service)
		if service == nil || service.MaxConnections <= 0 {
			return minConnections
		}
		return max(int(connectionShare*float64(service.MaxConnections))/r.peers.FleetSize(), minConnections)
	}
	return direct.New(direct.Config{Address: server.Address, MaxConnections: limit, DialTimeout: dialTimeout, OnDial: r.metrics.dialed})
}

// reports sends finished windows to the platform.
type reports struct{ duties *platform.Duties }

// Send implements usage.Reports.
func (s reports) Send(ctx context.Context, fence ident.Fence, window usage.Window, counts map[ident.Customer]int64, timeout time.Duration) error {
	return s.duties.ReportUsage(ctx, fence, platform.UsageReport{Window: int64(window), Started: counts}, timeout)
}

// unready returns why the process wants no new connections, or nothing if it does.
func (r *Router) unready() string {
	switch {
	case r.state.leaving.Load():
		return "leaving"
	case r.current.Table() == nil:
		return "no configuration yet"
	case !r.servers.Listed():
		return "no list of servers yet"
	case r.configAge() > share(unreadyShare, r.bounds().Revoke):
		return "configuration is old"
	default:
		return ""
	}
}

// answerReady tells the balancer whether the process wants new connections.
func (r *Router) answerReady(w http.ResponseWriter, _ *http.Request) {
	reason := r.unready()
	r.state.mu.Lock()
	if ready := reason == ""; ready != r.state.ready {
		r.state.ready = ready
		r.journal.Log("readiness", "ready", ready, "reason", reason, "config_age", r.configAge())
	}
	r.state.mu.Unlock()
	if reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// observeStore counts a call and tells when the store is lost and regained.
func (r *Router) observeStore(call string, took time.Duration, err error) {
	answered := err == nil || errors.Is(err, table.ErrConflict) || errors.Is(err, table.ErrHistoryUnavailable)
	r.metrics.storeCall(call, took, err)
	r.servers.ObserveStore(took, answered)
	switch {
	case !r.state.storeAnswered(answered):
	case answered:
		r.journal.Log("store_regained", "call", call)
	default:
		r.journal.Log("store_lost", "call", call, "err", err)
	}
}
