package placement

import (
	"time"

	"vanillapond/pkg/ident"
)

// Attempt is one request at a server; it must be ended.
type Attempt struct {
	balancer *Balancer
	server   *server
	load     Load
	priority PriorityLevel
	sentAt   time.Time
	// expected is when the first event was to come, after sent.
	expected time.Duration
	// alone says that nothing else was to be read by the server, so that the first event tells its speed.
	alone bool
	// unsharedTokens is the part of the prompt that the server surely has to read.
	unsharedTokens ident.Tokens
	started        bool
	ended          bool
}

// StartAttempt notes that a request is sent to the chosen server.
func (b *Balancer) StartAttempt(now time.Time, query Query, choice Choice) *Attempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	server := b.server(choice.Server)
	attempt := &Attempt{
		balancer: b, server: server, sentAt: now, expected: choice.TimeToFirstEvent, load: Load{Active: 1},
		alone: choice.Load.Prefill.Total() == 0, unsharedTokens: query.Prompt - sharedTokens(query.Parts),
	}
	if query.Engine {
		attempt.priority = query.PriorityLevel
		attempt.load.Prefill[query.PriorityLevel] = choice.Uncached
		attempt.load.KVTokens = query.Prompt + query.Output
		if b.speed.latencySensitive(query.MaxPause) {
			attempt.load.LatencySensitive = 1
		}
		b.cache.record(now, query.Parts, server)
	}
	server.local.add(attempt.load)
	server.attempts[attempt] = struct{}{}
	return attempt
}

// FirstEvent notes the first event of the answer.
func (a *Attempt) FirstEvent(now time.Time) {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	if a.started || a.ended {
		return
	}
	a.started = true
	a.server.local.Prefill[a.priority] -= a.load.Prefill[a.priority]
	a.load.Prefill = PrefillTokens{}
	if a.alone {
		a.balancer.speed.observe(a.unsharedTokens, now.Sub(a.sentAt))
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
func (a *Attempt) End(now time.Time, result Result) {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	delete(a.server.attempts, a)
	a.server.local.subtract(a.load)
	a.server.health.record(now, result)
}
