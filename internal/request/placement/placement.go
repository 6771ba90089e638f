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
	"cmp"
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
	// SameDomain says that the server is in the entry's own failure domain.
	SameDomain bool
	// Slots is how many requests the server works on at a time.
	Slots int
	// KVCapacity is the engine's memory in tokens; 0 for a plain server.
	KVCapacity ident.Tokens
}

// Part is a part of a prompt; Chain is a digest of it and of all parts before it.
type Part struct {
	PrefixHash uint64
	Tokens     ident.Tokens
}

// Query is what is known of a request.
type Query struct {
	// Engine says that the request generates, so that the following fields hold.
	Engine        bool
	PriorityLevel PriorityLevel
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
	// TimeToFirstEvent is the expected time to the first event, and Ahead the part of it in which others' prompts are read.
	TimeToFirstEvent time.Duration
	QueueDelay       time.Duration
	// Cost is the least of all servers.
	Cost float64
	// Load is what was known of the server's work, of all entries.
	Load Load
	// Uncached is how many tokens of the prompt the server has to read.
	Uncached ident.Tokens
	// Usable is how many servers were weighed, and Free how many of them have half of their slots free or more.
	Usable, Free int
	// Reserved says that the server is kept for streams with short pauses.
	Reserved bool
}

// Balancer knows the work of the servers of one service.
type Balancer struct {
	mu sync.Mutex
	// generation tells whether the members are still those that the caller knows; guarded by mu.
	generation Generation
	// members are the servers that take new work, in the order that all entries share; guarded by mu.
	members []*server
	servers map[ident.Endpoint]*server
	peers   map[ident.Process]peer
	speed   speed
	quiet   quiet
	cache   prefixes
	random  *rand.Rand
	// options is the memory of the last pick; guarded by mu.
	options []*server
}

// Generation names a list of candidates; a list with the same name is the same.
type Generation struct {
	Servers uint64
	Version ident.Version
}

// server is what is known of one server.
type server struct {
	Candidate
	// digest ranks the server, alike at all entries.
	digest uint64
	own    Load
	// remote is the sum of what peers tell.
	remote Load
	health health
	// tickets are the entry's own requests at the server.
	tickets map[*Attempt]struct{}

	// The following hold while one request is placed.

	// work is of all entries.
	work Load
	// home is the server's place for the request's shared parts: 0 is where all entries expect them.
	home int
	// quiet says that the server is kept for streams with short pauses.
	quiet bool
	// parts counts the request's first parts that were sent there lately, and held their tokens.
	parts int
	held  ident.Tokens
}

// New returns a board that knows nothing; the seed makes its draws repeatable.
func New(seed uint64) *Balancer {
	return &Balancer{
		servers: make(map[ident.Endpoint]*server), peers: make(map[ident.Process]peer),
		speed: newSpeed(), cache: make(prefixes),
		random: rand.New(rand.NewPCG(seed, seed)), //nolint:gosec // A seeded choice is wanted.
	}
}

func (b *Balancer) server(id ident.Endpoint) *server {
	found := b.servers[id]
	if found == nil {
		found = &server{
			Candidate: Candidate{ID: id}, digest: xxhash.Sum64String(string(id)), tickets: make(map[*Attempt]struct{}),
		}
		b.servers[id] = found
	}
	return found
}

// Update takes over the servers that take new work, if they are others than before; list is asked for only then.
func (b *Balancer) Update(generation Generation, list func() []Candidate) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.generation == generation && b.members != nil {
		return
	}
	b.generation = generation
	b.members = make([]*server, 0, len(b.members))
	present := make(map[ident.Endpoint]bool)
	for _, candidate := range list() {
		known := b.server(candidate.ID)
		known.Candidate = candidate
		b.members = append(b.members, known)
		present[candidate.ID] = true
	}
	slices.SortFunc(b.members, func(a, b *server) int { return cmp.Compare(a.digest, b.digest) })
	for id, known := range b.servers {
		if !present[id] && len(known.tickets) == 0 {
			delete(b.servers, id)
			b.cache.forget(known)
		}
	}
}

// Pick returns the best server for a request, or false where there is none; a ticket must be taken for what is sent.
func (b *Balancer) Pick(now time.Time, query Query) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	b.gather(now, query)
	if len(b.options) == 0 {
		return Choice{}, false
	}
	if query.Engine {
		b.quiet.mark(now, b.options, b.speed.fragile(query.MaxPause), &b.speed)
		rankHomes(query.Parts, b.options)
		b.cache.mark(now, query.Parts)
	}
	chosen, cost := b.cheapest(now, query)
	choice := Choice{Server: chosen.ID, Cost: cost, Load: chosen.work, Reserved: chosen.quiet, Usable: len(b.options), Free: b.free()}
	if query.Engine {
		choice.Uncached = chosen.uncached(query, sharedTokens(query.Parts))
		choice.QueueDelay = b.speed.reading(chosen.work.Prefill.upTo(query.PriorityLevel))
		choice.TimeToFirstEvent = choice.QueueDelay + b.speed.reading(choice.Uncached) + b.speed.base()
	}
	return choice, true
}

// cheapest returns the option of least cost, a random one of several.
func (b *Balancer) cheapest(now time.Time, query Query) (*server, float64) {
	weigh := weighPlain
	if query.Engine {
		weigh = b.engineWeigher(query)
	}
	var best *server
	least, ties := 0.0, 0
	for _, each := range b.options {
		cost := weigh(each) + each.penalty(now)
		switch {
		case best == nil || cost < least:
			best, least, ties = each, cost, 1
		case cost == least:
			if ties++; b.random.IntN(ties) == 0 {
				best = each
			}
		}
	}
	return best, least
}

// free counts the options that have half of their slots free or more.
func (b *Balancer) free() int {
	count := 0
	for _, each := range b.options {
		if 2*each.work.Active <= each.Slots {
			count++
		}
	}
	return count
}

// gather sets options to the members that are neither avoided nor out; where all are out, to those that are not avoided.
func (b *Balancer) gather(now time.Time, query Query) {
	b.options = b.options[:0]
	done := b.readSince(now)
	for _, out := range []bool{false, true} {
		for _, each := range b.members {
			if each.health.out(now) != out || slices.Contains(query.Avoid, each.ID) {
				continue
			}
			each.work = each.remote
			each.work.Prefill.drain(done)
			each.work.add(each.own)
			each.home, each.quiet, each.parts, each.held = homes, false, 0, 0
			b.options = append(b.options, each)
		}
		if len(b.options) > 0 {
			return
		}
	}
}
