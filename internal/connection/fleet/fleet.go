// Package fleet maintains an entry's links to the sidecars of the endpoints and keeps their last load reports.
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

// PathLink is the HTTP path at which a sidecar accepts links.
const PathLink = "/link"

// Parameters of redialing a sidecar.
const (
	// minRedialDelay and maxRedialDelay bound the delay between two attempts to dial a sidecar; the delay doubles with
	// each failure.
	minRedialDelay = 250 * time.Millisecond
	maxRedialDelay = 2 * time.Second
	// unreachableAfter is the number of consecutive failures after which an endpoint counts as unreachable.
	unreachableAfter = 3
)

// Config configures how the entry connects to sidecars.
type Config struct {
	// Hello identifies the entry in the handshake.
	Hello  link.Hello
	Events *event.Recorder
	// Suspects records requests that were running when an endpoint crashed; if it is nil, such reports are dropped.
	Suspects *suspect.Registry
	// HTTP is the client that dials sidecars; nil means http.DefaultClient.
	HTTP *http.Client
	// Scheme is the URL scheme of links, ws or wss.
	Scheme string
	// Rank sorts a pool's endpoints in the order in which they are to be linked; nil keeps their order.
	Rank func([]configuration.Endpoint) []configuration.Endpoint
	// LinksPerPool returns how many endpoints of each pool to link, given the number of pools; nil means all of them.
	LinksPerPool func(pools int) int
}

// Endpoint is the state of one endpoint in this entry.
type Endpoint struct {
	// Configuration is the endpoint's element of the configuration.
	Configuration configuration.Endpoint
	client        atomic.Pointer[link.Client]
	load          atomic.Pointer[link.Load]
	// Outstanding counts the open streams of this entry to the endpoint.
	Outstanding atomic.Int64
	// ctx is done when the endpoint must not be linked any more; stop cancels it.
	ctx  context.Context //nolint:containedctx // It lives as long as the endpoint's links.
	stop context.CancelFunc
	// active reports whether a goroutine maintains a link to the endpoint; guarded by the fleet's mu.
	active bool
	// unreachable reports whether the last dials failed, at least unreachableAfter in a row; guarded by the fleet's mu.
	unreachable bool
}

// Client returns the client of the link, or nil if there is no link.
func (e *Endpoint) Client() *link.Client { return e.client.Load() }

// Load returns the last load report, or the zero value if there is none.
func (e *Endpoint) Load() link.Load {
	if load := e.load.Load(); load != nil {
		return *load
	}
	return link.Load{}
}

// observeLoad stores a load report and signals draining, without blocking, if the sidecar drains.
func (e *Endpoint) observeLoad(load link.Load, draining chan<- struct{}) {
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
	// ctx is canceled by Close.
	ctx  context.Context
	stop context.CancelFunc
	mu   sync.RWMutex
	// endpoints holds all endpoints; pools holds those that do not drain, sorted by Config.Rank. Guarded by mu.
	endpoints map[ident.Endpoint]*Endpoint
	pools     map[ident.Pool][]*Endpoint
	// linksPerPool is the number of reachable endpoints of each pool to link; guarded by mu.
	linksPerPool int
	// lastListing is the last reading of the platform's list of VMs; guarded by mu.
	lastListing listing
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
	return &Fleet{config: config, ctx: ctx, stop: cancel, endpoints: make(map[ident.Endpoint]*Endpoint)}
}

// Close closes all links.
func (f *Fleet) Close() { f.stop() }

// Update replaces the endpoints by those of a snapshot; draining endpoints get no new requests.
func (f *Fleet) Update(next *snapshot.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	removed := f.endpoints
	f.endpoints = make(map[ident.Endpoint]*Endpoint)
	f.pools = make(map[ident.Pool][]*Endpoint)
	byPool := make(map[ident.Pool][]configuration.Endpoint)
	for _, configured := range next.Configuration.Endpoints {
		byPool[configured.Pool] = append(byPool[configured.Pool], configured)
	}
	f.linksPerPool = f.config.LinksPerPool(len(byPool))
	for pool, members := range byPool {
		f.updatePool(pool, members, removed)
	}
	for _, endpoint := range removed {
		endpoint.stop()
	}
}

// updatePool replaces the endpoints of one pool and deletes the ones that are kept from removed.
//
// A draining endpoint that was linked keeps a link, so that its sidecar still learns which usage records are durable.
func (f *Fleet) updatePool(pool ident.Pool, members []configuration.Endpoint, removed map[ident.Endpoint]*Endpoint) {
	for _, configured := range f.config.Rank(members) {
		previous := removed[configured.ID]
		endpoint := previous
		if previous == nil || previous.Configuration != configured {
			endpoint = f.newEndpoint(configured)
		} else {
			delete(removed, configured.ID)
		}
		if configured.Draining && previous != nil && previous.active {
			f.startLink(endpoint)
		}
		f.endpoints[configured.ID] = endpoint
		if !configured.Draining {
			f.pools[pool] = append(f.pools[pool], endpoint)
		}
	}
	f.linkReachable(pool)
}

// linkReachable links endpoints in the order of the pool until linksPerPool of them are not known to be unreachable. The
// caller holds mu.
func (f *Fleet) linkReachable(pool ident.Pool) {
	reachable := 0
	for _, endpoint := range f.pools[pool] {
		if reachable >= f.linksPerPool {
			return
		}
		f.startLink(endpoint)
		if !endpoint.unreachable {
			reachable++
		}
	}
}

// startLink starts to maintain a link to an endpoint, unless this is done already. The caller holds mu.
func (f *Fleet) startLink(endpoint *Endpoint) {
	if endpoint.active {
		return
	}
	endpoint.active = true
	go f.maintainLink(endpoint)
}

// setUnreachable records whether an endpoint's sidecar can be reached and links other endpoints in place of unreachable
// ones.
func (f *Fleet) setUnreachable(endpoint *Endpoint, unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if endpoint.unreachable == unreachable {
		return
	}
	endpoint.unreachable = unreachable
	f.linkReachable(endpoint.Configuration.Pool)
}

// Members returns the endpoints of a pool that do not drain according to the configuration; the list is never modified.
func (f *Fleet) Members(pool ident.Pool) []*Endpoint {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.pools[pool]
}

// Accepts reports whether an endpoint is linked and accepts requests.
func (f *Fleet) Accepts(endpoint *Endpoint) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.accepts(endpoint)
}

// accepts is like Accepts; the caller holds mu.
func (f *Fleet) accepts(endpoint *Endpoint) bool {
	return endpoint.Client() != nil && !endpoint.Load().Draining && !f.lastListing.draining[endpoint.Configuration.Sidecar]
}

// Candidates returns the endpoints of a pool that are linked and accept requests.
func (f *Fleet) Candidates(pool ident.Pool) []*Endpoint {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var candidates []*Endpoint
	for _, endpoint := range f.pools[pool] {
		if f.accepts(endpoint) {
			candidates = append(candidates, endpoint)
		}
	}
	return candidates
}

// Acknowledge notifies every linked sidecar which usage records are durable.
func (f *Fleet) Acknowledge(acknowledgment ledger.Acknowledgment) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, endpoint := range f.endpoints {
		if client := endpoint.Client(); client != nil {
			client.Acknowledge(acknowledgment)
		}
	}
}

func (f *Fleet) newEndpoint(configured configuration.Endpoint) *Endpoint {
	ctx, cancel := context.WithCancel(f.ctx)
	return &Endpoint{Configuration: configured, ctx: ctx, stop: cancel}
}

// maintainLink dials the sidecar, and dials it again whenever the link has ended, until the endpoint is removed.
func (f *Fleet) maintainLink(endpoint *Endpoint) {
	delay := minRedialDelay
	failures := 0
	for endpoint.ctx.Err() == nil {
		client, draining := f.dial(endpoint)
		if client != nil {
			delay, failures = minRedialDelay, 0
			f.setUnreachable(endpoint, false)
			f.runLink(endpoint, client, draining)
		} else if failures++; failures == unreachableAfter {
			f.setUnreachable(endpoint, true)
		}
		select {
		case <-time.After(delay):
			delay = min(2*delay, maxRedialDelay)
		case <-endpoint.ctx.Done():
		}
	}
}

// dial returns the client of a new link and a channel that receives a value when the sidecar drains; the client is nil
// if dialing fails.
func (f *Fleet) dial(endpoint *Endpoint) (*link.Client, <-chan struct{}) {
	draining := make(chan struct{}, 1)
	client, err := link.Dial(endpoint.ctx, link.ClientConfig{
		URL:         f.config.Scheme + "://" + endpoint.Configuration.Sidecar + PathLink,
		HTTP:        f.config.HTTP,
		Hello:       f.config.Hello,
		EventClock:  f.config.Events.Clock(),
		OnLoad:      func(load link.Load) { endpoint.observeLoad(load, draining) },
		OnSuspicion: f.addSuspicion,
	})
	if err != nil {
		return nil, nil
	}
	return client, draining
}

// runLink uses one link until it ends. When the endpoint is removed or its sidecar drains, it first waits for the open
// streams.
func (f *Fleet) runLink(endpoint *Endpoint, client *link.Client, draining <-chan struct{}) {
	endpoint.client.Store(client)
	f.record("link_up", endpoint)
	select {
	case <-client.Done():
	case <-draining:
		endpoint.client.Store(nil)
		f.awaitStreams(client, endpoint)
	case <-endpoint.ctx.Done():
		endpoint.client.Store(nil)
		f.awaitStreams(client, endpoint)
	}
	endpoint.client.Store(nil)
	client.Close()
	f.record("link_down", endpoint)
}

// awaitStreams waits until the endpoint's open streams have ended.
func (f *Fleet) awaitStreams(client *link.Client, endpoint *Endpoint) {
	const poll = 50 * time.Millisecond
	for endpoint.Outstanding.Load() > 0 && f.ctx.Err() == nil {
		select {
		case <-time.After(poll):
		case <-client.Done():
			return
		}
	}
}

// addSuspicion records a sidecar's report of a request that may have crashed an endpoint.
func (f *Fleet) addSuspicion(suspicion suspect.Suspicion) {
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
