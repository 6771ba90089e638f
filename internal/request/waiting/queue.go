// Package waiting queues the requests of one service that no server takes now, but one will while their callers still wait.
//
// Queue and its parts are decisions: the caller passes the time. Controller adds the lock and the channels for goroutines that wait.
package waiting

import (
	"slices"
	"time"
)

// Bounds of a queue.
const (
	// MaxRequests bounds the waiting requests of a service.
	MaxRequests = 512
	// MaxBodyBytes bounds the bodies of a service's waiting requests together, in bytes.
	MaxBodyBytes = 4 << 20
	// maxTurns bounds the turns in one round of requests with the same priority. They look for the same servers, so that those behind the first few would most
	// likely find none either; with hundreds waiting and 100 events a second, their turns would use up a small machine.
	maxTurns = 4
)

// PriorityLevels is the number of priorities.
const PriorityLevels = 10

// Priority is a request's priority, from 0, the highest, to PriorityLevels-1.
type Priority int

// Request describes a request that may wait.
type Request struct {
	Priority Priority
	// StartBy is the latest time at which a server must start the request so that its caller can use the response.
	StartBy time.Time
	// Work is how long the request occupies a server before the next one that waits can start there; 0 if that is not known.
	Work time.Duration
	// BodyBytes is the length of the body.
	BodyBytes int
}

// Entry is a place in a Queue.
type Entry struct {
	Request
	sequence uint64
	// round is the last round in which the entry had the turn.
	round uint64
}

// precedes reports whether the entry is served before another: by priority, latest start and age.
func (e *Entry) precedes(other *Entry) bool {
	switch {
	case e.Priority != other.Priority:
		return e.Priority < other.Priority
	case !e.StartBy.Equal(other.StartBy):
		return e.StartBy.Before(other.StartBy)
	default:
		return e.sequence < other.sequence
	}
}

// Outcome is why a request does not wait, or does not wait any longer.
type Outcome string

// Outcomes of requests.
const (
	// Sent means that the request was sent to a server.
	Sent Outcome = "sent"
	// Unreachable means that a server could not be reached in time, so that the request did not wait.
	Unreachable Outcome = "unreachable"
	// Full means that the queue was full of more urgent requests, so that the request did not wait.
	Full Outcome = "full"
	// Displaced means that a more urgent request took the place.
	Displaced Outcome = "displaced"
	// Expired means that no server was reached before the latest start.
	Expired Outcome = "expired"
	// Stopping means that the instance stops.
	Stopping Outcome = "stopping"
	// Ended means that the request must not be sent any more: its caller has left, or it was refused for another reason than a lack of capacity.
	Ended Outcome = "ended"
)

// Queue orders the waiting requests of one service and gives the turn to one of them at a time.
//
// Each event that may have freed capacity is a round. In a round, the requests get the turn one after the other in their order, until one of them is
// sent, so that at most one request is sent for each event and all others see the capacity that it took. Of the requests with the same priority, maxTurns
// get the turn in a round. The zero value is an empty queue.
//
// It reads no clock and has no lock: the caller passes the time and serializes calls.
type Queue struct {
	// entries are the waiting requests, the first in order first; at most MaxRequests, with bodies of at most MaxBodyBytes.
	entries   []*Entry
	bodyBytes int
	sequence  uint64
	// round numbers the rounds. turn is the entry that has the turn now, nil if none has.
	round uint64
	turn  *Entry
	// turns are the turns in the current round, by priority; at most maxTurns each.
	turns [PriorityLevels]int
	// pending is the number of events whose round has not begun; at most MaxRequests, because each sends one request.
	pending int
	// sent is how fast the requests that waited were sent.
	sent throughput
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.entries) }

// IsFirst reports whether no waiting request goes before this one.
func (q *Queue) IsFirst(request Request) bool {
	return len(q.entries) == 0 || !q.entries[0].precedes(&Entry{Request: request, sequence: q.sequence + 1})
}

// Join adds a request. capacityIn is the shortest time in which a server may become able to start it, 0 if that is not known. Join returns the entry
// and those that it displaced, or why the request must not wait.
func (q *Queue) Join(now time.Time, request Request, capacityIn time.Duration) (*Entry, []*Entry, Outcome) {
	q.sequence++
	entry := &Entry{Request: request, sequence: q.sequence}
	index, _ := slices.BinarySearchFunc(q.entries, entry, compare)
	if !now.Add(max(capacityIn, q.workAhead(index))).Before(request.StartBy) {
		return nil, nil, Unreachable
	}
	displaced, fits := q.displacedBy(entry, index)
	if !fits {
		return nil, nil, Full
	}
	for _, each := range displaced {
		q.Remove(each)
	}
	if len(q.entries) == 0 {
		q.sent.resume(now)
	}
	q.entries = slices.Insert(q.entries, index, entry)
	q.bodyBytes += request.BodyBytes
	return entry, displaced, ""
}

// displacedBy returns the entries that make way for a new one at index, the least urgent first, and false if those behind it are not enough. The entry
// that has the turn stays, because it may just be sent.
func (q *Queue) displacedBy(entry *Entry, index int) (displaced []*Entry, fits bool) {
	count, bodyBytes := len(q.entries)+1, q.bodyBytes+entry.BodyBytes
	for last := len(q.entries) - 1; count > MaxRequests || bodyBytes > MaxBodyBytes; last-- {
		if last < index {
			return nil, false
		}
		if each := q.entries[last]; each != q.turn {
			displaced = append(displaced, each)
			count--
			bodyBytes -= each.BodyBytes
		}
	}
	return displaced, true
}

// workAhead returns how long it takes until the work that is ahead of index has been sent to servers, 0 if that is not known.
func (q *Queue) workAhead(index int) time.Duration {
	var work time.Duration
	for _, other := range q.entries[:index] {
		work += other.Work
	}
	return q.sent.timeFor(work)
}

// Unreachable removes and returns the requests that no server starts any more by their latest start, because the work ahead of them takes longer than it
// seemed when they joined. The entry that has the turn stays.
func (q *Queue) Unreachable(now time.Time) []*Entry {
	var removed []*Entry
	var ahead time.Duration
	for _, entry := range slices.Clone(q.entries) {
		if entry == q.turn || now.Add(q.sent.timeFor(ahead)).Before(entry.StartBy) {
			ahead += entry.Work
			continue
		}
		q.Remove(entry)
		removed = append(removed, entry)
	}
	return removed
}

func compare(a, b *Entry) int {
	if a.precedes(b) {
		return -1
	}
	return 1
}

// Remove removes an entry, whose turn goes to the next, and reports whether it was waiting.
func (q *Queue) Remove(entry *Entry) bool {
	index := slices.Index(q.entries, entry)
	if index < 0 {
		return false
	}
	q.entries = slices.Delete(q.entries, index, index+1)
	q.bodyBytes -= entry.BodyBytes
	q.Pass(entry)
	if len(q.entries) == 0 {
		q.pending, q.turns = 0, [PriorityLevels]int{}
		q.sent.pause()
	}
	return true
}

// Event records that capacity may have become free, which begins a round.
func (q *Queue) Event() {
	if len(q.entries) > 0 {
		q.pending = min(q.pending+1, MaxRequests)
	}
}

// Next returns the entry that gets the turn now; nil if another one has it, or no round is to be done.
func (q *Queue) Next(now time.Time) *Entry {
	if q.turn != nil {
		return nil
	}
	for q.pending > 0 {
		for _, entry := range q.entries {
			if entry.round <= q.round && now.Before(entry.StartBy) && q.turns[entry.Priority] < maxTurns {
				q.turns[entry.Priority]++
				entry.round = q.round + 1
				q.turn = entry
				return entry
			}
		}
		q.endRound()
	}
	return nil
}

// Pass ends the turn of an entry that found no server; the round goes on with the next one.
func (q *Queue) Pass(entry *Entry) {
	if q.turn == entry {
		q.turn = nil
	}
}

// Take removes an entry that is sent, which ends the round.
func (q *Queue) Take(now time.Time, entry *Entry) {
	q.sent.observe(now, entry.Work)
	if q.turn == entry {
		q.endRound()
	}
	q.Remove(entry)
}

func (q *Queue) endRound() {
	q.turn, q.turns = nil, [PriorityLevels]int{}
	q.round++
	q.pending--
}
