// Package watch keeps a process's configuration up to date from the table and from its peers.
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

// Intervals of the loops.
const (
	// DefaultPollInterval is the time between two reads of the head row.
	DefaultPollInterval = time.Second
	// askInterval is the time between two rounds of questions while the table gives no evidence.
	askInterval = 500 * time.Millisecond
	// listInterval is the time between two reads of the platform's list while the table gives no evidence.
	listInterval = 3 * time.Second
	// calmList is how old the list may be while the table gives evidence.
	calmList = time.Minute
	// spreadInterval is the time between two attempts to bring a version to a peer.
	spreadInterval = 250 * time.Millisecond
)

// PeerClient asks one peer what it holds and passes records on; it returns the version that the peer holds.
type PeerClient interface {
	Query(ctx context.Context, peer freshness.Peer, records []store.Record) (ident.Version, error)
}

// Config says what is watched.
type Config struct {
	Replica *replica.Replica
	Gate    *freshness.Gate
	Peers   PeerClient
	VMs     platform.VMs
	Events  *event.Recorder
	// Seeds are the peers until the platform's list is first read; nil means that they are not known.
	Seeds []freshness.Peer
	// PollInterval is the time between two reads of the head row; 0 means DefaultPoll.
	PollInterval time.Duration
}

// Watcher brings new versions into force.
type Watcher struct {
	config Config
	mu     sync.Mutex
	// asking holds the addresses of peers whose answer is awaited; guarded by mu.
	asking map[string]bool
	// closed says that the last look found no evidence; used by the ask loop alone.
	closed bool
	// out says that the last poll failed; used by the poll loop alone.
	out bool
	// listed is when the list was last read; used by the list loop alone.
	listed clock.Reading
}

// New returns a watcher.
func New(config Config) *Watcher {
	if config.PollInterval == 0 {
		config.PollInterval = DefaultPollInterval
	}
	return &Watcher{config: config, asking: make(map[string]bool), closed: true}
}

// Run polls, lists and asks until the context is done.
func (w *Watcher) Run(ctx context.Context) {
	if len(w.config.Seeds) > 0 {
		w.config.Gate.Do(func(m *freshness.Tracker, now clock.Reading) { m.SetPeers(now, w.config.Seeds) })
	}
	var loops sync.WaitGroup
	loops.Go(func() { every(ctx, w.config.PollInterval, w.poll) })
	loops.Go(func() { every(ctx, listInterval, w.list) })
	loops.Go(func() { every(ctx, askInterval, w.round) })
	loops.Wait()
}

// every calls step at once and then once an interval.
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

// poll reads the head once and puts the version that it names in force.
func (w *Watcher) poll(ctx context.Context) {
	sent := clock.Boot()
	err := w.config.Replica.Refresh(ctx)
	w.config.Gate.Do(func(m *freshness.Tracker, _ clock.Reading) { m.ObserveTableRead(sent) })
	if err != nil {
		if !w.out {
			w.config.Events.Record(event.Event{Name: "configuration_unavailable", Detail: err.Error()})
		}
		w.out = true
		return
	}
	w.out = false
}

// list reads the platform's list once; while it can't be read the last one counts.
func (w *Watcher) list(ctx context.Context) {
	if w.calm() {
		return
	}
	sent := clock.Boot()
	vms, err := w.config.VMs.VMs(ctx)
	if err != nil {
		return
	}
	w.listed = sent
	var peers []freshness.Peer
	for _, vm := range vms {
		if vm.Role == platform.RoleEntry {
			peers = append(peers, freshness.Peer{Address: vm.Address, Name: vm.ID, Domain: vm.Domain})
		}
	}
	if len(peers) == 0 {
		peers = w.config.Seeds
	}
	w.config.Gate.Do(func(m *freshness.Tracker, now clock.Reading) { m.SetPeers(now, peers) })
}

// calm reports whether the last list is good enough for now.
func (w *Watcher) calm() bool {
	calm := false
	w.config.Gate.Do(func(m *freshness.Tracker, now clock.Reading) {
		calm = w.listed > 0 && now.Sub(w.listed) < calmList && m.TableIsRecent(now) && !m.Unlisted()
	})
	return calm
}

// round asks the peers that the machine names, and tells when keys stop or start to be taken.
func (w *Watcher) round(ctx context.Context) {
	var ask, silent []freshness.Peer
	var open bool
	w.config.Gate.Do(func(m *freshness.Tracker, now clock.Reading) {
		ask, silent, open = m.PeersToQuery(now), m.SilentPeers(now), m.Open(now)
	})
	for _, peer := range ask {
		w.ask(ctx, peer)
	}
	if open == w.closed {
		w.closed = !open
		w.record(open, silent)
	}
}

func (w *Watcher) record(open bool, silent []freshness.Peer) {
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

// ask asks a peer in the background unless its last answer is still awaited.
func (w *Watcher) ask(ctx context.Context, peer freshness.Peer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.asking[peer.Address] {
		return
	}
	w.asking[peer.Address] = true
	go func() {
		_, _ = w.config.Peers.Query(ctx, peer, nil)
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.asking, peer.Address)
	}()
}

// Unlisted reports whether the others may not know of this process yet.
func (w *Watcher) Unlisted() bool {
	unlisted := false
	w.config.Gate.Do(func(m *freshness.Tracker, _ clock.Reading) { unlisted = m.Unlisted() })
	return unlisted
}

// Propagate brings a version to every peer and returns the names of those that don't hold it when ctx is done.
func (w *Watcher) Propagate(ctx context.Context, version ident.Version) []string {
	var peers []freshness.Peer
	w.config.Gate.Do(func(m *freshness.Tracker, now clock.Reading) { peers = m.Peers(now) })
	held := make([]bool, len(peers))
	var wait sync.WaitGroup
	for index, peer := range peers {
		wait.Go(func() { held[index] = w.bring(ctx, peer, version) })
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

// bring repeats a version to one peer until it holds it.
func (w *Watcher) bring(ctx context.Context, peer freshness.Peer, version ident.Version) bool {
	for {
		records, _ := w.config.Replica.Since(version - 1)
		held, err := w.config.Peers.Query(ctx, peer, records)
		if err == nil && held >= version {
			return true
		}
		select {
		case <-time.After(spreadInterval):
		case <-ctx.Done():
			return false
		}
	}
}
