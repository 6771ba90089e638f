// Package choice picks the endpoint for a request from an entry's part of a pool.
//
// A Chooser is a pure state machine: the caller gives the time and holds the lock.
package choice

import (
	"container/list"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"vanillapond/pkg/ident"
)

// DefaultSubsetSize is how many endpoints of a pool an entry spreads its requests over.
const DefaultSubsetSize = 24

// LoadReport is an endpoint's load as its sidecar tells it.
type LoadReport struct {
	// Sequence differs between readings.
	Sequence uint64
	// Busy counts the requests that run or wait at the endpoint, of all entries.
	Busy int
	// Capacity is how many requests run at a time.
	Capacity int
}

// LoadLookup returns the last reading of an endpoint, and false for one that takes no work.
type LoadLookup func(ident.Endpoint) (LoadReport, bool)

// Query is what is known of a request.
type Query struct {
	Class ident.Class
	// Prefix is a digest of the prompt's beginning; 0 means none.
	Prefix uint64
	// Streamed says that the answer's parts come as they are made, so that its times tell the engine's speed.
	Streamed bool
}

// Policy picks endpoints and learns from what became of the requests.
type Policy interface {
	// Update takes over the members of the pool.
	Update(members []Member)
	// Pick returns the endpoint for a request, or nil where none takes work; the caller must End the attempt.
	Pick(now time.Time, query Query, view LoadLookup) *Attempt
	// Accepted notes that the endpoint runs the request.
	Accepted(now time.Time, attempt *Attempt)
	// ResponseStarted notes the first part of the answer.
	ResponseStarted(now time.Time, attempt *Attempt)
	// Progress notes the mean time between the last parts of the answer.
	Progress(now time.Time, attempt *Attempt, between time.Duration)
	// End forgets the request.
	End(now time.Time, attempt *Attempt, result Result)
}

// Result says how a request ended, as far as the endpoint is to blame.
type Result int

// Results of a request.
const (
	// Neutral tells nothing of the endpoint: refused for load, or ended by the caller.
	Neutral Result = iota
	Succeeded
	Failed
)

// Attempt is one request on its way.
type Attempt struct {
	// Endpoint is where the request goes.
	Endpoint ident.Endpoint
	// Rationale say why.
	Rationale          Rationale
	query              Query
	state              *endpointState
	acceptedAt         time.Time
	firstChunkRecorded bool
	// pendingElement is the place among the accepted requests without an answer; nil outside of it.
	pendingElement *list.Element
}

// Config says for whom a chooser picks.
type Config struct {
	Entry ident.Process
	// SubsetSize is how many endpoints are picked from; 0 means DefaultSubset.
	SubsetSize int
	Seed       uint64
}

// Picker picks by live load between two, with affinity for prompt prefixes, and leaves out what fails.
type Picker struct {
	config Config
	random *rand.Rand
	// ranked holds all members; the first usable ones are the subset.
	ranked           []*endpointState
	endpoints        map[ident.Endpoint]*endpointState
	typicalLatencies map[latencyKey]*median
	// subset is the memory of the last pick.
	subset []*endpointState
}

// New returns a chooser without members.
func New(config Config) *Picker {
	if config.SubsetSize == 0 {
		config.SubsetSize = DefaultSubsetSize
	}
	return &Picker{
		config:           config,
		random:           rand.New(rand.NewPCG(config.Seed, config.Seed)), //nolint:gosec // A seeded choice is wanted.
		endpoints:        make(map[ident.Endpoint]*endpointState),
		typicalLatencies: make(map[latencyKey]*median),
	}
}

// Update implements Policy.
func (p *Picker) Update(members []Member) {
	previous := p.endpoints
	p.endpoints = make(map[ident.Endpoint]*endpointState, len(members))
	p.ranked = p.ranked[:0]
	for _, member := range Rank(p.config.Entry, members) {
		state := previous[member.ID]
		if state == nil {
			state = &endpointState{id: member.ID, digest: xxhash.Sum64String(string(member.ID)), relativeLatency: 1}
		}
		p.endpoints[member.ID] = state
		p.ranked = append(p.ranked, state)
	}
}

// Pick implements Policy.
func (p *Picker) Pick(now time.Time, query Query, lookup LoadLookup) *Attempt {
	p.refreshSubset(now, lookup)
	if len(p.subset) == 0 {
		return nil
	}
	p.ejectOutliers(now)
	meanExternal := p.meanExternalLoad(now)
	rationale := Rationale{Usable: len(p.subset), Criterion: ByPrefix}
	chosen := p.pickByPrefix(now, query, meanExternal)
	if chosen == nil {
		first, second := p.pickRandom(now), p.pickRandom(now)
		chosen = lessLoaded(now, first, second, meanExternal)
		alternative := first
		if chosen == first {
			alternative = second
		}
		rationale.Criterion, rationale.Alternative, rationale.AlternativeLoad = ByLoad, alternative.id, alternative.load(now, meanExternal)
	}
	rationale.Load = chosen.load(now, meanExternal)
	chosen.ownRequests++
	return &Attempt{Endpoint: chosen.id, Rationale: rationale, query: query, state: chosen}
}

// refreshSubset takes the first usable members and their readings.
func (p *Picker) refreshSubset(now time.Time, lookup LoadLookup) {
	p.subset = p.subset[:0]
	for _, endpoint := range p.ranked {
		if len(p.subset) == p.config.SubsetSize {
			return
		}
		report, usable := lookup(endpoint.id)
		if !usable {
			continue
		}
		endpoint.applyReport(now, report)
		p.subset = append(p.subset, endpoint)
	}
}

// meanExternalLoad returns the mean load that other entries bring, in shares of the capacity, by the worth of the readings.
func (p *Picker) meanExternalLoad(now time.Time) float64 {
	sum, weight := 0.0, 0.0
	for _, endpoint := range p.subset {
		freshness := endpoint.freshness(now)
		sum += freshness * endpoint.externalLoad()
		weight += freshness
	}
	if weight == 0 {
		return 0
	}
	return sum / weight
}

// pickByPrefix returns the endpoint that likely holds the prefix, unless its load is far above the mean.
func (p *Picker) pickByPrefix(now time.Time, query Query, meanExternal float64) *endpointState {
	if query.Prefix == 0 {
		return nil
	}
	var best *endpointState
	var bestScore uint64
	total := 0.0
	for _, endpoint := range p.subset {
		total += endpoint.load(now, meanExternal)
		if endpoint.isEjected(now) {
			continue
		}
		if score := prefixScore(query.Prefix, endpoint.digest); best == nil || score > bestScore {
			best, bestScore = endpoint, score
		}
	}
	if best == nil || best.load(now, meanExternal) > maxPrefixLoadFactor*total/float64(len(p.subset))+1/best.slots() {
		return nil
	}
	return best
}

// pickRandom returns a random member of the subset that is not ejected, or any where all are.
func (p *Picker) pickRandom(now time.Time) *endpointState {
	start := p.random.IntN(len(p.subset))
	if !p.subset[start].isEjected(now) {
		return p.subset[start]
	}
	available := 0
	var chosen *endpointState
	for _, endpoint := range p.subset {
		if endpoint.isEjected(now) {
			continue
		}
		available++
		if p.random.IntN(available) == 0 {
			chosen = endpoint
		}
	}
	if chosen == nil {
		return p.subset[start]
	}
	return chosen
}

func lessLoaded(now time.Time, a, b *endpointState, meanExternal float64) *endpointState {
	if b.load(now, meanExternal) < a.load(now, meanExternal) {
		return b
	}
	return a
}
