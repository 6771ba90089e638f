package origin

import (
	"slices"
	"sync"
	"time"

	"vanillapond/internal/process/clock"
	"vanillapond/pkg/ident"
)

// Times and limits of a hand-over.
const (
	// askAgainAfter is the time after which a question without an answer is sent again, fastAttempts how often it is: an instance of an earlier version
	// does not answer. slowAttempts more follow after slowAskAgainAfter each, for an instance that stood still.
	askAgainAfter     = 100 * time.Millisecond
	fastAttempts      = 5
	slowAskAgainAfter = 2 * time.Second
	slowAttempts      = 5
	// questionsAtOnce is the number of questions that begin in each questionInterval: the answers to an instance that joins a large fleet must not
	// fill its link.
	questionsAtOnce  = 8
	questionInterval = 20 * time.Millisecond
)

// Handover asks the other instances for the streams that this one is to know: each one once, when it becomes known. It does no I/O and reads no
// clock. It is safe for concurrent use.
type Handover struct {
	own ident.Incarnation
	mu  sync.Mutex
	// requests holds what was asked of each known instance; guarded by mu.
	requests map[ident.Incarnation]*handoverRequest
	// others are the keys of requests, in the order in which they are asked; guarded by mu.
	others []ident.Incarnation
}

type handoverRequest struct {
	position Position
	// attempts counts the questions since the last answer, the last of which was sent at sentAt.
	attempts int
	sentAt   clock.Reading
	complete bool
}

// wait returns the time from the last question to the next; false if there is none.
func (r *handoverRequest) wait() (time.Duration, bool) {
	switch {
	case r.complete || r.attempts >= fastAttempts+slowAttempts:
		return 0, false
	case r.attempts >= fastAttempts:
		return slowAskAgainAfter, true
	default:
		return askAgainAfter, true
	}
}

// NewHandover returns a hand-over to an instance.
func NewHandover(own ident.Incarnation) *Handover {
	return &Handover{own: own, requests: make(map[ident.Incarnation]*handoverRequest)}
}

// Observe sets which other instances there are.
func (h *Handover) Observe(others []ident.Incarnation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.requests
	h.others = slices.Sorted(slices.Values(others))
	h.requests = make(map[ident.Incarnation]*handoverRequest, len(others))
	for _, other := range others {
		if h.requests[other] = before[other]; h.requests[other] == nil {
			h.requests[other] = &handoverRequest{}
		}
	}
}

// Due returns the questions to be sent now, and the time until there are more; 0 if none will be, unless an answer comes.
func (h *Handover) Due(now clock.Reading) (questions []PageQuestion, next time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, other := range h.others {
		request := h.requests[other]
		wait, asks := request.wait()
		if !asks {
			continue
		}
		if remaining := wait - now.Sub(request.sentAt); request.attempts > 0 && remaining > 0 {
			next = earlier(next, remaining)
			continue
		}
		if len(questions) == questionsAtOnce {
			next = earlier(next, questionInterval)
			continue
		}
		request.attempts++
		request.sentAt = now
		questions = append(questions, PageQuestion{From: h.own, To: other, Position: request.position})
		if wait, asks := request.wait(); asks {
			next = earlier(next, wait)
		}
	}
	return questions, next
}

// earlier returns the shorter of two times, of which 0 is none.
func earlier(a, b time.Duration) time.Duration {
	if a == 0 {
		return b
	}
	return min(a, b)
}

// Receive applies a page, and returns the question for the next one if there is one.
func (h *Handover) Receive(now clock.Reading, page *Page) (question PageQuestion, more bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	request := h.requests[page.From]
	if request == nil || request.complete || request.position != page.Position {
		return PageQuestion{}, false
	}
	request.position, request.complete = page.Next, page.Complete
	if request.complete {
		return PageQuestion{}, false
	}
	request.attempts, request.sentAt = 1, now
	return PageQuestion{From: h.own, To: page.From, Position: page.Next}, true
}

// Settled reports whether all known instances have answered, or have not for so long that they may not.
func (h *Handover) Settled() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, request := range h.requests {
		if !request.complete && request.attempts < fastAttempts {
			return false
		}
	}
	return true
}
