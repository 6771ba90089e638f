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
	// maxStartRecords bounds the remembered requests.
	maxStartRecords = 16384
	// sentTimeMargin covers the way of a question, which makes its request seem younger than it is.
	sentTimeMargin = time.Second
)

// requestKey names a request over all links of this process.
type requestKey struct {
	entry   ident.Incarnation
	request ident.Request
}

// startRecord is what is remembered of one request: it was started, or it never will be.
type startRecord struct {
	key        requestKey
	recordedAt clock.Reading
	started    bool
}

// startLog remembers which requests were started, so that an entry whose link broke can ask, and lets none that was asked
// for start later.
type startLog struct {
	mu sync.Mutex
	// records holds the remembered requests; guarded by mu.
	records map[requestKey]startRecord
	// ring holds the keys of facts in order of remembering, next is the oldest once it is full. Guarded by mu.
	ring   []requestKey
	oldest int
	// completeSince is since when every start is remembered; guarded by mu.
	completeSince clock.Reading
}

func newStartLog(now clock.Reading) *startLog {
	return &startLog{records: make(map[requestKey]startRecord), completeSince: now}
}

// begin reports whether a request may start, and remembers it.
func (s *startLog) begin(key requestKey, now clock.Reading) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if record, found := s.records[key]; found {
		return record.started
	}
	s.add(startRecord{key: key, recordedAt: now, started: true})
	return true
}

// query returns whether a request sent at a time was started; one that was not never will be.
func (s *startLog) query(key requestKey, sent, now clock.Reading) outcome.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	record, found := s.records[key]
	if !found && sent < s.completeSince {
		return outcome.Unknown
	}
	if !found {
		s.add(startRecord{key: key, recordedAt: now})
	}
	return outcome.FromNotRun(!record.started)
}

// add forgets the oldest fact where there is no room; the caller holds mu.
func (s *startLog) add(record startRecord) {
	s.records[record.key] = record
	if len(s.ring) < maxStartRecords {
		s.ring = append(s.ring, record.key)
		return
	}
	s.completeSince = max(s.completeSince, s.records[s.ring[s.oldest]].recordedAt)
	delete(s.records, s.ring[s.oldest])
	s.ring[s.oldest] = record.key
	s.oldest = (s.oldest + 1) % len(s.ring)
}

// QueryOutcome answers an entry whose link broke.
func (g *Guard) QueryOutcome(entry ident.Incarnation, ask *link.Ask) outcome.Outcome {
	now := clock.Boot()
	sent := now.Add(-time.Duration(ask.SentAgoMS)*time.Millisecond - sentTimeMargin)
	return g.startLog.query(requestKey{entry: entry, request: ask.Request}, sent, now)
}
