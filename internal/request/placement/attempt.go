package placement

import (
	"time"

	"vanillapond/pkg/ident"
)

// Attempt is a request in flight at a server. The caller must call End.
type Attempt struct {
	balancer *Balancer
	server   *server
	load     Load
	priority PriorityLevel
	sentAt   time.Time
	// expected is the expected time to the first event, counted from sentAt.
	expected time.Duration
	// noBacklog reports whether the server had no known prefill backlog when it was picked, so that the time to the first
	// event measures its speed.
	noBacklog bool
	// unsharedTokens counts the prompt tokens that no other request shares, so that the server must prefill them.
	unsharedTokens ident.Tokens
	// aheadTokens counts the tokens that the server was expected to prefill before this request.
	aheadTokens ident.Tokens
	started     bool
	ended       bool
}

// StartAttempt records that a request is sent to the chosen server.
func (b *Balancer) StartAttempt(now time.Time, query Query, choice Choice) *Attempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	server := b.server(choice.Server)
	attempt := &Attempt{
		balancer: b, server: server, sentAt: now, expected: choice.TimeToFirstEvent, load: Load{Active: 1},
		noBacklog: choice.Load.Prefill.Total() == 0, unsharedTokens: query.Prompt - sharedTokens(query.Parts),
	}
	if query.Engine {
		attempt.priority = query.PriorityLevel
		attempt.load.Prefill[query.PriorityLevel] = choice.Uncached
		attempt.aheadTokens = choice.Load.Prefill.upTo(query.PriorityLevel)
		attempt.load.KVTokens = query.Prompt + query.Output
		if b.speed.latencySensitive(query.MaxPause) {
			attempt.load.LatencySensitive = 1
		}
		b.cache.record(now, query.Parts, server)
	}
	server.local.add(attempt.load)
	if b.settings.LoadAware {
		b.estimates.recordSend(now, ordinarySend+sendKind(attempt.load.LatencySensitive))
	}
	server.attempts[attempt] = struct{}{}
	return attempt
}

// FirstEvent records the first event of the response.
func (a *Attempt) FirstEvent(now time.Time) {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	if a.started || a.ended {
		return
	}
	a.started = true
	a.server.local.Prefill[a.priority] -= a.load.Prefill[a.priority]
	a.load.Prefill = PrefillTokens{}
	if a.noBacklog {
		a.balancer.speed.observe(a.unsharedTokens, now.Sub(a.sentAt))
	}
	a.balancer.observeRate(a, now)
}

// Event records a further event of a stream, after the first.
func (a *Attempt) Event(now time.Time) { _ = now }

// ReportedLoad is what a server says about its load in a response. It contains the requests that were sent before the response.
type ReportedLoad struct {
	// Running and Waiting count the server's requests, and Slots the requests that it runs at a time.
	Running, Waiting, Slots int
	// WorkPercent is how long work takes on the server's machine now, 100 as usual; 0 if the server does not say.
	WorkPercent float64
}

// Result is the result of a request as far as it reflects on the health of the server.
type Result int

// Results of a request.
const (
	// Neutral results say nothing about the server's health.
	Neutral Result = iota
	// Succeeded is a complete response, and Failed an incomplete or invalid one.
	Succeeded
	Failed
	// Overloaded is a refusal for lack of capacity.
	Overloaded
	// Unreachable is a failed connection attempt.
	Unreachable
)

// End removes the request from the server's load and records its result. Further calls have no effect.
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
