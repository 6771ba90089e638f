// Package placement picks the server for a request by what is known of all servers' work.
//
// A Board is a pure state machine: the caller gives the time. It is safe for concurrent use.
//
// Load pattern: several entries send to the same servers. Reports of load are old when they arrive and many read the
// same ones, so the board counts what this entry has sent itself, adds what peers say that they have sent, and leaves
// reports out.
package placement

import (
	"math/rand/v2"
	"sync"
	"time"

	"vanillapond/pkg/ident"
)

// Work is what requests in flight ask of a server.
type Work struct {
	// Active counts the requests that were sent and have not ended.
	Active int `cbor:"1,keyasint,omitempty"`
	// Prefill is the prompt tokens to be read before the requests without a first event can start.
	Prefill ident.Tokens `cbor:"2,keyasint,omitempty"`
	// Memory is the tokens that the requests will hold at their end.
	Memory ident.Tokens `cbor:"3,keyasint,omitempty"`
	// Paced counts the streams that a long prompt beside them would make late.
	Paced int `cbor:"4,keyasint,omitempty"`
}

func (w *Work) add(other Work) {
	w.Active += other.Active
	w.Prefill += other.Prefill
	w.Memory += other.Memory
	w.Paced += other.Paced
}

// Candidate is a server that takes new work.
type Candidate struct {
	ID ident.Endpoint
	// Near says that the server is in the entry's own failure domain.
	Near bool
	// Slots is how many requests the server works on at a time.
	Slots int
	// Memory is the engine's memory in tokens; 0 for a plain server.
	Memory ident.Tokens
}

// Part is a part of a prompt; Chain is a digest of it and of all parts before it.
type Part struct {
	Chain  uint64
	Tokens ident.Tokens
}

// Query is what is known of a request.
type Query struct {
	// Engine says that the request generates, so that the following fields hold.
	Engine bool
	// Prompt and Output are the tokens to be read and the tokens that are expected.
	Prompt ident.Tokens
	Output ident.Tokens
	// Parts are what the prompt may share with others, in order, without the part of its own.
	Parts []Part
	// Objective is when the first event is due, from now.
	Objective time.Duration
	// MaxPause is the longest pause between events that is on time; 0 where none is stated.
	MaxPause time.Duration
	// Avoid holds servers that had the request before.
	Avoid []ident.Endpoint
}

// Choice is where a request goes and why.
type Choice struct {
	Server ident.Endpoint
	// Wait is the expected time to the first event.
	Wait time.Duration
	// Cost is the score that was least, in milliseconds.
	Cost float64
	// Work is what was known of the server's work, of all entries.
	Work Work
	// Uncached is how many tokens of the prompt the server has to read.
	Uncached ident.Tokens
	// Usable is how many servers were weighed.
	Usable int
}

// Board knows the work of the servers of one service.
type Board struct {
	mu      sync.Mutex
	servers map[ident.Endpoint]*server
	peers   map[ident.Process]peer
	speed   speed
	random  *rand.Rand
}

// peer is what another entry has told of its own work.
type peer struct {
	at   time.Time
	work map[ident.Endpoint]Work
}

// server is what is known of one server.
type server struct {
	own    Work
	cache  prefixes
	health health
	// tickets are the entry's own requests at the server.
	tickets map[*Ticket]struct{}
}

// New returns a board that knows nothing; the seed makes its draws repeatable.
func New(seed uint64) *Board {
	return &Board{
		servers: make(map[ident.Endpoint]*server), peers: make(map[ident.Process]peer),
		speed:  newSpeed(),
		random: rand.New(rand.NewPCG(seed, seed)), //nolint:gosec // A seeded choice is wanted.
	}
}

func (b *Board) server(id ident.Endpoint) *server {
	found := b.servers[id]
	if found == nil {
		found = &server{tickets: make(map[*Ticket]struct{})}
		b.servers[id] = found
	}
	return found
}

// Keep forgets all servers but those given.
func (b *Board) Keep(ids map[ident.Endpoint]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, server := range b.servers {
		if !ids[id] && len(server.tickets) == 0 {
			delete(b.servers, id)
		}
	}
}

// peerTrust is how long a peer's figures count: about the time in which most of its requests have ended.
const peerTrust = 3 * time.Second

// Hear takes over what a peer says of its own work.
func (b *Board) Hear(now time.Time, from ident.Process, work map[ident.Endpoint]Work) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers[from] = peer{at: now, work: work}
	for process, known := range b.peers {
		if now.Sub(known.at) > peerTrust {
			delete(b.peers, process)
		}
	}
}

// Own returns the entry's own work by server, without idle ones.
func (b *Board) Own() map[ident.Endpoint]Work {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := make(map[ident.Endpoint]Work)
	for id, server := range b.servers {
		if server.own != (Work{}) {
			own[id] = server.own
		}
	}
	return own
}

// work returns the work at a server of all entries.
func (b *Board) work(now time.Time, id ident.Endpoint) Work {
	total := b.server(id).own
	for _, known := range b.peers {
		if now.Sub(known.at) <= peerTrust {
			total.add(known.work[id])
		}
	}
	return total
}

// Pick returns the best server for a request, or false where there is none; a ticket must be taken for what is sent.
func (b *Board) Pick(now time.Time, query Query, candidates []Candidate) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	usable := b.usable(now, query, candidates)
	var best Choice
	found, ties := false, 0
	for _, candidate := range usable {
		choice := b.weigh(now, query, candidate)
		switch {
		case !found || choice.Cost < best.Cost:
			best, found, ties = choice, true, 1
		case choice.Cost == best.Cost:
			if ties++; b.random.IntN(ties) == 0 {
				best = choice
			}
		}
	}
	best.Usable = len(usable)
	return best, found
}

// usable returns the candidates that are not avoided and not out; where all are out, those that are not avoided.
func (b *Board) usable(now time.Time, query Query, candidates []Candidate) []Candidate {
	usable := make([]Candidate, 0, len(candidates))
	var out []Candidate
	for _, candidate := range candidates {
		switch {
		case contains(query.Avoid, candidate.ID):
		case b.server(candidate.ID).health.out(now):
			out = append(out, candidate)
		default:
			usable = append(usable, candidate)
		}
	}
	if len(usable) == 0 {
		return out
	}
	return usable
}

func contains(list []ident.Endpoint, id ident.Endpoint) bool {
	for _, each := range list {
		if each == id {
			return true
		}
	}
	return false
}

// weigh returns what sending the request to a candidate costs.
func (b *Board) weigh(now time.Time, query Query, candidate Candidate) Choice {
	choice := Choice{Server: candidate.ID, Work: b.work(now, candidate.ID)}
	if query.Engine {
		b.weighEngine(now, query, candidate, &choice)
	} else {
		weighPlain(candidate, &choice)
	}
	choice.Cost += b.server(candidate.ID).penalty(now)
	return choice
}

// Ticket is one request at a server; it must be ended.
type Ticket struct {
	board  *Board
	server *server
	work   Work
	sent   time.Time
	// expected is when the first event was to come, after sent.
	expected time.Duration
	// alone says that nothing else was to be read by the server, so that the first event tells its speed.
	alone    bool
	uncached ident.Tokens
	started  bool
	ended    bool
}

// Send notes that a request is sent to the chosen server.
func (b *Board) Send(now time.Time, query Query, choice Choice) *Ticket {
	b.mu.Lock()
	defer b.mu.Unlock()
	server := b.server(choice.Server)
	ticket := &Ticket{
		board: b, server: server, sent: now, expected: choice.Wait, work: Work{Active: 1},
		alone: choice.Work.Prefill == 0, uncached: choice.Uncached,
	}
	if query.Engine {
		ticket.work.Prefill = choice.Uncached
		ticket.work.Memory = query.Prompt + query.Output
		if b.speed.fragile(query.MaxPause) {
			ticket.work.Paced = 1
		}
		server.cache.use(now, query.Parts)
	}
	server.own.add(ticket.work)
	server.tickets[ticket] = struct{}{}
	return ticket
}

// Started notes the first event of the answer.
func (t *Ticket) Started(now time.Time) {
	t.board.mu.Lock()
	defer t.board.mu.Unlock()
	if t.started || t.ended {
		return
	}
	t.started = true
	t.server.own.Prefill -= t.work.Prefill
	t.work.Prefill = 0
	if t.alone {
		t.board.speed.observe(t.uncached, now.Sub(t.sent))
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
	// Full is a refusal for want of room.
	Full
	// Unreachable says that no connection came about.
	Unreachable
)

// End forgets the request; further calls have no effect.
func (t *Ticket) End(now time.Time, result Result) {
	t.board.mu.Lock()
	defer t.board.mu.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	delete(t.server.tickets, t)
	t.server.own.add(Work{Active: -t.work.Active, Prefill: -t.work.Prefill, Memory: -t.work.Memory, Paced: -t.work.Paced})
	t.server.health.note(now, result)
}
