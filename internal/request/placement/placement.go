// Package placement picks the server for a request by what is known of all servers' work.
//
// A Board is a pure state machine: the caller gives the time. It is safe for concurrent use.
//
// Load pattern: several entries send to the same servers. Reports of load are old when they arrive and many read the
// same ones, so the board counts what this entry has sent itself, adds what peers say that they have sent, and leaves
// reports out.
//
// Costs are in shares of a request's credit: 1 is what a request that is served in time is worth.
package placement

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"vanillapond/pkg/ident"
)

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
	// Cost is the least of all servers.
	Cost float64
	// Work is what was known of the server's work, of all entries.
	Work Work
	// Uncached is how many tokens of the prompt the server has to read.
	Uncached ident.Tokens
	// Usable is how many servers were weighed.
	Usable int
	// Quiet says that the server is kept for streams with short pauses.
	Quiet bool
}

// Board knows the work of the servers of one service.
type Board struct {
	mu      sync.Mutex
	servers map[ident.Endpoint]*server
	peers   map[ident.Process]peer
	speed   speed
	quiet   quiet
	random  *rand.Rand
}

// server is what is known of one server.
type server struct {
	// digest ranks the server, alike at all entries.
	digest uint64
	own    Work
	// remote is the sum of what peers tell.
	remote Work
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
		found = &server{digest: xxhash.Sum64String(string(id)), tickets: make(map[*Ticket]struct{})}
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

// option is a candidate with what is known of it, while one request is placed.
type option struct {
	Candidate
	server *server
	work   Work
	// home is the server's place for the request's shared parts: 0 is where all entries expect them.
	home int
	// quiet says that the server is kept for streams with short pauses.
	quiet bool
}

// Pick returns the best server for a request, or false where there is none; a ticket must be taken for what is sent.
func (b *Board) Pick(now time.Time, query Query, candidates []Candidate) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	options := b.options(now, query, candidates)
	if len(options) == 0 {
		return Choice{}, false
	}
	if query.Engine {
		arriving := 0
		if b.speed.fragile(query.MaxPause) {
			arriving = 1
		}
		b.quiet.mark(now, options, arriving)
		rankHomes(query.Parts, options)
	}
	var best Choice
	ties := 0
	for index := range options {
		choice := b.weigh(now, query, &options[index])
		switch {
		case ties == 0 || choice.Cost < best.Cost:
			best, ties = choice, 1
		case choice.Cost == best.Cost:
			if ties++; b.random.IntN(ties) == 0 {
				best = choice
			}
		}
	}
	best.Usable = len(options)
	return best, true
}

// options returns the candidates that are neither avoided nor out; where all are out, those that are not avoided.
func (b *Board) options(now time.Time, query Query, candidates []Candidate) []option {
	options := make([]option, 0, len(candidates))
	var out []option
	for _, candidate := range candidates {
		if slices.Contains(query.Avoid, candidate.ID) {
			continue
		}
		known := b.server(candidate.ID)
		work := known.own
		work.add(known.remote)
		each := option{Candidate: candidate, server: known, work: work}
		if known.health.out(now) {
			out = append(out, each)
		} else {
			options = append(options, each)
		}
	}
	if len(options) == 0 {
		return out
	}
	return options
}

// weigh returns what sending the request to an option costs.
func (b *Board) weigh(now time.Time, query Query, each *option) Choice {
	choice := Choice{Server: each.ID, Work: each.work, Quiet: each.quiet}
	if query.Engine {
		b.weighEngine(now, query, each, &choice)
	} else {
		weighPlain(each, &choice)
	}
	choice.Cost += each.server.penalty(now)
	return choice
}
