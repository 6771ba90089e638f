package guard

import (
	"sync"
	"time"

	"vanillapond/internal/connection/link"
	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/outcome"
	"vanillapond/pkg/ident"
)

// Bounds of what is remembered of starts.
const (
	// maxStarts bounds the remembered requests.
	maxStarts = 16384
	// sentMargin covers the way of a question, which makes its request seem younger than it is.
	sentMargin = time.Second
)

// startKey names a request over all links of this process.
type startKey struct {
	entry   ident.Incarnation
	request ident.Request
}

// fact is what is remembered of one request: it was started, or it never will be.
type fact struct {
	key     startKey
	at      clock.Reading
	started bool
}

// starts remembers which requests were started, so that an entry whose link broke can ask, and lets none that was asked
// for start later.
type starts struct {
	mu sync.Mutex
	// facts holds the remembered requests; guarded by mu.
	facts map[startKey]fact
	// ring holds the keys of facts in order of remembering, next is the oldest once it is full. Guarded by mu.
	ring []startKey
	next int
	// complete is since when every start is remembered; guarded by mu.
	complete clock.Reading
}

func newStarts(now clock.Reading) *starts {
	return &starts{facts: make(map[startKey]fact), complete: now}
}

// begin reports whether a request may start, and remembers it.
func (s *starts) begin(key startKey, now clock.Reading) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, found := s.facts[key]; found {
		return known.started
	}
	s.remember(fact{key: key, at: now, started: true})
	return true
}

// asked returns whether a request sent at a time was started; one that was not never will be.
func (s *starts) asked(key startKey, sent, now clock.Reading) outcome.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, found := s.facts[key]
	if !found && sent < s.complete {
		return outcome.Unknown
	}
	if !found {
		s.remember(fact{key: key, at: now})
	}
	return outcome.FromNotRun(!known.started)
}

// remember forgets the oldest fact where there is no room; the caller holds mu.
func (s *starts) remember(next fact) {
	s.facts[next.key] = next
	if len(s.ring) < maxStarts {
		s.ring = append(s.ring, next.key)
		return
	}
	s.complete = max(s.complete, s.facts[s.ring[s.next]].at)
	delete(s.facts, s.ring[s.next])
	s.ring[s.next] = next.key
	s.next = (s.next + 1) % len(s.ring)
}

// QueryOutcome answers an entry whose link broke.
func (g *Guard) QueryOutcome(entry ident.Incarnation, ask *link.OutcomeQuery) outcome.Outcome {
	now := clock.Boot()
	sent := now.Add(-time.Duration(ask.SentAgoMS)*time.Millisecond - sentMargin)
	return g.starts.asked(startKey{entry: entry, request: ask.Request}, sent, now)
}
