// Package origin remembers at which software version of its service each stream began, at all router instances together.
//
// A stream may go on only at servers of the version that began it, and its caller may take it up again at any instance, also after the one that
// relayed its beginning has gone. While several versions serve, an instance therefore tells two others of each stream that begins, and one that
// does not know a stream asks. While there is only one, nothing is told.
package origin

import (
	"maps"
	"slices"
	"sync"
	"time"

	"vanillapond/internal/process/clock"
	"vanillapond/pkg/ident"
)

// maxStreams bounds the streams that are remembered.
const maxStreams = 1 << 16

// Origin is where a stream began.
type Origin struct {
	// Stream is the id of the caller's request that brought the first event.
	Stream   ident.Request  `cbor:"1,keyasint"`
	Service  ident.Pool     `cbor:"2,keyasint"`
	Software ident.Software `cbor:"3,keyasint"`
}

// Config configures a Registry.
type Config struct {
	// Memory returns for how long a stream may be taken up again after its beginning.
	Memory func() time.Duration
	// Now reads a clock that advances while the machine is suspended; nil means clock.Boot.
	Now func() clock.Reading
}

// Registry holds the origins that this instance knows, and the software versions that each service has had.
type Registry struct {
	config Config
	mu     sync.Mutex
	// streams holds the known origins; guarded by mu.
	streams map[ident.Request]*stream
	// order lists streams by when they were last recorded, with one entry for each time, the oldest first; guarded by mu.
	order []recorded
	// unshared lists the streams that began here and were not told to other instances, by service, each at most maxStreams; guarded by mu.
	unshared map[ident.Pool][]ident.Request
	// pending has an entry while there may be streams to tell to other instances.
	pending chan struct{}
	// versions holds when each software version was last among a service's servers; guarded by mu.
	versions map[ident.Pool]map[ident.Software]clock.Reading
	// present holds the versions of the latest list of servers; guarded by mu.
	present map[ident.Pool][]ident.Software
	// stored holds the versions of each service that the store has, as far as this instance knows; guarded by mu.
	stored map[ident.Pool][]ident.Software
	// watchedSince is when the first list of servers was known, 0 before; guarded by mu.
	watchedSince clock.Reading
	// gapEnd is when the list of servers was last known again after a time that it does not show, 0 if there was none; guarded by mu.
	gapEnd clock.Reading
	// completeSince is since when versions holds all of a service's versions, where that is earlier than watchedSince; guarded by mu.
	completeSince map[ident.Pool]clock.Reading
	// waiting holds the questions to other instances that are not settled; guarded by mu.
	waiting map[*Question]struct{}
}

type stream struct {
	Origin
	at clock.Reading
}

type recorded struct {
	id ident.Request
	at clock.Reading
}

// New returns an empty registry.
func New(config Config) *Registry {
	if config.Now == nil {
		config.Now = clock.Boot
	}
	return &Registry{
		config: config, streams: make(map[ident.Request]*stream), unshared: make(map[ident.Pool][]ident.Request),
		pending:       make(chan struct{}, 1),
		completeSince: make(map[ident.Pool]clock.Reading), stored: make(map[ident.Pool][]ident.Software),
		versions: make(map[ident.Pool]map[ident.Software]clock.Reading), waiting: make(map[*Question]struct{}),
	}
}

// Begin records a stream of which this instance relays the first event, or which goes on here.
func (r *Registry) Begin(origin Origin) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record(origin)
	r.unshared[origin.Service] = append(r.unshared[origin.Service], origin.Stream)
	// Streams that can't be taken up any more need not be told later.
	ids := r.unshared[origin.Service]
	for len(ids) > maxStreams || !r.knows(ids[0]) {
		ids = ids[1:]
	}
	r.unshared[origin.Service] = ids
	if _, sole := r.sole(origin.Service); !sole {
		r.notify()
	}
}

// Pending receives once TakeUnshared may return streams that it has not returned before.
func (r *Registry) Pending() <-chan struct{} { return r.pending }

// notify makes Pending receive.
func (r *Registry) notify() {
	select {
	case r.pending <- struct{}{}:
	default:
	}
}

// Merge records origins that another instance has told.
func (r *Registry) Merge(origins []Origin) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, origin := range origins {
		r.record(origin)
		for question := range r.waiting {
			if question.stream == origin.Stream {
				r.settle(question)
			}
		}
	}
}

// record records an origin and forgets old ones; the caller holds mu.
func (r *Registry) record(origin Origin) {
	now := r.config.Now()
	r.streams[origin.Stream] = &stream{Origin: origin, at: now}
	r.order = append(r.order, recorded{origin.Stream, now})
	expired := now.Add(-r.config.Memory())
	for len(r.order) > 0 && (r.order[0].at < expired || len(r.order) > maxStreams) {
		if oldest := r.order[0]; r.streams[oldest.id] != nil && r.streams[oldest.id].at == oldest.at {
			delete(r.streams, oldest.id)
		}
		r.order = r.order[1:]
	}
}

// Lookup returns the origin of a stream if this instance knows it.
func (r *Registry) Lookup(id ident.Request) (Origin, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lookup(id)
}

// lookup is Lookup; the caller holds mu.
func (r *Registry) lookup(id ident.Request) (Origin, bool) {
	known := r.streams[id]
	if known == nil || r.config.Now().Sub(known.at) > r.config.Memory() {
		return Origin{}, false
	}
	return known.Origin, true
}

// knows reports whether the origin of a stream is known; the caller holds mu.
func (r *Registry) knows(id ident.Request) bool {
	_, known := r.lookup(id)
	return known
}

// TakeUnshared returns the streams that began here since the last call and are to be told to other instances: those of services that have had
// several versions. Those of other services wait until they have.
func (r *Registry) TakeUnshared() []Origin {
	r.mu.Lock()
	defer r.mu.Unlock()
	var origins []Origin
	for service, ids := range r.unshared {
		if _, sole := r.sole(service); sole {
			continue
		}
		for _, id := range ids {
			if origin, known := r.lookup(id); known {
				origins = append(origins, origin)
			}
		}
		delete(r.unshared, service)
	}
	return origins
}

// ObserveVersions records the software versions of each service's servers. The caller must not modify them afterwards.
func (r *Registry) ObserveVersions(present map[ident.Pool][]ident.Software) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Now()
	if r.watchedSince == 0 {
		r.watchedSince = now
	}
	// A version that is gone was present until now.
	r.see(now)
	r.present = present
	r.see(now)
	r.notify()
}

// ObserveGap records that servers may have come and gone that were in no list that this instance has read. Which versions they had is known again from
// a history of the store that is read later.
func (r *Registry) ObserveGap() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gapEnd = r.config.Now()
	r.watchedSince = r.gapEnd
	clear(r.completeSince)
}

// see records that the present versions are in use; the caller holds mu.
func (r *Registry) see(now clock.Reading) {
	for service, versions := range r.present {
		if r.versions[service] == nil {
			r.versions[service] = make(map[ident.Software]clock.Reading)
		}
		for _, version := range versions {
			r.versions[service][version] = now
		}
	}
}

// sole returns the only software version that a service's servers have had for as long as a stream may be taken up again. It returns false if
// there were several or none, or the servers have not been watched for so long. The caller holds mu.
func (r *Registry) sole(service ident.Pool) (ident.Software, bool) {
	now := r.config.Now()
	if r.watchedSince == 0 || now.Sub(r.since(service)) < r.config.Memory() {
		return "", false
	}
	versions := r.recent(now, service)
	if len(versions) != 1 {
		return "", false
	}
	return versions[0], true
}

// since returns since when all versions of a service are known; the caller holds mu.
func (r *Registry) since(service ident.Pool) clock.Reading {
	if earlier, found := r.completeSince[service]; found && earlier < r.watchedSince {
		return earlier
	}
	return r.watchedSince
}

// recent returns the versions that a service's servers have had for as long as a stream may be taken up again; the caller holds mu.
func (r *Registry) recent(now clock.Reading, service ident.Pool) []ident.Software {
	r.see(now)
	seen := r.versions[service]
	maps.DeleteFunc(seen, func(_ ident.Software, at clock.Reading) bool { return now.Sub(at) > r.config.Memory() })
	return slices.Sorted(maps.Keys(seen))
}
