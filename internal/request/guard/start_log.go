package guard

import (
	"sync"
	"time"

	"vanillapond/internal/connection/link"
	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/outcome"
	"vanillapond/pkg/ident"
)

// Bounds of the start log.
const (
	// maxStartRecords is the maximum number of requests in the log.
	maxStartRecords = 16384
	// sentTimeMargin allows for the transit time of a query, which makes the request seem to have been sent later than it was.
	sentTimeMargin = time.Second
)

// requestKey identifies a request across all links of this process.
type requestKey struct {
	entry   ident.Incarnation
	request ident.Request
}

// startRecord says whether a request was started. A request recorded as not started is never started later.
type startRecord struct {
	key        requestKey
	recordedAt clock.Reading
	started    bool
}

// startLog records which requests were started, so that an entry whose link was interrupted can query it.
//
// A request that was not started when it was queried is never started later, so that the reply stays true.
type startLog struct {
	mu sync.Mutex
	// records holds the recent requests; guarded by mu.
	records map[requestKey]startRecord
	// ring holds the keys of records in order of insertion; once it is full, oldest is the index of the oldest one. Guarded by mu.
	ring   []requestKey
	oldest int
	// completeSince is the time since which the log has a record of every start; guarded by mu.
	completeSince clock.Reading
}

func newStartLog(now clock.Reading) *startLog {
	return &startLog{records: make(map[requestKey]startRecord), completeSince: now}
}

// begin reports whether a request may start, and records the start.
func (s *startLog) begin(key requestKey, now clock.Reading) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if record, found := s.records[key]; found {
		return record.started
	}
	s.add(startRecord{key: key, recordedAt: now, started: true})
	return true
}

// query returns whether a request sent at the given time was started, and prevents a later start if it was not.
//
// The outcome is unknown if the log has no record of the request and its records since that time are not complete.
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

// add inserts a record and evicts the oldest one if the log is full; the caller holds mu.
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

// QueryOutcome returns whether a request was executed, for an entry whose link was interrupted.
func (g *Guard) QueryOutcome(entry ident.Incarnation, query *link.OutcomeQuery) outcome.Outcome {
	now := clock.Boot()
	sent := now.Add(-time.Duration(query.SentAgoMS)*time.Millisecond - sentTimeMargin)
	return g.startLog.query(requestKey{entry: entry, request: query.Request}, sent, now)
}
