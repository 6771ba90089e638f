package placement

import (
	"time"

	"vanillapond/pkg/ident"
)

// Attempt is one request at a server; it must be ended.
type Attempt struct {
	board  *Balancer
	server *server
	work   Load
	level  PriorityLevel
	sent   time.Time
	// expected is when the first event was to come, after sent.
	expected time.Duration
	// alone says that nothing else was to be read by the server, so that the first event tells its speed.
	alone bool
	// unshared is the part of the prompt that the server surely has to read.
	unshared ident.Tokens
	started  bool
	ended    bool
}

// StartAttempt notes that a request is sent to the chosen server.
func (b *Balancer) StartAttempt(now time.Time, query Query, choice Choice) *Attempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	server := b.server(choice.Server)
	ticket := &Attempt{
		board: b, server: server, sent: now, expected: choice.TimeToFirstEvent, work: Load{Active: 1},
		alone: choice.Load.Prefill.Total() == 0, unshared: query.Prompt - sharedTokens(query.Parts),
	}
	if query.Engine {
		ticket.level = query.PriorityLevel
		ticket.work.Prefill[query.PriorityLevel] = choice.Uncached
		ticket.work.KVTokens = query.Prompt + query.Output
		if b.speed.fragile(query.MaxPause) {
			ticket.work.LatencySensitive = 1
		}
		b.cache.use(now, query.Parts, server)
	}
	server.own.add(ticket.work)
	server.tickets[ticket] = struct{}{}
	return ticket
}

// FirstEvent notes the first event of the answer.
func (t *Attempt) FirstEvent(now time.Time) {
	t.board.mu.Lock()
	defer t.board.mu.Unlock()
	if t.started || t.ended {
		return
	}
	t.started = true
	t.server.own.Prefill[t.level] -= t.work.Prefill[t.level]
	t.work.Prefill = PrefillTokens{}
	if t.alone {
		t.board.speed.observe(t.unshared, now.Sub(t.sent))
	}
}

// Result says how a request ended, as far as the server is to blame.
type Result int

// Results of a request.
const (
	// Neutral tells nothing of the server.
	Neutral Result = iota
	// Succeeded is a whole answer, and Failed a broken or wrong one.
	Succeeded
	Failed
	// Overloaded is a refusal for want of room.
	Overloaded
	// Unreachable says that no connection came about.
	Unreachable
)

// End forgets the request; further calls have no effect.
func (t *Attempt) End(now time.Time, result Result) {
	t.board.mu.Lock()
	defer t.board.mu.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	delete(t.server.tickets, t)
	t.server.own.subtract(t.work)
	t.server.health.note(now, result)
}
