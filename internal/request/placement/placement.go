// Package placement picks the server for each request from the estimated load of all servers.
//
// Several router instances send requests to the same servers. Load reports of the servers are outdated when they arrive, and
// many instances would act on the same report at once. The balancer therefore ignores them: it counts the requests that this
// instance has sent, and adds what its peers report to have sent. At load-aware services, it also weighs the speed of each server
// (figures.go), the servers' reports correct the load within limits (estimate.go), and the choice allows for the error of the
// estimates (choose.go).
package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"vanillapond/internal/request/servermodel"
	"vanillapond/pkg/ident"
)

// Candidate is a server that accepts new requests.
type Candidate struct {
	// ServerStart is which start of the server this is. If it changes, the server has restarted, and its speed is estimated anew.
	ident.ServerStart
	Domain ident.FailureDomain
	// SameDomain reports whether the server is in the router instance's own failure domain.
	SameDomain bool
	// Slots is the number of requests that the server processes concurrently.
	Slots int
	// KVCapacity is the capacity of the engine's KV cache in tokens; 0 for a server that is not an inference engine.
	KVCapacity ident.Tokens
}

// Part is a part of a prompt; PrefixHash is a hash of it and of all parts before it.
type Part struct {
	PrefixHash uint64
	Tokens     ident.Tokens
}

// Query describes a request.
type Query struct {
	// Engine reports whether the request goes to an inference engine. PriorityLevel, Prompt, Output and Parts are set only
	// then.
	Engine        bool
	PriorityLevel PriorityLevel
	// Prompt is the length of the prompt, and Output the expected length of the output.
	Prompt ident.Tokens
	Output ident.Tokens
	// Parts are the leading parts of the prompt that other requests may share, in order; the last part of the prompt, which
	// only this request has, is left out.
	Parts []Part
	// Objective is the service level objective for the time to the first event, counted from now.
	Objective time.Duration
	// MaxPause is the service level objective for the longest pause between events; 0 means none.
	MaxPause time.Duration
	// Remaining is the time left for the whole response; 0 means that there is no limit.
	Remaining time.Duration
	// FirstWithin is the time after which the caller has no use for a first event; 0 means that every engine is compared, also those that take longer.
	FirstWithin time.Duration
	// Avoid holds the servers that the request was already sent to.
	Avoid []ident.Endpoint
	// MayRunTwice reports whether the request may be sent to a second server after one that may have run it, and AfterError whether a server that it
	// was sent to answered with an error.
	MayRunTwice, AfterError bool
	// Exclude holds the servers that must not get the request now for other reasons.
	Exclude []ident.Endpoint
	// Later holds those of Exclude that take the request later.
	Later []ident.Endpoint
}

// Choice is the server picked for a request, with the estimates that led to it.
type Choice struct {
	Server ident.Endpoint
	// TimeToFirstEvent is the expected time to the first event.
	TimeToFirstEvent time.Duration
	// QueueDelay is the time in which the server prefills the prompts that are ahead of this one and those that will overtake it, with the error of such
	// estimates lately.
	QueueDelay time.Duration
	// Work is the expected work of the request at the server, from its start.
	Work Work
	// Cost is the cost of the server, the lowest of all candidates. Costs are relative to the value of a request: a cost of 1
	// equals the value of a request that meets its objective.
	Cost float64
	// Load is the server's estimated load from all router instances.
	Load Load
	// Uncached is the estimated number of prompt tokens that the server has to prefill.
	Uncached ident.Tokens
	// Usable is the number of servers that were compared, and Free how many of them have at least half of their slots free.
	Usable, Free int
	// Reserved reports whether the server is reserved for latency-sensitive streams.
	Reserved bool
	// Unproven counts the servers that were left out because no request has succeeded there since a connection broke or was refused. It is set only
	// if no server was found.
	Unproven int
	// Trial reports whether the request tries an ejected server.
	Trial bool
	// FailedAt is when a connection to the server last broke or was refused at any instance that shares it; connections from before must not be used.
	FailedAt time.Time
	// FigureAge is the age of the newest figure from elsewhere about the server's load; 0 without one and at services that are not load-aware.
	FigureAge time.Duration
	// Balance is a sample of how evenly the load is spread.
	Balance Balance
}

// Balancer tracks the load of the servers of one service and picks one of them for each request.
//
// It does no I/O and reads no clock: the caller passes the time. It is safe for concurrent use.
type Balancer struct {
	mu sync.Mutex
	// generation is the generation of members, to detect changes of the caller's list; guarded by mu.
	generation Generation
	// members are the servers that accept new requests, in an order that is the same at all router instances; guarded by mu.
	members []*server
	servers map[ident.Endpoint]*server
	peers   map[ident.Process]peerReport
	speed   prefillSpeed
	work    workTimes
	// arrivals is what this instance has sent lately; guarded by mu.
	arrivals arrivals
	// delays are the errors of expected delays, by level; guarded by mu.
	delays [PriorityLevels]delayError
	// settings are those of the service; guarded by mu.
	settings Settings
	// model estimates the speed of the servers of a load-aware engine service, nil at others; guarded by mu.
	model       *servermodel.Model
	reservation reservation
	// shared is the health of the servers by the results of all instances, used if settings.SharedHealth is set. Guarded by mu.
	shared    *healthTracker
	estimates estimates
	cache     prefixCache
	random    *rand.Rand
	// eligible holds the servers that the current Pick compares; its memory is reused. Guarded by mu.
	eligible []*server
}

// Generation identifies a list of candidates; lists with equal generations are equal.
type Generation struct {
	Servers uint64
	Version ident.Version
}

// server is the state of one server.
type server struct {
	Candidate
	// hash is the hash of the server's id. All router instances sort the servers by it and use it for rendezvous hashing.
	hash uint64
	// local is the load that this router instance has sent.
	local Load
	// remote is the sum of the loads that peers report.
	remote Load
	health health
	// evidence is what the estimate of the load of a load-aware service is made of.
	evidence loadEvidence
	// attempts are this instance's requests in flight at the server.
	attempts map[*Attempt]struct{}
	// speed is the server's state in the balancer's model, nil without one.
	speed *servermodel.Server

	// The following fields are valid during one call of Pick.

	// load is the estimated load from all router instances.
	load Load
	// figures are the server's estimated speed.
	figures figures
	// preference is the server's index among the preferred engines of the request's prefix, or preferredCount for others.
	preference int
	// reserved reports whether the server is reserved for latency-sensitive streams.
	reserved bool
	// cachedParts counts the leading prompt parts that were recently sent to the server, and cachedTokens their tokens.
	cachedParts  int
	cachedTokens ident.Tokens
}

// New returns a balancer without servers. The seed makes its random choices reproducible.
func New(seed uint64) *Balancer {
	return &Balancer{
		servers: make(map[ident.Endpoint]*server), peers: make(map[ident.Process]peerReport),
		speed: newPrefillSpeed(), cache: make(prefixCache),
		random: rand.New(rand.NewPCG(seed, seed)), //nolint:gosec // A seeded choice is wanted.
	}
}

func (b *Balancer) server(id ident.Endpoint) *server {
	found := b.servers[id]
	if found == nil {
		found = &server{
			Candidate: Candidate{ServerStart: ident.ServerStart{ID: id}}, hash: xxhash.Sum64String(string(id)), attempts: make(map[*Attempt]struct{}),
		}
		b.servers[id] = found
	}
	return found
}

// Update sets the servers that accept new requests. It calls list only if the generation has changed.
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
		b.trackSpeed(known)
		b.members = append(b.members, known)
		present[candidate.ID] = true
	}
	slices.SortFunc(b.members, func(a, b *server) int { return cmp.Compare(a.hash, b.hash) })
	for id, known := range b.servers {
		if !present[id] && len(known.attempts) == 0 {
			b.cache.removeServer(known)
			b.forgetSpeed(known)
			if b.settings.LoadAware && known.remote != (Load{}) {
				continue // The peers' next reports subtract this load; from a server that has returned in between, they would subtract it in vain.
			}
			delete(b.servers, id)
		}
	}
}

// Pick returns the server of lowest cost for a request, or false if there is none. When the request is sent, the caller
// must call StartAttempt.
func (b *Balancer) Pick(now time.Time, query Query) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expirePeers(now)
	isTrial := false
	if b.sharesHealth() && !query.Engine {
		isTrial = b.collectByHealth(now, query)
	} else {
		b.collectEligible(now, query)
	}
	if len(b.eligible) == 0 {
		return Choice{Unproven: b.countUnproven(query)}, false
	}
	if query.Engine {
		arriving := b.speed.latencySensitive(query.MaxPause)
		if b.settings.LoadAware {
			b.reservation.markByCapacity(now, b.eligible, arriving, b.settings)
		} else {
			b.reservation.mark(now, b.eligible, arriving, &b.speed)
		}
		markPreferred(query.Parts, b.eligible)
		b.cache.markCached(now, query.Parts)
	}
	if query.Engine && query.FirstWithin > 0 {
		b.keepInTime(now, query)
	}
	chosen, cost := b.choose(now, query)
	choice := Choice{
		Server: chosen.ID, Cost: cost, Load: chosen.load, Reserved: chosen.reserved, Usable: len(b.eligible), Free: b.countFree(),
		Trial: isTrial, FailedAt: b.failedAt(chosen, query),
	}
	if query.Engine {
		choice.Uncached = chosen.uncachedTokens(query, sharedTokens(query.Parts))
		overtaking := b.overtaking(now, query.PriorityLevel)
		choice.Work = b.workAt(&chosen.figures, choice.Uncached, query.Output)
		choice.TimeToFirstEvent = chosen.aheadTime(query.PriorityLevel, overtaking) + choice.Work.ToFirst
		choice.QueueDelay = b.queueDelay(chosen, query.PriorityLevel, overtaking, choice.Work.ToFirst)
	}
	if b.settings.LoadAware {
		choice.FigureAge, choice.Balance = b.figureAge(now, chosen), b.sampleBalance(now)
	}
	return choice, true
}

// cheapest returns the eligible server of lowest cost, a random one on ties.
func (b *Balancer) cheapest(now time.Time, query Query) (*server, float64) {
	costOf := plainCost
	if query.Engine {
		costOf = b.engineCost(query)
	}
	var best *server
	least, ties := 0.0, 0
	for _, candidate := range b.eligible {
		cost := costOf(candidate) + b.healthPenalty(now, candidate, query)
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

// countFree counts the eligible servers with at least half of their slots free.
func (b *Balancer) countFree() int {
	count := 0
	for _, candidate := range b.eligible {
		if 2*candidate.load.Active <= candidate.Slots {
			count++
		}
	}
	return count
}

// collectEligible sets eligible to the members that are neither in query.Avoid, nor in query.Exclude, nor ejected. If all other members
// are ejected, it sets eligible to these. It leaves out failing servers while a healthy one takes the request later.
func (b *Balancer) collectEligible(now time.Time, query Query) {
	b.eligible = b.eligible[:0]
	reportAge := b.meanReportAge(now)
	canWait := b.hasHealthy(now, query.Later)
	for _, ejected := range []bool{false, true} {
		for _, candidate := range b.members {
			if candidate.health.ejected(now) != ejected || slices.Contains(query.Avoid, candidate.ID) ||
				slices.Contains(query.Exclude, candidate.ID) || canWait && candidate.isFailing(now) {
				continue
			}
			b.estimate(now, candidate, reportAge)
			candidate.preference, candidate.reserved, candidate.cachedParts, candidate.cachedTokens = preferredCount, false, 0, 0
			b.eligible = append(b.eligible, candidate)
		}
		if len(b.eligible) > 0 {
			return
		}
	}
}

// hasHealthy reports whether one of the servers is a member that is neither ejected nor failing.
func (b *Balancer) hasHealthy(now time.Time, ids []ident.Endpoint) bool {
	return len(ids) > 0 && slices.ContainsFunc(b.members, func(member *server) bool {
		return slices.Contains(ids, member.ID) && !member.health.ejected(now) && !member.isFailing(now)
	})
}
