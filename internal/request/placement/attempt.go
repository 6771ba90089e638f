package placement

import (
	"time"

	"vanillapond/internal/request/servermodel"
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
	// ahead counts the tokens that the server was known to prefill before those of the request when it was sent.
	ahead ident.Tokens
	// serverStart is the start of the server to which the request was sent.
	serverStart ident.ServerStart
	stream      servermodel.Stream
	started     bool
	ended       bool
	// expectedOutput is the number of tokens that the response was expected to have.
	expectedOutput ident.Tokens
	// plain means that the request went to a plain service, and trial that it tries an ejected server.
	plain, trial bool
	// once means that the request must not run twice.
	once bool
	// firstEventAt is when the first event arrived; zero before.
	firstEventAt time.Time
}

// StartAttempt records that a request is sent to the chosen server.
func (b *Balancer) StartAttempt(now time.Time, query Query, choice Choice) *Attempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	server := b.server(choice.Server)
	attempt := &Attempt{
		balancer: b, server: server, sentAt: now, expected: choice.TimeToFirstEvent, load: Load{Active: 1},
		noBacklog: choice.Load.Prefill.Total() == 0, unsharedTokens: query.Prompt - sharedTokens(query.Parts),
		serverStart: server.ServerStart,
		plain:       !query.Engine, trial: choice.Trial, once: !query.MayRunTwice,
	}
	b.startTrial(attempt)
	if query.Engine {
		attempt.ahead = choice.Load.Prefill.upTo(query.PriorityLevel)
		attempt.priority, attempt.expectedOutput = query.PriorityLevel, query.Output
		attempt.load.Prefill[query.PriorityLevel] = choice.Uncached
		attempt.load.KVTokens = query.Prompt + query.Output
		if b.speed.latencySensitive(query.MaxPause) {
			attempt.load.LatencySensitive = 1
		}
		b.cache.record(now, query.Parts, server)
		b.arrivals.add(now, query.PriorityLevel, choice.Uncached)
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
	a.started, a.firstEventAt = true, now
	a.balancer.delays[a.priority].observe(now.Sub(a.sentAt), a.expected)
	a.server.local.Prefill[a.priority] -= a.load.Prefill[a.priority]
	a.load.Prefill = PrefillTokens{}
	switch {
	case a.balancer.usesModel():
		a.sampleFirstEvent(now)
	case a.noBacklog:
		a.balancer.speed.observe(a.unsharedTokens, now.Sub(a.sentAt))
	}
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
	// ServerFailed is a complete response with a server's error.
	ServerFailed
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
	if took := now.Sub(a.sentAt); !a.plain && !a.started && took > a.expected {
		a.balancer.delays[a.priority].observe(took, a.expected)
	}
	a.observeWork(now, result)
	a.recordHealth(now, result)
}
