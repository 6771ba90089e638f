// Package fleet keeps an entry's links to the sidecars and knows their load.
package fleet

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"vanillapond/internal/connection/link"
	"vanillapond/internal/process/event"
	"vanillapond/internal/process/ledger"
	"vanillapond/internal/process/suspect"
	"vanillapond/internal/version/snapshot"
	"vanillapond/pkg/configuration"
	"vanillapond/pkg/ident"
)

// PathLink is the path at which a sidecar takes links.
const PathLink = "/link"

// Redialing of a sidecar.
const (
	// redialLeast and redialMost bound the time between two attempts to reach a sidecar; it doubles with each failure.
	redialLeast = 250 * time.Millisecond
	redialMost  = 2 * time.Second
	// failedDials is how many failures in a row make an endpoint count as not reachable.
	failedDials = 3
)

// Config says how the entry reaches sidecars.
type Config struct {
	// Hello is what the entry says of itself.
	Hello  link.Hello
	Events *event.Recorder
	// Suspects learns of requests that were running when an endpoint crashed; nil means that nobody does.
	Suspects *suspect.Registry
	// HTTP dials sidecars; nil means http.DefaultClient.
	HTTP *http.Client
	// Scheme is ws or wss.
	Scheme string
	// Rank sorts a pool's endpoints, those to link first in front; nil leaves them as they are.
	Rank func([]configuration.Endpoint) []configuration.Endpoint
	// LinksPerPool returns how many links to keep to each of some pools; nil means to all endpoints.
	LinksPerPool func(pools int) int
}

// Endpoint is one endpoint as this entry sees it.
type Endpoint struct {
	// Configuration is the endpoint's entry in the configuration.
	Configuration configuration.Endpoint
	client        atomic.Pointer[link.Client]
	load          atomic.Pointer[link.Load]
	// Outstanding counts this entry's own open streams.
	Outstanding atomic.Int64
	// ctx is done when the endpoint gets no more links; stop ends it.
	ctx  context.Context //nolint:containedctx // It lives as long as the endpoint's links.
	stop context.CancelFunc
	// active says that a link is kept or tried; guarded by the fleet's mu.
	active bool
	// failed says that the last attempts did not reach the sidecar; guarded by the fleet's mu.
	failed bool
}

// Client returns the link, or nil while there is none.
func (e *Endpoint) Client() *link.Client { return e.client.Load() }

// Load returns the last load reading.
func (e *Endpoint) Load() link.Load {
	if load := e.load.Load(); load != nil {
		return *load
	}
	return link.Load{}
}

// observe takes a load reading and tells once that the sidecar drains.
func (e *Endpoint) observe(load link.Load, draining chan<- struct{}) {
	e.load.Store(&load)
	if !load.Draining {
		return
	}
	select {
	case draining <- struct{}{}:
	default:
	}
}

// Fleet holds the endpoints of the configuration in force.
type Fleet struct {
	config Config
	// done is closed by Close.
	done context.Context
	stop context.CancelFunc
	mu   sync.RWMutex
	// endpoints holds all; pools holds those that don't leave, in the order of ranking. Guarded by mu.
	endpoints map[ident.Endpoint]*Endpoint
	pools     map[ident.Pool][]*Endpoint
	// links is how many reachable endpoints of each pool are linked; guarded by mu.
	links int
	// listed is what the platform's list last said; guarded by mu.
	listed listing
}

// New returns a fleet without endpoints.
func New(config Config) *Fleet {
	if config.Rank == nil {
		config.Rank = func(pool []configuration.Endpoint) []configuration.Endpoint { return pool }
	}
	if config.LinksPerPool == nil {
		config.LinksPerPool = func(int) int { return math.MaxInt }
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Fleet{config: config, done: ctx, stop: cancel, endpoints: make(map[ident.Endpoint]*Endpoint)}
}

// Close ends all links.
func (f *Fleet) Close() { f.stop() }

// Update takes over the endpoints of a snapshot; leaving ones get no new work.
func (f *Fleet) Update(next *snapshot.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.endpoints
	f.endpoints = make(map[ident.Endpoint]*Endpoint)
	f.pools = make(map[ident.Pool][]*Endpoint)
	byPool := make(map[ident.Pool][]configuration.Endpoint)
	for _, configured := range next.Configuration.Endpoints {
		byPool[configured.Pool] = append(byPool[configured.Pool], configured)
	}
	f.links = f.config.LinksPerPool(len(byPool))
	for pool, members := range byPool {
		f.updatePool(pool, members, old)
	}
	for _, endpoint := range old {
		endpoint.stop()
	}
}

// updatePool takes over one pool; endpoints that stay are taken out of old.
//
// A leaving endpoint that was linked keeps a link, on which its sidecar hears what usage is durable.
func (f *Fleet) updatePool(pool ident.Pool, members []configuration.Endpoint, old map[ident.Endpoint]*Endpoint) {
	for _, configured := range f.config.Rank(members) {
		before := old[configured.ID]
		endpoint := before
		if before == nil || before.Configuration != configured {
			endpoint = f.add(configured)
		} else {
			delete(old, configured.ID)
		}
		if configured.Draining && before != nil && before.active {
			f.link(endpoint)
		}
		f.endpoints[configured.ID] = endpoint
		if !configured.Draining {
			f.pools[pool] = append(f.pools[pool], endpoint)
		}
	}
	f.activate(pool)
}

// activate links the first endpoints of a pool until enough of them are not known to fail.
func (f *Fleet) activate(pool ident.Pool) {
	reachable := 0
	for _, endpoint := range f.pools[pool] {
		if reachable >= f.links {
			return
		}
		f.link(endpoint)
		if !endpoint.failed {
			reachable++
		}
	}
}

// link begins to keep a link to an endpoint.
func (f *Fleet) link(endpoint *Endpoint) {
	if endpoint.active {
		return
	}
	endpoint.active = true
	go f.keep(endpoint)
}

// mark notes whether an endpoint's sidecar can be reached, and links others in its place.
func (f *Fleet) mark(endpoint *Endpoint, failed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if endpoint.failed == failed {
		return
	}
	endpoint.failed = failed
	f.activate(endpoint.Configuration.Pool)
}

// Members returns the endpoints of a pool that the configuration keeps; the list does not change.
func (f *Fleet) Members(pool ident.Pool) []*Endpoint {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.pools[pool]
}

// Accepts reports whether an endpoint has a link and takes work.
func (f *Fleet) Accepts(endpoint *Endpoint) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.takes(endpoint)
}

// takes is Takes for a holder of the lock.
func (f *Fleet) takes(endpoint *Endpoint) bool {
	return endpoint.Client() != nil && !endpoint.Load().Draining && !f.listed.leaving[endpoint.Configuration.Sidecar]
}

// Candidates returns the endpoints of a pool that have a link and take work.
func (f *Fleet) Candidates(pool ident.Pool) []*Endpoint {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var candidates []*Endpoint
	for _, endpoint := range f.pools[pool] {
		if f.takes(endpoint) {
			candidates = append(candidates, endpoint)
		}
	}
	return candidates
}

// Acknowledge tells every sidecar what usage is durable.
func (f *Fleet) Acknowledge(settlement ledger.Acknowledgment) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, endpoint := range f.endpoints {
		if client := endpoint.Client(); client != nil {
			client.Acknowledge(settlement)
		}
	}
}

func (f *Fleet) add(configured configuration.Endpoint) *Endpoint {
	ctx, cancel := context.WithCancel(f.done)
	return &Endpoint{Configuration: configured, ctx: ctx, stop: cancel}
}

// keep dials the sidecar again whenever the link has ended.
func (f *Fleet) keep(endpoint *Endpoint) {
	delay := redialLeast
	failures := 0
	for endpoint.ctx.Err() == nil {
		client, draining := f.dial(endpoint)
		if client != nil {
			delay, failures = redialLeast, 0
			f.mark(endpoint, false)
			f.serve(endpoint, client, draining)
		} else if failures++; failures == failedDials {
			f.mark(endpoint, true)
		}
		select {
		case <-time.After(delay):
			delay = min(2*delay, redialMost)
		case <-endpoint.ctx.Done():
		}
	}
}

// dial returns a link, or nil, and a channel that tells when its sidecar drains.
func (f *Fleet) dial(endpoint *Endpoint) (*link.Client, <-chan struct{}) {
	draining := make(chan struct{}, 1)
	client, err := link.Dial(endpoint.ctx, link.ClientConfig{
		URL:         f.config.Scheme + "://" + endpoint.Configuration.Sidecar + PathLink,
		HTTP:        f.config.HTTP,
		Hello:       f.config.Hello,
		EventClock:  f.config.Events.Clock(),
		OnLoad:      func(load link.Load) { endpoint.observe(load, draining) },
		OnSuspicion: f.learn,
	})
	if err != nil {
		return nil, nil
	}
	return client, draining
}

// serve holds one link to its end; after a stop or the sidecar's drain it lets the open streams end first.
func (f *Fleet) serve(endpoint *Endpoint, client *link.Client, draining <-chan struct{}) {
	endpoint.client.Store(client)
	f.record("link_up", endpoint)
	select {
	case <-client.Done():
	case <-draining:
		endpoint.client.Store(nil)
		f.settle(client, endpoint)
	case <-endpoint.ctx.Done():
		endpoint.client.Store(nil)
		f.settle(client, endpoint)
	}
	endpoint.client.Store(nil)
	client.Close()
	f.record("link_down", endpoint)
}

// settle waits until the endpoint's open streams have ended.
func (f *Fleet) settle(client *link.Client, endpoint *Endpoint) {
	const poll = 50 * time.Millisecond
	for endpoint.Outstanding.Load() > 0 && f.done.Err() == nil {
		select {
		case <-time.After(poll):
		case <-client.Done():
			return
		}
	}
}

// learn takes news of a suspect.
func (f *Fleet) learn(suspicion suspect.Suspicion) {
	if f.config.Suspects == nil || !f.config.Suspects.Merge(suspicion, time.Now()) {
		return
	}
	f.config.Events.Record(event.Event{
		Name:       "fatal_request_known",
		Attributes: []event.Attribute{{Key: "digest", Value: fmt.Sprintf("%016x", uint64(suspicion.Digest))}},
	})
}

func (f *Fleet) record(name event.Name, endpoint *Endpoint) {
	f.config.Events.Record(event.Event{Name: name, Endpoint: endpoint.Configuration.ID, Domain: endpoint.Configuration.Domain})
}
