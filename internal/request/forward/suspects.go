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
	// lossLimit is how many crashes of servers that ran a request it takes to refuse it.
	lossLimit = 3
	// maxLosses bounds the losses of a request that are kept.
	maxLosses = 64
	// maxSuspects bounds the length of a SuspectList; evict chooses the suspects that are dropped.
	maxSuspects = 4096
	// lossShareTime is for how long each loss is reported, in case a report is lost, and maxRecentLosses bounds a report.
	lossShareTime   = 3 * time.Second
	maxRecentLosses = 256
	// maxBlockedReported bounds the blocked requests in a report.
	maxBlockedReported = 64
)

// Loss is the loss of a server while it ran the request with this digest, as instances tell each other.
type Loss struct {
	Digest uint64         `cbor:"1,keyasint"`
	Server ident.Endpoint `cbor:"2,keyasint"`
	// AgeMS is how long ago the request last lost a server, in milliseconds.
	AgeMS int64 `cbor:"3,keyasint,omitempty"`
	// StartedUnixMS is when the server had started, OpenedUnixMS and BrokenUnixMS when the connection was opened on which the request ran, and when it broke; in
	// Unix milliseconds, of the agreed time those of the connection. All are 0 in reports of earlier versions.
	StartedUnixMS int64 `cbor:"4,keyasint,omitempty"`
	OpenedUnixMS  int64 `cbor:"5,keyasint,omitempty"`
	BrokenUnixMS  int64 `cbor:"6,keyasint,omitempty"`
}

// age returns how long ago the request last lost a server; false if the loss does not count any more, or a field is out of range.
func (l Loss) age() (time.Duration, bool) {
	if l.AgeMS < 0 || l.AgeMS > SuspectTTL.Milliseconds() || l.OpenedUnixMS < 0 || l.OpenedUnixMS > l.BrokenUnixMS {
		return 0, false
	}
	return time.Duration(l.AgeMS) * time.Millisecond, true
}

// Names of events. A loss is recorded by the instance that sees it, and received by the others.
const (
	LossRecorded  = "loss_recorded"
	LossReceived  = "loss_received"
	LossesCleared = "losses_cleared"
)

// SuspectEvent is a change of what a SuspectList holds about a request.
type SuspectEvent struct {
	// Name is LossRecorded, LossReceived or LossesCleared.
	Name   string
	Digest uint64
	Server ident.ServerStart
	// Losses is the number of losses that count against the request, before they were cleared.
	Losses int
	// Blocked means that the request is refused from now on.
	Blocked bool
}

// SuspectConfig configures a SuspectList.
type SuspectConfig struct {
	// OnEvent receives the changes, and must not block; nil drops them.
	OnEvent func(SuspectEvent)
	// AgreedTime returns the time of day as all instances see it; nil means time.Now.
	AgreedTime func() time.Time
}

// SuspectList implements Suspects in memory. Router instances exchange their losses, so that each counts those of all.
type SuspectList struct {
	config  SuspectConfig
	mu      sync.Mutex
	entries map[uint64]*suspectEntry
	// recent holds the losses seen by this instance in the last lossShareTime, the oldest first; guarded by mu.
	recent []recentLoss
	// announced holds the requests whose clearance others may not know, by digest, and since when, at most maxRecentLosses; guarded by mu.
	announced map[uint64]time.Time
}

// Clearance says that a request got a complete response, at a Unix millisecond of the agreed time: its losses before then do not count any more.
type Clearance struct {
	Digest        uint64 `cbor:"1,keyasint"`
	ClearedUnixMS int64  `cbor:"2,keyasint"`
}

type suspectEntry struct {
	// crashes are those that the request was lost in, in the order in which they became known, each once, the latest maxLosses. Those that are cleared are
	// kept because losses are reported repeatedly.
	crashes []suspectCrash
	// completedUnixMS is when the request last got a complete response here, and clearedUnixMS the time before which its losses do not count, in the agreed
	// time; 0 if that is not known.
	completedUnixMS, clearedUnixMS int64
	lastLoss                       time.Time
}

// suspectCrash is a crash that a request was lost in, and whether that does not count any more.
type suspectCrash struct {
	crash
	cleared bool
}

// counting returns the crashes that count.
func (e *suspectEntry) counting() []crash {
	counting := make([]crash, 0, lossLimit)
	for _, known := range e.crashes {
		if !known.cleared {
			counting = append(counting, known.crash)
		}
	}
	return counting
}

func (e *suspectEntry) count() int { return len(e.counting()) }

// add adds a crash, and reports whether it was not known. It does not count if it came before a time.
func (e *suspectEntry) add(found crash, clearedUnixMS int64) bool {
	for index, known := range e.crashes {
		if !known.isSame(found) {
			continue
		}
		if !known.isTimed() {
			e.crashes[index].crash = found
		}
		return false
	}
	e.crashes = append(e.crashes, suspectCrash{found, found.isBefore(clearedUnixMS)})
	if len(e.crashes) > maxLosses {
		e.crashes = e.crashes[1:]
	}
	return true
}

type recentLoss struct {
	Loss
	at time.Time
}

// NewSuspectList returns an empty list.
func NewSuspectList(config SuspectConfig) *SuspectList {
	if config.OnEvent == nil {
		config.OnEvent = func(SuspectEvent) {}
	}
	if config.AgreedTime == nil {
		config.AgreedTime = time.Now
	}
	return &SuspectList{config: config, entries: make(map[uint64]*suspectEntry), announced: make(map[uint64]time.Time)}
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
	counting := entry.counting()
	if len(counting) < lossLimit || age >= SuspectTTL {
		return nil
	}
	losses := make([]Loss, 0, lossLimit)
	for _, each := range counting[len(counting)-lossLimit:] {
		losses = append(losses, each.loss(digest, age))
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
func (s *SuspectList) RecordLoss(now time.Time, digest uint64, observed Crash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	loss := newCrash(observed, s.config.AgreedTime().Sub(now)).loss(digest, 0)
	s.add(now, loss, LossRecorded)
	s.recent = append(s.recent, recentLoss{loss, now})
	if len(s.recent) > maxRecentLosses {
		s.recent = s.recent[1:]
	}
}

// Merge adds losses that other router instances have seen.
func (s *SuspectList) Merge(now time.Time, losses []Loss) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, loss := range losses {
		age, counts := loss.age()
		if !counts {
			continue
		}
		s.add(now.Add(-age), loss, LossReceived)
		if loss.crash().isBefore(s.entries[loss.Digest].clearedUnixMS) {
			s.announce(loss.Digest)
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
	found, clearedUnixMS := loss.crash(), entry.clearedUnixMS
	if event == LossRecorded {
		// A clearance also covers what others may have noticed late; a loss that is seen here after it counts.
		clearedUnixMS = entry.completedUnixMS
	}
	if entry.add(found, clearedUnixMS) {
		s.config.OnEvent(SuspectEvent{
			Name: event, Digest: loss.Digest, Server: found.server, Losses: entry.count(), Blocked: entry.count() >= lossLimit,
		})
	}
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
	entry := s.entries[digest]
	if entry == nil || entry.count() == 0 {
		return
	}
	// The break of a connection may have been noticed late at another instance, and what an earlier version reported has no time.
	entry.completedUnixMS = s.config.AgreedTime().UnixMilli()
	clearance := Clearance{Digest: digest, ClearedUnixMS: entry.completedUnixMS}
	latest := clearance.ClearedUnixMS + sameCrashGap.Milliseconds()
	for _, known := range entry.crashes {
		clearance.ClearedUnixMS = max(clearance.ClearedUnixMS, min(known.brokenUnixMS+1, latest))
	}
	s.apply(clearance)
	for index := range entry.crashes {
		entry.crashes[index].cleared = true
	}
	s.announce(digest)
}

// announce has the clearance of a request reported, unless there are many; the caller holds mu.
func (s *SuspectList) announce(digest uint64) {
	if len(s.announced) < maxRecentLosses {
		s.announced[digest] = s.config.AgreedTime()
	}
}

// apply clears the losses of a request before a time; the caller holds mu.
func (s *SuspectList) apply(clearance Clearance) {
	entry := s.entries[clearance.Digest]
	if entry == nil || clearance.ClearedUnixMS <= entry.clearedUnixMS {
		return
	}
	before := entry.count()
	entry.clearedUnixMS = clearance.ClearedUnixMS
	for index, known := range entry.crashes {
		entry.crashes[index].cleared = known.cleared || known.isBefore(clearance.ClearedUnixMS)
	}
	if entry.count() < before {
		s.config.OnEvent(SuspectEvent{Name: LossesCleared, Digest: clearance.Digest, Losses: before})
	}
}

// Cleared returns the requests that this instance has cleared in the last lossShareTime, and those that another one reported as lost then although they are
// cleared here. Merging them again changes nothing.
func (s *SuspectList) Cleared() []Clearance {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.AgreedTime()
	var cleared []Clearance
	for digest, since := range s.announced {
		entry := s.entries[digest]
		if entry == nil || now.Sub(since) > lossShareTime {
			delete(s.announced, digest)
			continue
		}
		cleared = append(cleared, Clearance{Digest: digest, ClearedUnixMS: entry.clearedUnixMS})
	}
	return cleared
}

// MergeCleared clears the requests that got complete responses at other instances.
func (s *SuspectList) MergeCleared(clearances []Clearance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// One that lies ahead of the agreed time would clear losses that are still to come.
	latest := s.config.AgreedTime().Add(sameCrashGap).UnixMilli()
	for _, clearance := range clearances {
		if clearance.ClearedUnixMS <= latest {
			s.apply(clearance)
		}
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
