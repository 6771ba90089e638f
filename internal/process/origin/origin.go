// Package origin remembers at which software version of its service each stream began, at all router instances together.
//
// A stream may go on only at servers of the version that began it, and its caller may take it up again at any instance, also after the one that
// relayed its beginning has gone. While several versions serve, an instance therefore tells two others of each stream that begins, and one that
// does not know a stream asks. One that joins asks the others for the streams that it is to know, and one that stops tells its own again, so that a
// stream outlives the restart of any instance. While there is only one version, nothing is told.
package origin

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/samber/oops"

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
	// AgeMS is set in what instances tell each other: the milliseconds since the stream began or last went on, at least 1. It is 0 if the sender
	// does not say, as those of earlier versions do: the stream begins.
	AgeMS int64 `cbor:"4,keyasint,omitempty"`
}

// maxAgeMS is the maximum of Origin.AgeMS, far above the time for which streams are remembered.
const maxAgeMS = int64(24 * time.Hour / time.Millisecond)

// Check returns an error if a field is out of range.
func (o Origin) Check() error {
	if o.AgeMS < 0 || o.AgeMS > maxAgeMS {
		return oops.Errorf("origin of a stream: found an age of %d ms, want 0 to %d", o.AgeMS, maxAgeMS)
	}
	return nil
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
	streams map[streamKey]*stream
	// order lists the streams in the order in which this instance was told of them, with one entry for each time; guarded by mu.
	order []recorded
	// removed is the number of entries that were removed from the front of order; guarded by mu.
	removed Position
	// unshared lists the streams that began here and were not told to other instances, by service, each at most maxStreams; guarded by mu.
	unshared map[ident.Pool][]streamKey
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
	// Origin has the key for its Stream, and no age.
	Origin
	// at is when the stream began or last went on, at any instance.
	at clock.Reading
}

// toTell returns the origin for another instance.
func (s *stream) toTell(now clock.Reading) Origin {
	told := s.Origin
	told.AgeMS = now.Sub(s.at).Milliseconds() + 1
	return told
}

type recorded struct {
	key streamKey
	at  clock.Reading
}

// New returns an empty registry.
func New(config Config) *Registry {
	if config.Now == nil {
		config.Now = clock.Boot
	}
	return &Registry{
		config: config, streams: make(map[streamKey]*stream), unshared: make(map[ident.Pool][]streamKey),
		pending:       make(chan struct{}, 1),
		completeSince: make(map[ident.Pool]clock.Reading), stored: make(map[ident.Pool][]ident.Software),
		versions: make(map[ident.Pool]map[ident.Software]clock.Reading), waiting: make(map[*Question]struct{}),
	}
}

// Begin records a stream of which this instance relays the first event, or which goes on here.
func (r *Registry) Begin(origin Origin) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := newStreamKey(origin.Stream)
	r.record(key, origin, r.config.Now())
	r.unshared[origin.Service] = append(r.unshared[origin.Service], key)
	// Streams that can't be taken up any more need not be told later.
	keys := r.unshared[origin.Service]
	for len(keys) > maxStreams || !r.knows(keys[0]) {
		keys = keys[1:]
	}
	r.unshared[origin.Service] = keys
	if _, sole := r.sole(origin.Service); !sole {
		r.notify()
	}
}

// ShareAgain has TakeUnshared return all streams that are known, for the others to have them when this instance ends.
func (r *Registry) ShareAgain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.unshared)
	for key, known := range r.streams {
		r.unshared[known.Service] = append(r.unshared[known.Service], key)
	}
	r.notify()
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

// mergeTolerance is by how much later than known a stream must have gone on to be recorded again: several instances tell of the same time, which
// transmission shifts a little.
const mergeTolerance = time.Second

// Merge records origins that another instance has told.
func (r *Registry) Merge(origins []Origin) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Now()
	for _, origin := range origins {
		key, at := newStreamKey(origin.Stream), now.Add(-time.Duration(origin.AgeMS)*time.Millisecond)
		if known := r.streams[key]; known == nil || at.Sub(known.at) > mergeTolerance {
			r.record(key, origin, at)
		}
		for question := range r.waiting {
			if question.key == key {
				r.settle(question)
			}
		}
	}
}

// record records an origin as of a time and forgets old ones; the caller holds mu.
func (r *Registry) record(key streamKey, origin Origin, at clock.Reading) {
	expired := r.config.Now().Add(-r.config.Memory())
	if at < expired {
		return
	}
	origin.Stream, origin.AgeMS = ident.Request(key), 0
	r.streams[key] = &stream{Origin: origin, at: at}
	r.order = append(r.order, recorded{key, at})
	// An entry that is older than those before it stays until they are removed, and counts as unknown meanwhile.
	for len(r.order) > 0 && (r.order[0].at < expired || len(r.order) > maxStreams) {
		if oldest := r.order[0]; r.streams[oldest.key] != nil && r.streams[oldest.key].at == oldest.at {
			delete(r.streams, oldest.key)
		}
		r.order = r.order[1:]
		r.removed++
	}
}

// Lookup returns the origin of a stream if this instance knows it.
func (r *Registry) Lookup(id ident.Request) (Origin, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.lookup(newStreamKey(id))
	if known == nil {
		return Origin{}, false
	}
	found := known.Origin
	found.Stream = id
	return found, true
}

// lookup returns what is known of a stream, nil if nothing is; the caller holds mu.
func (r *Registry) lookup(key streamKey) *stream {
	known := r.streams[key]
	if known == nil || r.config.Now().Sub(known.at) > r.config.Memory() {
		return nil
	}
	return known
}

// knows reports whether the origin of a stream is known; the caller holds mu.
func (r *Registry) knows(key streamKey) bool { return r.lookup(key) != nil }

// TakeUnshared returns the streams that began here since the last call, or that ShareAgain has named, and are to be told to other instances: those of
// services that have had several versions. Those of other services wait until they have.
func (r *Registry) TakeUnshared() []Origin {
	r.mu.Lock()
	defer r.mu.Unlock()
	var origins []Origin
	now := r.config.Now()
	for service, keys := range r.unshared {
		if _, sole := r.sole(service); sole {
			continue
		}
		for _, key := range keys {
			if known := r.lookup(key); known != nil {
				origins = append(origins, known.toTell(now))
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
