package forward

import (
	"sync"
	"time"

	"vanillapond/pkg/ident"
)

// SuspectTTL is how long a request counts as a suspect after its last loss.
const SuspectTTL = 60 * time.Second

// Limits of the tracking of suspects.
const (
	// lossLimit is how many different servers must be lost while they ran a request before it is refused.
	lossLimit = 3
	// maxSuspects bounds the length of a SuspectList; evict chooses the suspects that are dropped.
	maxSuspects = 4096
	// lossShareTime is for how long each loss is reported, in case a report is lost, and maxRecentLosses bounds a report.
	lossShareTime   = 3 * time.Second
	maxRecentLosses = 256
	// maxBlockedReported bounds the blocked requests in a report.
	maxBlockedReported = 64
)

// Loss is the loss of a server while it ran the request with this digest.
type Loss struct {
	Digest uint64         `cbor:"1,keyasint"`
	Server ident.Endpoint `cbor:"2,keyasint"`
	// AgeMS is how long ago the request last lost a server, in milliseconds.
	AgeMS int64 `cbor:"3,keyasint,omitempty"`
}

// age returns how long ago the request last lost a server; false if the loss does not count any more, or its age is out of range.
func (l Loss) age() (time.Duration, bool) {
	if l.AgeMS < 0 || l.AgeMS > SuspectTTL.Milliseconds() {
		return 0, false
	}
	return time.Duration(l.AgeMS) * time.Millisecond, true
}

// SuspectEvent is a change of what a SuspectList holds about a request.
type SuspectEvent struct {
	// Name is loss_recorded, loss_received or losses_cleared.
	Name   string
	Digest uint64
	Server ident.Endpoint
	// Servers is the number of different servers that count against the request, before they were cleared.
	Servers int
	// Blocked means that the request is refused from now on.
	Blocked bool
}

// SuspectList implements Suspects in memory. Router instances exchange their losses, so that each counts those of all.
type SuspectList struct {
	// onEvent receives the changes; it must not block.
	onEvent func(SuspectEvent)
	mu      sync.Mutex
	entries map[uint64]*suspectEntry
	// recent holds the losses seen by this instance in the last lossShareTime, the oldest first; guarded by mu.
	recent []recentLoss
}

type suspectEntry struct {
	// servers are the lost servers, in the order in which they became known. The first ones, as many as cleared says, do not count any
	// more; they are kept because losses are reported repeatedly.
	servers  []ident.Endpoint
	cleared  int
	lastLoss time.Time
}

func (e *suspectEntry) count() int { return len(e.servers) - e.cleared }

type recentLoss struct {
	Loss
	at time.Time
}

// NewSuspectList returns an empty list. onEvent receives its changes, and must not block; nil drops them.
func NewSuspectList(onEvent func(SuspectEvent)) *SuspectList {
	if onEvent == nil {
		onEvent = func(SuspectEvent) {}
	}
	return &SuspectList{onEvent: onEvent, entries: make(map[uint64]*suspectEntry)}
}

// BlockedLossesOf returns the losses for which a request is blocked, none if it is not.
func (s *SuspectList) BlockedLossesOf(now time.Time, digest uint64) []Loss {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.blocking(now, digest)
}

// blocking returns the losses for which a request is blocked; the caller holds mu.
func (s *SuspectList) blocking(now time.Time, digest uint64) []Loss {
	entry := s.entries[digest]
	if entry == nil {
		return nil
	}
	age := now.Sub(entry.lastLoss)
	if entry.count() < lossLimit || age >= SuspectTTL {
		return nil
	}
	losses := make([]Loss, 0, lossLimit)
	for _, server := range entry.servers[len(entry.servers)-lossLimit:] {
		losses = append(losses, Loss{Digest: digest, Server: server, AgeMS: max(age, 0).Milliseconds()})
	}
	return losses
}

// Blocked implements Suspects.
func (s *SuspectList) Blocked(now time.Time, digest uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.entries[digest]
	return entry != nil && entry.count() >= lossLimit && now.Sub(entry.lastLoss) < SuspectTTL
}

// RecordLoss implements Suspects.
func (s *SuspectList) RecordLoss(now time.Time, digest uint64, server ident.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(now, Loss{Digest: digest, Server: server}, "loss_recorded")
	s.recent = append(s.recent, recentLoss{Loss{Digest: digest, Server: server}, now})
	if len(s.recent) > maxRecentLosses {
		s.recent = s.recent[1:]
	}
}

// Merge adds losses that other router instances have seen.
func (s *SuspectList) Merge(now time.Time, losses []Loss) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, loss := range losses {
		if age, counts := loss.age(); counts {
			s.add(now.Add(-age), loss, "loss_received")
		}
	}
}

// add adds a loss; event names the way on which it came. The caller holds mu.
func (s *SuspectList) add(at time.Time, loss Loss, event string) {
	entry := s.entries[loss.Digest]
	if entry == nil {
		s.evict(at)
		entry = &suspectEntry{}
		s.entries[loss.Digest] = entry
	}
	if at.After(entry.lastLoss) {
		entry.lastLoss = at
	}
	for _, server := range entry.servers {
		if server == loss.Server {
			return
		}
	}
	entry.servers = append(entry.servers, loss.Server)
	s.onEvent(SuspectEvent{Name: event, Digest: loss.Digest, Server: loss.Server, Servers: entry.count(), Blocked: entry.count() >= lossLimit})
}

// evict makes room for one entry if the list is full: it removes expired entries, and others in arbitrary order while the list
// is still full.
func (s *SuspectList) evict(now time.Time) {
	if len(s.entries) < maxSuspects {
		return
	}
	for digest, entry := range s.entries {
		if now.Sub(entry.lastLoss) > SuspectTTL || len(s.entries) >= maxSuspects {
			delete(s.entries, digest)
		}
	}
}

// Clear implements Suspects.
func (s *SuspectList) Clear(digest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if entry := s.entries[digest]; entry != nil && entry.count() > 0 {
		s.onEvent(SuspectEvent{Name: "losses_cleared", Digest: digest, Servers: entry.count()})
		entry.cleared = len(entry.servers)
	}
}

// Recent returns the losses that this instance has seen in the last lossShareTime. Merging them again changes nothing.
func (s *SuspectList) Recent(now time.Time) []Loss {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.recent) > 0 && now.Sub(s.recent[0].at) > lossShareTime {
		s.recent = s.recent[1:]
	}
	losses := make([]Loss, len(s.recent))
	for index, loss := range s.recent {
		losses[index] = loss.Loss
		losses[index].AgeMS = now.Sub(loss.at).Milliseconds()
	}
	return losses
}

// BlockedLosses returns the losses of requests that are blocked, at most those of maxBlockedReported requests, for instances that start and know
// none.
func (s *SuspectList) BlockedLosses(now time.Time) []Loss {
	s.mu.Lock()
	defer s.mu.Unlock()
	var losses []Loss
	for digest := range s.entries {
		losses = append(losses, s.blocking(now, digest)...)
		if len(losses) >= maxBlockedReported*lossLimit {
			break
		}
	}
	return losses
}
