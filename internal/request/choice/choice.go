// Package choice selects the endpoint for a request from the subset of a pool that an entry uses.
//
// An entry is a process that accepts callers' requests. It sends them to the sidecars of endpoints, which report their load.
//
// A Picker has no clock and no lock of its own: the caller passes the current time and serializes calls.
package choice

import (
	"container/list"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"vanillapond/pkg/ident"
)

// DefaultSubsetSize is the number of endpoints in a pool over which one entry spreads its requests.
const DefaultSubsetSize = 24

// LoadReport is an endpoint's load as last reported by its sidecar.
type LoadReport struct {
	// Sequence is different for each report of an endpoint.
	Sequence uint64
	// Busy is the number of requests running or waiting at the endpoint, from all entries.
	Busy int
	// Capacity is the number of requests that the endpoint runs concurrently.
	Capacity int
}

// LoadLookup returns the last load report of an endpoint, or false if the endpoint does not accept requests.
type LoadLookup func(ident.Endpoint) (LoadReport, bool)

// Query describes a request as far as endpoint selection needs it.
type Query struct {
	Class ident.Class
	// Prefix is a digest of the start of the prompt; 0 means none.
	Prefix uint64
	// Streamed reports whether the response is sent in chunks as it is generated; only then do its latencies reflect engine speed.
	Streamed bool
}

// Policy selects endpoints and learns from the outcome of requests.
type Policy interface {
	// Update replaces the members of the pool.
	Update(members []Member)
	// Pick returns an attempt at the selected endpoint, or nil if no endpoint accepts requests.
	// The caller must call End for each attempt.
	Pick(now time.Time, query Query, lookup LoadLookup) *Attempt
	// Accepted records that the endpoint started the request.
	Accepted(now time.Time, attempt *Attempt)
	// ResponseStarted records the arrival of the first chunk of the response.
	ResponseStarted(now time.Time, attempt *Attempt)
	// Progress records the mean interval between the most recent chunks of the response.
	Progress(now time.Time, attempt *Attempt, interval time.Duration)
	// End records the result and releases the attempt.
	End(now time.Time, attempt *Attempt, result Result)
}

// Result is the outcome of a request as far as it reflects on the endpoint.
type Result int

// Results of a request.
const (
	// Neutral says nothing about the endpoint: the request was rejected because of load, or canceled by the caller.
	Neutral Result = iota
	Succeeded
	Failed
)

// Attempt is one request sent to an endpoint.
type Attempt struct {
	// Endpoint is the endpoint that was selected.
	Endpoint ident.Endpoint
	// Rationale explains the selection.
	Rationale          Rationale
	query              Query
	state              *endpointState
	acceptedAt         time.Time
	firstChunkRecorded bool
	// pendingElement is the attempt's element in the list of accepted attempts without a response; nil when not in the list.
	pendingElement *list.Element
}

// Config configures a Picker.
type Config struct {
	Entry ident.Process
	// SubsetSize is the number of endpoints to select from; 0 means DefaultSubsetSize.
	SubsetSize int
	Seed       uint64
}

// Picker selects the endpoint that is likely to have the prompt prefix cached, otherwise the less loaded of two random ones. It
// ejects endpoints that fail or are slow.
type Picker struct {
	config Config
	random *rand.Rand
	// ranked holds all members in the order given by Rank; the first usable ones form the subset.
	ranked           []*endpointState
	endpoints        map[ident.Endpoint]*endpointState
	typicalLatencies map[latencyKey]*median
	// subset holds the endpoints that the last Pick selected from; Pick reuses its memory.
	subset []*endpointState
}

// New returns a picker without members.
func New(config Config) *Picker {
	if config.SubsetSize == 0 {
		config.SubsetSize = DefaultSubsetSize
	}
	return &Picker{
		config:           config,
		random:           rand.New(rand.NewPCG(config.Seed, config.Seed)), //nolint:gosec // Selection must be reproducible from the seed.
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
		rationale.Criterion, rationale.Alternative, rationale.AlternativeLoad =
			ByLoad, alternative.id, alternative.load(now, meanExternal)
	}
	rationale.Load = chosen.load(now, meanExternal)
	chosen.ownRequests++
	return &Attempt{Endpoint: chosen.id, Rationale: rationale, query: query, state: chosen}
}

// refreshSubset fills the subset with the first usable members and applies their load reports.
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

// meanExternalLoad returns the mean load caused by other entries, as a fraction of capacity.
//
// Each endpoint is weighted by the freshness of its load report.
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

// pickByPrefix returns the endpoint that is likely to have the prompt prefix cached.
//
// It returns nil if the request has no prefix, if all endpoints are ejected, or if that endpoint's load is far above the mean.
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

// pickRandom returns a random member of the subset that is not ejected, or any member if all are ejected.
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
