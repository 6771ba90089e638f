package forward

import (
	"sync"
	"time"

	"vanillapond/pkg/ident"
)

// Bounds of suspicion.
const (
	// fatalLosses is how many servers a request may take down before it goes nowhere.
	fatalLosses = 3
	// suspectTime is how long a request is remembered after its last loss.
	suspectTime = 60 * time.Second
	// maxSuspects bounds the memory; the requests lost longest ago go first.
	maxSuspects = 4096
)

// Loss is a server that broke off while it ran a request.
type Loss struct {
	Digest uint64         `cbor:"1,keyasint"`
	Server ident.Endpoint `cbor:"2,keyasint"`
}

// SuspectList remembers which requests servers broke off on.
type SuspectList struct {
	mu      sync.Mutex
	entries map[uint64]*suspicion
	// news holds the losses that were seen here and not yet told; guarded by mu.
	news []Loss
}

type suspicion struct {
	servers []ident.Endpoint
	last    time.Time
}

// NewSuspectList returns an empty list.
func NewSuspectList() *SuspectList { return &SuspectList{entries: make(map[uint64]*suspicion)} }

// Fatal implements Suspects.
func (s *SuspectList) Fatal(now time.Time, digest uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.entries[digest]
	return entry != nil && len(entry.servers) >= fatalLosses && now.Sub(entry.last) < suspectTime
}

// Lost implements Suspects.
func (s *SuspectList) Lost(now time.Time, digest uint64, server ident.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learn(now, Loss{Digest: digest, Server: server})
	s.news = append(s.news, Loss{Digest: digest, Server: server})
}

// Learn takes over losses that other entries have seen.
func (s *SuspectList) Learn(now time.Time, losses []Loss) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, loss := range losses {
		s.learn(now, loss)
	}
}

// learn notes a loss; the caller holds mu.
func (s *SuspectList) learn(now time.Time, loss Loss) {
	entry := s.entries[loss.Digest]
	if entry == nil {
		s.makeRoom(now)
		entry = &suspicion{}
		s.entries[loss.Digest] = entry
	}
	entry.last = now
	for _, known := range entry.servers {
		if known == loss.Server {
			return
		}
	}
	entry.servers = append(entry.servers, loss.Server)
}

// makeRoom forgets old entries, and any others where none is old.
func (s *SuspectList) makeRoom(now time.Time) {
	if len(s.entries) < maxSuspects {
		return
	}
	for digest, entry := range s.entries {
		if now.Sub(entry.last) > suspectTime || len(s.entries) >= maxSuspects {
			delete(s.entries, digest)
		}
	}
}

// Served implements Suspects.
func (s *SuspectList) Served(digest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.entries, digest)
}

// News returns the losses seen here since the last call.
func (s *SuspectList) News() []Loss {
	s.mu.Lock()
	defer s.mu.Unlock()
	news := s.news
	s.news = nil
	return news
}
