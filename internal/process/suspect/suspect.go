// Package suspect detects requests that crash the endpoints that run them.
//
// An endpoint is lost when it crashes, or when its sidecar's process is gone. A request that was running on an endpoint when it was
// lost is a suspect. An endpoint runs only one suspect at a time, so that a second loss separates the request that causes crashes
// from those that only ran at the same time.
package suspect

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/samber/oops"

	"vanillapond/pkg/ident"
)

// Limits of suspicions.
const (
	// MaxLosses is the number of losses from which on a request is refused.
	MaxLosses = 2
	// Penalty is how long after its last loss a request is suspected or refused.
	Penalty = 10 * time.Minute
	// maxSuspects bounds the suspicions in a registry; the one that expires first is evicted first.
	maxSuspects = 4096
	// maxStoredLosses bounds the losses in one suspicion.
	maxStoredLosses = 64
)

// Digest identifies equal requests of one customer.
type Digest uint64

// NewDigest returns the digest of a customer's request, given the digest of its content.
func NewDigest(customer ident.Customer, content string) Digest {
	sum := sha256.Sum256([]byte(string(customer) + "\x00" + content))
	return Digest(binary.BigEndian.Uint64(sum[:]))
}

// Loss identifies one loss of one endpoint. All processes that observe the loss derive the same identifier.
type Loss string

// Suspicion is the record of the losses of one request. It is a set that only grows, so that processes may receive it more than
// once, late, and on two paths.
type Suspicion struct {
	Digest Digest `cbor:"1,keyasint" json:"digest"`
	// Losses are the losses of endpoints that were running the request, sorted.
	Losses []Loss `cbor:"2,keyasint" json:"losses"`
	// Cleared are those of Losses that no longer count because the request got a complete response afterwards, sorted.
	Cleared []Loss `cbor:"3,keyasint,omitempty" json:"forgiven,omitempty"`
	// EndsUnixMS is when the suspicion expires, in Unix milliseconds.
	EndsUnixMS int64 `cbor:"4,keyasint" json:"ends_unix_ms"`
}

// Check returns an error where a list is too long.
func (s Suspicion) Check() error {
	if len(s.Losses) > maxStoredLosses || len(s.Cleared) > maxStoredLosses {
		return oops.Errorf("suspicion: found %d losses and %d forgiven, want at most %d", len(s.Losses), len(s.Cleared), maxStoredLosses)
	}
	return nil
}

// activeLosses returns the number of losses that were not cleared.
func (s Suspicion) activeLosses() int {
	count := 0
	for _, loss := range s.Losses {
		if !slices.Contains(s.Cleared, loss) {
			count++
		}
	}
	return count
}

// Merge returns the union of both suspicions.
func (s Suspicion) Merge(other Suspicion) Suspicion {
	merged := Suspicion{
		Digest: s.Digest, Losses: union(s.Losses, other.Losses), Cleared: union(s.Cleared, other.Cleared),
		EndsUnixMS: max(s.EndsUnixMS, other.EndsUnixMS),
	}
	merged.bound()
	return merged
}

func union(a, b []Loss) []Loss {
	merged := slices.Concat(a, b)
	slices.Sort(merged)
	return slices.Compact(merged)
}

// bound drops losses beyond maxStoredLosses, those that were cleared first: otherwise they would take the place of later ones.
func (s *Suspicion) bound() {
	drop := func(losses []Loss, count int, matches func(Loss) bool) []Loss {
		return slices.DeleteFunc(losses, func(loss Loss) bool {
			if count <= 0 || !matches(loss) {
				return false
			}
			count--
			return true
		})
	}
	isCleared := func(loss Loss) bool { return slices.Contains(s.Cleared, loss) }
	s.Losses = drop(s.Losses, len(s.Losses)-maxStoredLosses, isCleared)
	s.Losses = s.Losses[:min(len(s.Losses), maxStoredLosses)]
	s.Cleared = drop(s.Cleared, len(s.Cleared)-maxStoredLosses, func(loss Loss) bool { return !slices.Contains(s.Losses, loss) })
	s.Cleared = s.Cleared[:min(len(s.Cleared), maxStoredLosses)]
}

// Equal reports whether both suspicions have the same losses, cleared losses and expiry.
func (s Suspicion) Equal(other Suspicion) bool {
	return s.EndsUnixMS == other.EndsUnixMS && slices.Equal(s.Losses, other.Losses) && slices.Equal(s.Cleared, other.Cleared)
}

// Status says how a request is to be treated.
type Status int

// Values of Status.
const (
	// Allowed says that the request has no active losses.
	Allowed Status = iota
	// Suspected says that the request must not run on an endpoint at the same time as another suspect.
	Suspected
	// Blocked says that the request is refused.
	Blocked
)

// Registry holds the suspicions that a process knows.
type Registry struct {
	mu sync.Mutex
	// suspicions holds at most maxSuspects entries; guarded by mu.
	suspicions map[Digest]Suspicion
	// running holds the suspects that this process has sent and that have not ended; guarded by mu.
	running map[Digest]bool
	// unshared holds the suspicions with changes from this process that are not yet shared; guarded by mu.
	unshared map[Digest]bool
	// changed receives a token after this process has changed a suspicion.
	changed chan struct{}
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{
		suspicions: make(map[Digest]Suspicion), running: make(map[Digest]bool),
		unshared: make(map[Digest]bool), changed: make(chan struct{}, 1),
	}
}

// markChanged marks a suspicion as not yet shared and signals changed. The caller must hold mu.
func (r *Registry) markChanged(digest Digest) {
	r.unshared[digest] = true
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// RecordLoss records that an endpoint was lost while it ran the request.
func (r *Registry) RecordLoss(digest Digest, loss Loss, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mergeLocked(Suspicion{Digest: digest, Losses: []Loss{loss}, EndsUnixMS: now.Add(Penalty).UnixMilli()}, now)
	r.markChanged(digest)
}

// Merge merges a suspicion from another process, and reports whether the request is refused from now on.
func (r *Registry) Merge(suspicion Suspicion, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.suspicions[suspicion.Digest].activeLosses()
	r.mergeLocked(suspicion, now)
	return before < MaxLosses && r.suspicions[suspicion.Digest].activeLosses() >= MaxLosses
}

func (r *Registry) mergeLocked(suspicion Suspicion, now time.Time) {
	if suspicion.EndsUnixMS <= now.UnixMilli() {
		return
	}
	old, found := r.suspicions[suspicion.Digest]
	if !found {
		r.evict(now)
		old.Digest = suspicion.Digest
	}
	r.suspicions[suspicion.Digest] = old.Merge(suspicion)
}

// evict makes room for a new suspicion if the registry is full: it deletes the expired ones, or if there is none the one that
// expires first.
func (r *Registry) evict(now time.Time) {
	if len(r.suspicions) < maxSuspects {
		return
	}
	var earliest Suspicion
	for digest, suspicion := range r.suspicions {
		if suspicion.EndsUnixMS <= now.UnixMilli() {
			delete(r.suspicions, digest)
		} else if earliest.EndsUnixMS == 0 || suspicion.EndsUnixMS < earliest.EndsUnixMS {
			earliest = suspicion
		}
	}
	if len(r.suspicions) >= maxSuspects {
		delete(r.suspicions, earliest.Digest)
	}
}

// Status returns how a request is to be treated, and until when.
func (r *Registry) Status(digest Digest, now time.Time) (Status, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	suspicion, found := r.suspicions[digest]
	expiry := time.UnixMilli(suspicion.EndsUnixMS)
	if !found || !now.Before(expiry) {
		return Allowed, now
	}
	switch losses := suspicion.activeLosses(); {
	case losses >= MaxLosses:
		return Blocked, expiry
	case losses > 0:
		return Suspected, expiry
	default:
		return Allowed, now
	}
}

// TryBegin registers an attempt of a suspect and returns true, or returns false if this process already runs one with the digest.
func (r *Registry) TryBegin(digest Digest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running[digest] {
		return false
	}
	r.running[digest] = true
	return true
}

// End ends an attempt for which TryBegin returned true.
func (r *Registry) End(digest Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, digest)
}

// Clear clears the losses of a suspect that got a complete response.
func (r *Registry) Clear(digest Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	suspicion, found := r.suspicions[digest]
	if !found || suspicion.activeLosses() == 0 {
		return
	}
	suspicion.Cleared = union(suspicion.Cleared, suspicion.Losses)
	suspicion.bound()
	r.suspicions[digest] = suspicion
	r.markChanged(digest)
}

// TakeUnshared returns the suspicions that are not yet shared, and marks them as shared.
func (r *Registry) TakeUnshared() []Suspicion {
	r.mu.Lock()
	defer r.mu.Unlock()
	var unshared []Suspicion
	for digest := range r.unshared {
		if suspicion, found := r.suspicions[digest]; found {
			unshared = append(unshared, suspicion)
		}
	}
	clear(r.unshared)
	return unshared
}

// MarkUnshared marks suspicions as not yet shared, to retry them after a failed write.
func (r *Registry) MarkUnshared(suspicions []Suspicion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, suspicion := range suspicions {
		r.unshared[suspicion.Digest] = true
	}
}
