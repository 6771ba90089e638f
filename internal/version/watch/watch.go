// Package watch keeps a process's configuration current by polling the table and querying its peers.
package watch

import (
	"context"
	"sync"
	"time"

	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/event"
	"vanillapond/internal/process/platform"
	"vanillapond/internal/version/freshness"
	"vanillapond/internal/version/replica"
	"vanillapond/internal/version/store"
	"vanillapond/pkg/ident"
)

// Intervals of the watcher's loops.
const (
	// DefaultPollInterval is the interval between two reads of the head row.
	DefaultPollInterval = time.Second
	// queryInterval is the interval between two rounds of queries while the evidence from the table is not recent.
	queryInterval = 500 * time.Millisecond
	// listInterval is the interval between two reads of the platform's list while the evidence from the table is not
	// recent.
	listInterval = 3 * time.Second
	// maxListAge is the maximum age of the list while the evidence from the table is recent.
	maxListAge = time.Minute
	// propagateInterval is the delay between two attempts to propagate a version to a peer.
	propagateInterval = 250 * time.Millisecond
)

// PeerClient queries one peer and sends records along; it returns the version that the peer holds.
type PeerClient interface {
	Query(ctx context.Context, peer freshness.Peer, records []store.Record) (ident.Version, error)
}

// Config configures a watcher.
type Config struct {
	Replica *replica.Replica
	Gate    *freshness.Gate
	Peers   PeerClient
	VMs     platform.VMs
	Events  *event.Recorder
	// Seeds are the peers used until the platform's list has been read; nil means that they are not known.
	Seeds []freshness.Peer
	// PollInterval is the interval between two reads of the head row; 0 means DefaultPollInterval.
	PollInterval time.Duration
}

// Watcher puts new versions of the configuration in force.
type Watcher struct {
	config Config
	mu     sync.Mutex
	// querying holds the addresses of peers whose response is pending; guarded by mu.
	querying map[string]bool
	// stale reports whether keys were not accepted at the last check; used only by the query loop.
	stale bool
	// tableFailed reports whether the last poll failed; used only by the poll loop.
	tableFailed bool
	// lastListed is when the list was last read; used only by the list loop.
	lastListed clock.Reading
}

// New returns a watcher.
func New(config Config) *Watcher {
	if config.PollInterval == 0 {
		config.PollInterval = DefaultPollInterval
	}
	return &Watcher{config: config, querying: make(map[string]bool), stale: true}
}

// Run polls the table, reads the platform's list and queries peers until the context is done.
func (w *Watcher) Run(ctx context.Context) {
	if len(w.config.Seeds) > 0 {
		w.config.Gate.Do(func(tracker *freshness.Tracker, now clock.Reading) { tracker.SetPeers(now, w.config.Seeds) })
	}
	var loops sync.WaitGroup
	loops.Go(func() { every(ctx, w.config.PollInterval, w.poll) })
	loops.Go(func() { every(ctx, listInterval, w.refreshPeers) })
	loops.Go(func() { every(ctx, queryInterval, w.queryRound) })
	loops.Wait()
}

// every calls step immediately and then once per interval until the context is done.
func every(ctx context.Context, interval time.Duration, step func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		step(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// poll reads the head row once and puts the version that it names in force.
func (w *Watcher) poll(ctx context.Context) {
	sent := clock.Boot()
	err := w.config.Replica.Refresh(ctx)
	w.config.Gate.Do(func(tracker *freshness.Tracker, _ clock.Reading) { tracker.ObserveTableRead(sent) })
	if err != nil {
		if !w.tableFailed {
			w.config.Events.Record(event.Event{Name: "configuration_unavailable", Detail: err.Error()})
		}
		w.tableFailed = true
		return
	}
	w.tableFailed = false
}

// refreshPeers reads the platform's list once, unless it is recent. If the read fails, the last list stays in use.
func (w *Watcher) refreshPeers(ctx context.Context) {
	if w.listIsRecent() {
		return
	}
	sent := clock.Boot()
	vms, err := w.config.VMs.VMs(ctx)
	if err != nil {
		return
	}
	w.lastListed = sent
	var peers []freshness.Peer
	for _, vm := range vms {
		if vm.Role == platform.RoleEntry {
			peers = append(peers, freshness.Peer{Address: vm.Address, Name: vm.ID, Domain: vm.Domain})
		}
	}
	if len(peers) == 0 {
		peers = w.config.Seeds
	}
	w.config.Gate.Do(func(tracker *freshness.Tracker, now clock.Reading) { tracker.SetPeers(now, peers) })
}

// listIsRecent reports whether the list need not be read now.
func (w *Watcher) listIsRecent() bool {
	recent := false
	w.config.Gate.Do(func(tracker *freshness.Tracker, now clock.Reading) {
		recent = w.lastListed > 0 && now.Sub(w.lastListed) < maxListAge && tracker.TableIsRecent(now) && !tracker.Unlisted()
	})
	return recent
}

// queryRound queries the peers that the tracker selects, and records when keys cease or start to be accepted.
func (w *Watcher) queryRound(ctx context.Context) {
	var peers, silent []freshness.Peer
	var open bool
	w.config.Gate.Do(func(tracker *freshness.Tracker, now clock.Reading) {
		peers, silent, open = tracker.PeersToQuery(now), tracker.SilentPeers(now), tracker.Open(now)
	})
	for _, peer := range peers {
		w.queryPeer(ctx, peer)
	}
	if open == w.stale {
		w.stale = !open
		w.recordFreshness(open, silent)
	}
}

func (w *Watcher) recordFreshness(open bool, silent []freshness.Peer) {
	if open {
		w.config.Events.Record(event.Event{Name: "freshness_gained", Version: w.config.Replica.Version()})
		return
	}
	detail := "no word from the table"
	if len(silent) > 0 {
		detail += " nor from " + silent[0].Name
	}
	w.config.Events.Record(event.Event{Name: "freshness_lost", Version: w.config.Replica.Version(), Detail: detail})
}

// queryPeer queries a peer in the background unless a query to it is still pending.
func (w *Watcher) queryPeer(ctx context.Context, peer freshness.Peer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.querying[peer.Address] {
		return
	}
	w.querying[peer.Address] = true
	go func() {
		_, _ = w.config.Peers.Query(ctx, peer, nil)
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.querying, peer.Address)
	}()
}

// Unlisted reports whether this process is missing from the last list, so that other entries may not know it yet.
func (w *Watcher) Unlisted() bool {
	unlisted := false
	w.config.Gate.Do(func(tracker *freshness.Tracker, _ clock.Reading) { unlisted = tracker.Unlisted() })
	return unlisted
}

// Propagate propagates a version to every peer and returns the names of those that don't hold it when ctx is done.
func (w *Watcher) Propagate(ctx context.Context, version ident.Version) []string {
	var peers []freshness.Peer
	w.config.Gate.Do(func(tracker *freshness.Tracker, now clock.Reading) { peers = tracker.Peers(now) })
	held := make([]bool, len(peers))
	var wait sync.WaitGroup
	for index, peer := range peers {
		wait.Go(func() { held[index] = w.propagateTo(ctx, peer, version) })
	}
	wait.Wait()
	var missing []string
	for index, peer := range peers {
		if !held[index] {
			missing = append(missing, peer.Name)
		}
	}
	return missing
}

// propagateTo sends a version to one peer repeatedly until the peer holds it; it reports whether it does.
func (w *Watcher) propagateTo(ctx context.Context, peer freshness.Peer, version ident.Version) bool {
	for {
		records, _ := w.config.Replica.Since(version - 1)
		held, err := w.config.Peers.Query(ctx, peer, records)
		if err == nil && held >= version {
			return true
		}
		select {
		case <-time.After(propagateInterval):
		case <-ctx.Done():
			return false
		}
	}
}
