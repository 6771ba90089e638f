// Package holdings bounds what callers make a process hold: connections, and the bytes of the heads and bodies of their requests. Another account bounds what
// it keeps of the responses of servers.
//
// Ledger and its parts are decisions: the caller passes the time. Account adds the lock, and tells those that have to go.
package holdings

import (
	"slices"
	"time"
)

// Kind is what a holder is.
type Kind string

// Kinds of holders.
const (
	// Connection is a connection with the head of the request that it carries.
	Connection Kind = "connection"
	// Body is the body of a request.
	Body Kind = "body"
	// Stream is the head of a request that shares its connection with others.
	Stream Kind = "stream"
	// Response is what is kept of a server's response.
	Response Kind = "response"
)

// Holder holds a part of what a Ledger bounds.
type Holder struct {
	kind     Kind
	openedAt time.Time
	// bytes is what the holder holds; 0 once it was closed or had to go.
	bytes Bytes
	pace  pace
	// settled means that the holder does not have to go, because its request is complete.
	settled bool
	// index is the holder's place in Ledger.holders, or gone.
	index int
	// left is what the holder held when it had to go.
	left Bytes
}

// gone is the index of a holder that is not in the ledger any longer.
const gone = -1

// Ledger decides who may hold more, and who has to go.
//
// While there is no room for more, the holder that would take longest to send again what it holds, at its present pace, has to go: one that holds much and
// moves little, whenever it came. It may be the one that asks. Large holders share a part of the bytes, so that they can't take the rest from the others; a
// single one may exceed that part.
type Ledger struct {
	limits  Limits
	holders []*Holder
	// bytes and connections count what all holders hold, largeBytes and largeCount what the large ones do.
	bytes, largeBytes       Bytes
	connections, largeCount int
	// heldFor is the mean time for which settled bodies were held lately, in seconds; 0 if there were none.
	heldFor float64
}

// NewLedger returns an empty ledger.
func NewLedger(limits Limits) *Ledger { return &Ledger{limits: limits} }

// Bytes returns the bytes of all holders.
func (l *Ledger) Bytes() Bytes { return l.bytes }

// Connections returns the number of holders that are connections.
func (l *Ledger) Connections() int { return l.connections }

// Open adds a holder. It returns those that have to go for it, or no holder if there is no room.
func (l *Ledger) Open(now time.Time, kind Kind, bytes Bytes) (*Holder, []*Holder) {
	h := &Holder{kind: kind, openedAt: now, index: gone}
	h.pace.move(now, bytes)
	l.insert(h)
	leaving, ok := l.Grow(now, h, bytes)
	if !ok {
		l.Close(now, h)
		return nil, nil
	}
	return h, leaving
}

// Grow lets a holder hold more. It returns those that have to go for that; without room it reports false, and nothing changes.
func (l *Ledger) Grow(now time.Time, h *Holder, bytes Bytes) (leaving []*Holder, ok bool) {
	if h.index == gone || h.bytes+bytes > l.limits.Largest {
		return nil, false
	}
	l.resize(h, h.bytes+bytes)
	for {
		isCandidate := l.exceeded()
		if isCandidate == nil {
			return leaving, true
		}
		worst := l.worst(now, isCandidate)
		if worst == nil || worst == h {
			break
		}
		leaving = append(leaving, worst)
		worst.left = worst.bytes
		l.remove(worst)
	}
	for _, each := range leaving {
		l.insert(each)
		l.resize(each, each.left)
	}
	l.resize(h, h.bytes-bytes)
	return nil, false
}

// TryGrow lets a holder hold more if none has to go for that, and reports whether it did.
func (l *Ledger) TryGrow(h *Holder, bytes Bytes) bool {
	if h.index == gone || h.bytes+bytes > l.limits.Largest {
		return false
	}
	l.resize(h, h.bytes+bytes)
	if l.exceeded() != nil {
		l.resize(h, h.bytes-bytes)
		return false
	}
	return true
}

// Move records that bytes of a holder arrived.
func (l *Ledger) Move(now time.Time, h *Holder, bytes Bytes) { h.pace.move(now, bytes) }

// Settle sets whether the holder's request is complete. It reports false if the holder had to go before.
func (l *Ledger) Settle(h *Holder, settled bool) bool {
	h.settled = settled
	return h.index != gone
}

// Shrink lets a holder hold so many bytes, not more than it holds.
func (l *Ledger) Shrink(h *Holder, bytes Bytes) {
	if h.index != gone && bytes < h.bytes {
		l.resize(h, bytes)
	}
}

// Close removes a holder, if it did not have to go before.
func (l *Ledger) Close(now time.Time, h *Holder) {
	if h.index == gone {
		return
	}
	if h.kind == Body && h.settled {
		l.recordHeld(now.Sub(h.openedAt))
	}
	l.remove(h)
}

// exceeded returns which holders are to be considered for a limit that is exceeded, nil if none is.
func (l *Ledger) exceeded() func(*Holder) bool {
	switch {
	case l.connections > l.limits.Connections:
		return func(h *Holder) bool { return h.kind == Connection }
	case l.largeCount > 1 && l.largeBytes > l.limits.largeShare():
		return func(h *Holder) bool { return l.limits.isLarge(h.bytes) }
	case l.bytes-l.excessOfLargest() > l.limits.Bytes:
		return func(*Holder) bool { return true }
	default:
		return nil
	}
}

// fits reports whether so much more is within the limits.
func (l *Ledger) fits(bytes Bytes, connections int) bool {
	return l.connections+connections <= l.limits.Connections && l.bytes+bytes-l.excessOfLargest() <= l.limits.Bytes
}

// excessOfLargest returns by how much the only large holder exceeds the part of large holders.
func (l *Ledger) excessOfLargest() Bytes {
	if l.largeCount != 1 {
		return 0
	}
	return max(l.largeBytes-l.limits.largeShare(), 0)
}

// worst returns the candidate that would take longest to send again what it holds, nil if there is none that may have to go. Among equals, it is the one
// that has not moved for the longest time.
func (l *Ledger) worst(now time.Time, isCandidate func(*Holder) bool) *Holder {
	var worst *Holder
	var longest float64
	for _, h := range l.holders {
		if h.settled || !isCandidate(h) {
			continue
		}
		seconds := float64(h.bytes) / h.pace.bytesPerSecond(now)
		if worst == nil || seconds > longest || seconds == longest && h.pace.movedAt.Before(worst.pace.movedAt) {
			worst, longest = h, seconds
		}
	}
	return worst
}

func (l *Ledger) insert(h *Holder) {
	h.index = len(l.holders)
	l.holders = append(l.holders, h)
	if h.kind == Connection {
		l.connections++
	}
}

func (l *Ledger) remove(h *Holder) {
	l.resize(h, 0)
	last := l.holders[len(l.holders)-1]
	l.holders[h.index], last.index = last, h.index
	l.holders = slices.Delete(l.holders, len(l.holders)-1, len(l.holders))
	h.index = gone
	if h.kind == Connection {
		l.connections--
	}
}

func (l *Ledger) resize(h *Holder, bytes Bytes) {
	if l.limits.isLarge(h.bytes) {
		l.largeBytes -= h.bytes
		l.largeCount--
	}
	l.bytes += bytes - h.bytes
	h.bytes = bytes
	if l.limits.isLarge(bytes) {
		l.largeBytes += bytes
		l.largeCount++
	}
}
