package forward

import (
	"sync"
	"time"

	"vanillapond/pkg/ident"
)

// Limits of the tracking of suspects.
const (
	// lossLimit is how many different servers must be lost while they ran a request before it is refused.
	lossLimit = 3
	// suspectTTL is how long a request counts as a suspect after its last loss.
	suspectTTL = 60 * time.Second
	// maxSuspects bounds the length of a SuspectList; evict chooses the suspects that are dropped.
	maxSuspects = 4096
)

// Loss is the loss of a server while it ran the request with this digest.
type Loss struct {
	Digest uint64         `cbor:"1,keyasint"`
	Server ident.Endpoint `cbor:"2,keyasint"`
}

// SuspectList implements Suspects in memory. Router instances exchange their losses, so that each counts those of all.
type SuspectList struct {
	mu      sync.Mutex
	entries map[uint64]*suspectEntry
	// unshared holds the losses seen by this instance and not yet reported to others; guarded by mu.
	unshared []Loss
}

type suspectEntry struct {
	servers  []ident.Endpoint
	lastLoss time.Time
}

// NewSuspectList returns an empty list.
func NewSuspectList() *SuspectList { return &SuspectList{entries: make(map[uint64]*suspectEntry)} }

// Blocked implements Suspects.
func (s *SuspectList) Blocked(now time.Time, digest uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.entries[digest]
	return entry != nil && len(entry.servers) >= lossLimit && now.Sub(entry.lastLoss) < suspectTTL
}

// RecordLoss implements Suspects.
func (s *SuspectList) RecordLoss(now time.Time, digest uint64, server ident.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(now, Loss{Digest: digest, Server: server})
	s.unshared = append(s.unshared, Loss{Digest: digest, Server: server})
}

// Merge adds losses that other router instances have seen.
func (s *SuspectList) Merge(now time.Time, losses []Loss) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, loss := range losses {
		s.add(now, loss)
	}
}

// add adds a loss; the caller holds mu.
func (s *SuspectList) add(now time.Time, loss Loss) {
	entry := s.entries[loss.Digest]
	if entry == nil {
		s.evict(now)
		entry = &suspectEntry{}
		s.entries[loss.Digest] = entry
	}
	entry.lastLoss = now
	for _, server := range entry.servers {
		if server == loss.Server {
			return
		}
	}
	entry.servers = append(entry.servers, loss.Server)
}

// evict makes room for one entry if the list is full: it removes expired entries, and others in arbitrary order while the list
// is still full.
func (s *SuspectList) evict(now time.Time) {
	if len(s.entries) < maxSuspects {
		return
	}
	for digest, entry := range s.entries {
		if now.Sub(entry.lastLoss) > suspectTTL || len(s.entries) >= maxSuspects {
			delete(s.entries, digest)
		}
	}
}

// Clear implements Suspects.
func (s *SuspectList) Clear(digest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.entries, digest)
}

// TakeUnshared returns the losses that this instance has seen since the last call.
func (s *SuspectList) TakeUnshared() []Loss {
	s.mu.Lock()
	defer s.mu.Unlock()
	losses := s.unshared
	s.unshared = nil
	return losses
}
