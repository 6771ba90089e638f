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
	members     []*server
	servers     map[ident.Endpoint]*server
	peers       map[ident.Process]peer
	speed       prefillSpeed
	reservation reservation
	cache       prefixCache
	random      *rand.Rand
	// eligible is the memory of the last pick; guarded by mu.
	eligible []*server
}

// Generation names a list of candidates; a list with the same name is the same.
type Generation struct {
	Servers uint64
	Version ident.Version
}

// server is what is known of one server.
type server struct {
	Candidate
	// hash ranks the server, alike at all entries.
	hash  uint64
	local Load
	// remote is the sum of what peers tell.
	remote Load
	health health
	// attempts are the entry's own requests at the server.
	attempts map[*Attempt]struct{}

	// The following hold while one request is placed.

	// load is of all entries.
	load Load
	// preference is the server's place for the request's shared parts: 0 is where all entries expect them.
	preference int
	// reserved says that the server is kept for streams with short pauses.
	reserved bool
	// cachedParts counts the request's first parts that were sent there lately, and held their tokens.
	cachedParts  int
	cachedTokens ident.Tokens
}

// New returns a board that knows nothing; the seed makes its draws repeatable.
func New(seed uint64) *Balancer {
	return &Balancer{
		servers: make(map[ident.Endpoint]*server), peers: make(map[ident.Process]peer),
		speed: newPrefillSpeed(), cache: make(prefixCache),
		random: rand.New(rand.NewPCG(seed, seed)), //nolint:gosec // A seeded choice is wanted.
	}
}

func (b *Balancer) server(id ident.Endpoint) *server {
	found := b.servers[id]
	if found == nil {
		found = &server{
			Candidate: Candidate{ID: id}, hash: xxhash.Sum64String(string(id)), attempts: make(map[*Attempt]struct{}),
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
	slices.SortFunc(b.members, func(a, b *server) int { return cmp.Compare(a.hash, b.hash) })
	for id, known := range b.servers {
		if !present[id] && len(known.attempts) == 0 {
			delete(b.servers, id)
			b.cache.removeServer(known)
		}
	}
}

// Pick returns the best server for a request, or false where there is none; a ticket must be taken for what is sent.
func (b *Balancer) Pick(now time.Time, query Query) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expirePeers(now)
	b.collectEligible(now, query)
	if len(b.eligible) == 0 {
		return Choice{}, false
	}
	if query.Engine {
		b.reservation.mark(now, b.eligible, b.speed.latencySensitive(query.MaxPause), &b.speed)
		markPreferred(query.Parts, b.eligible)
		b.cache.markCached(now, query.Parts)
	}
	chosen, cost := b.cheapest(now, query)
	choice := Choice{Server: chosen.ID, Cost: cost, Load: chosen.load, Reserved: chosen.reserved, Usable: len(b.eligible), Free: b.countFree()}
	if query.Engine {
		choice.Uncached = chosen.uncachedTokens(query, sharedTokens(query.Parts))
		choice.QueueDelay = b.speed.prefillTime(chosen.load.Prefill.upTo(query.PriorityLevel))
		choice.TimeToFirstEvent = choice.QueueDelay + b.speed.prefillTime(choice.Uncached) + b.speed.base()
	}
	return choice, true
}

// cheapest returns the option of least cost, a random one of several.
func (b *Balancer) cheapest(now time.Time, query Query) (*server, float64) {
	costOf := plainCost
	if query.Engine {
		costOf = b.engineCost(query)
	}
	var best *server
	least, ties := 0.0, 0
	for _, candidate := range b.eligible {
		cost := costOf(candidate) + candidate.penalty(now)
		switch {
		case best == nil || cost < least:
			best, least, ties = candidate, cost, 1
		case cost == least:
			if ties++; b.random.IntN(ties) == 0 {
				best = candidate
			}
		}
	}
	return best, least
}

// countFree counts the options that have half of their slots free or more.
func (b *Balancer) countFree() int {
	count := 0
	for _, candidate := range b.eligible {
		if 2*candidate.load.Active <= candidate.Slots {
			count++
		}
	}
	return count
}

// collectEligible sets options to the members that are neither avoided nor out; where all are out, to those that are not avoided.
func (b *Balancer) collectEligible(now time.Time, query Query) {
	b.eligible = b.eligible[:0]
	prefilled := b.prefilledSince(now)
	for _, ejected := range []bool{false, true} {
		for _, candidate := range b.members {
			if candidate.health.ejected(now) != ejected || slices.Contains(query.Avoid, candidate.ID) {
				continue
			}
			candidate.load = candidate.remote
			candidate.load.Prefill.drain(prefilled)
			candidate.load.add(candidate.local)
			candidate.preference, candidate.reserved, candidate.cachedParts, candidate.cachedTokens = preferredCount, false, 0, 0
			b.eligible = append(b.eligible, candidate)
		}
		if len(b.eligible) > 0 {
			return
		}
	}
}
