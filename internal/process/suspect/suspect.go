// Package suspect finds requests that crash the endpoints they run on.
//
// A request that was running when an endpoint was lost is a suspect. Suspects run one at a time at an endpoint, so that a
// second loss tells the fatal one from those that ran beside it. What is known is a set of losses that only grows, so
// that it may be told twice, late and on two paths.
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

// Limits of suspicion.
const (
	// MaxLosses is how many endpoints a request may take down before it is refused.
	MaxLosses = 2
	// Penalty is how long after its last loss a request is a suspect or refused.
	Penalty = 10 * time.Minute
	// maxSuspects bounds the suspects that a process knows; the oldest go first.
	maxSuspects = 4096
	// maxLossesKept bounds the losses that one suspicion may hold.
	maxLossesKept = 64
)

// Digest names equal requests of one customer.
type Digest uint64

// NewDigest returns the digest of a customer's request whose content has the given digest.
func NewDigest(customer ident.Customer, content string) Digest {
	sum := sha256.Sum256([]byte(string(customer) + "\x00" + content))
	return Digest(binary.BigEndian.Uint64(sum[:]))
}

// Loss names one loss of one endpoint; everyone who saw it gives it the same name.
type Loss string

// Suspicion is what is known of one request.
type Suspicion struct {
	Digest Digest `cbor:"1,keyasint" json:"digest"`
	// Losses are the endpoints lost while they ran the request, sorted.
	Losses []Loss `cbor:"2,keyasint" json:"losses"`
	// Cleared are those of Losses before a whole answer, sorted.
	Cleared []Loss `cbor:"3,keyasint,omitempty" json:"forgiven,omitempty"`
	// EndsUnixMS is when the suspicion ends, in Unix milliseconds.
	EndsUnixMS int64 `cbor:"4,keyasint" json:"ends_unix_ms"`
}

// Check returns an error where a list is too long.
func (s Suspicion) Check() error {
	if len(s.Losses) > maxLossesKept || len(s.Cleared) > maxLossesKept {
		return oops.Errorf("suspicion: found %d losses and %d forgiven, want at most %d", len(s.Losses), len(s.Cleared), maxLossesKept)
	}
	return nil
}

// counted returns how many losses are held against the request.
func (s Suspicion) counted() int {
	counted := 0
	for _, loss := range s.Losses {
		if !slices.Contains(s.Cleared, loss) {
			counted++
		}
	}
	return counted
}

// Merge returns what both know together.
func (s Suspicion) Merge(other Suspicion) Suspicion {
	return Suspicion{
		Digest: s.Digest, Losses: union(s.Losses, other.Losses), Cleared: union(s.Cleared, other.Cleared),
		EndsUnixMS: max(s.EndsUnixMS, other.EndsUnixMS),
	}
}

func union(a, b []Loss) []Loss {
	both := slices.Concat(a, b)
	slices.Sort(both)
	both = slices.Compact(both)
	return both[:min(len(both), maxLossesKept)]
}

// Equal reports whether both know the same.
func (s Suspicion) Equal(other Suspicion) bool {
	return s.EndsUnixMS == other.EndsUnixMS && slices.Equal(s.Losses, other.Losses) && slices.Equal(s.Cleared, other.Cleared)
}

// Status says how a request is to be treated.
type Status int

// Standings.
const (
	// Allowed says that nothing is held against the request.
	Allowed Status = iota
	// Suspected says that the request runs beside no other suspect.
	Suspected
	// Blocked says that the request is refused.
	Blocked
)

// Registry holds what a process knows of suspects.
type Registry struct {
	mu sync.Mutex
	// entries holds at most maxSuspects suspicions; guarded by mu.
	entries map[Digest]Suspicion
	// running holds the suspects under way from this process; guarded by mu.
	running map[Digest]bool
	// unshared holds what this process learned first; guarded by mu.
	unshared map[Digest]bool
	// news holds a token after unshared has grown.
	news chan struct{}
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{
		entries: make(map[Digest]Suspicion), running: make(map[Digest]bool),
		unshared: make(map[Digest]bool), news: make(chan struct{}, 1),
	}
}

// share marks a suspicion as not yet shared; the caller holds mu.
func (r *Registry) share(digest Digest) {
	r.unshared[digest] = true
	select {
	case r.news <- struct{}{}:
	default:
	}
}

// RecordLoss holds a loss against a request.
func (r *Registry) RecordLoss(digest Digest, loss Loss, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.merge(Suspicion{Digest: digest, Losses: []Loss{loss}, EndsUnixMS: now.Add(Penalty).UnixMilli()}, now)
	r.share(digest)
}

// Merge takes over what another process knows, and reports whether the request is refused from now on.
func (r *Registry) Merge(suspicion Suspicion, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.entries[suspicion.Digest].counted()
	r.merge(suspicion, now)
	return before < MaxLosses && r.entries[suspicion.Digest].counted() >= MaxLosses
}

func (r *Registry) merge(suspicion Suspicion, now time.Time) {
	if suspicion.EndsUnixMS <= now.UnixMilli() {
		return
	}
	old, found := r.entries[suspicion.Digest]
	if !found {
		r.makeRoom(now)
		old.Digest = suspicion.Digest
	}
	r.entries[suspicion.Digest] = old.Merge(suspicion)
}

// makeRoom forgets ended suspicions, and the one that ends first where none has.
func (r *Registry) makeRoom(now time.Time) {
	if len(r.entries) < maxSuspects {
		return
	}
	var first Suspicion
	for digest, suspicion := range r.entries {
		if suspicion.EndsUnixMS <= now.UnixMilli() {
			delete(r.entries, digest)
		} else if first.EndsUnixMS == 0 || suspicion.EndsUnixMS < first.EndsUnixMS {
			first = suspicion
		}
	}
	if len(r.entries) >= maxSuspects {
		delete(r.entries, first.Digest)
	}
}

// Status returns how a request is to be treated, and until when.
func (r *Registry) Status(digest Digest, now time.Time) (Status, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	suspicion, found := r.entries[digest]
	ends := time.UnixMilli(suspicion.EndsUnixMS)
	if !found || !now.Before(ends) {
		return Allowed, now
	}
	switch counted := suspicion.counted(); {
	case counted >= MaxLosses:
		return Blocked, ends
	case counted > 0:
		return Suspected, ends
	default:
		return Allowed, now
	}
}

// TryBegin reports whether this process may send a suspect now, which it does one at a time for each digest.
func (r *Registry) TryBegin(digest Digest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running[digest] {
		return false
	}
	r.running[digest] = true
	return true
}

// End follows Begin.
func (r *Registry) End(digest Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, digest)
}

// Clear drops the losses of a suspect that got its whole answer.
func (r *Registry) Clear(digest Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	suspicion, found := r.entries[digest]
	if !found || suspicion.counted() == 0 {
		return
	}
	suspicion.Cleared = union(suspicion.Cleared, suspicion.Losses)
	r.entries[digest] = suspicion
	r.share(digest)
}

// TakeUnshared returns and marks as shared what this process learned first.
func (r *Registry) TakeUnshared() []Suspicion {
	r.mu.Lock()
	defer r.mu.Unlock()
	var news []Suspicion
	for digest := range r.unshared {
		if suspicion, found := r.entries[digest]; found {
			news = append(news, suspicion)
		}
	}
	clear(r.unshared)
	return news
}

// MarkUnshared marks suspicions as not yet shared.
func (r *Registry) MarkUnshared(suspicions []Suspicion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, suspicion := range suspicions {
		r.unshared[suspicion.Digest] = true
	}
}
