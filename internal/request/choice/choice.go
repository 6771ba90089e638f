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
	Rationale Rationale
	query     Query
	peer      *peer
	accepted  time.Time
	answered  bool
	// element is the place among the accepted requests without an answer; nil outside of it.
	element *list.Element
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
	ranked []*peer
	peers  map[ident.Endpoint]*peer
	paces  map[pace]*median
	// subset is the memory of the last pick.
	subset []*peer
}

// New returns a chooser without members.
func New(config Config) *Picker {
	if config.SubsetSize == 0 {
		config.SubsetSize = DefaultSubsetSize
	}
	return &Picker{
		config: config,
		random: rand.New(rand.NewPCG(config.Seed, config.Seed)), //nolint:gosec // A seeded choice is wanted.
		peers:  make(map[ident.Endpoint]*peer),
		paces:  make(map[pace]*median),
	}
}

// Update implements Policy.
func (c *Picker) Update(members []Member) {
	old := c.peers
	c.peers = make(map[ident.Endpoint]*peer, len(members))
	c.ranked = c.ranked[:0]
	for _, member := range Rank(c.config.Entry, members) {
		known := old[member.ID]
		if known == nil {
			known = &peer{id: member.ID, digest: xxhash.Sum64String(string(member.ID)), slowness: 1}
		}
		c.peers[member.ID] = known
		c.ranked = append(c.ranked, known)
	}
}

// Pick implements Policy.
func (c *Picker) Pick(now time.Time, query Query, view LoadLookup) *Attempt {
	c.gather(now, view)
	if len(c.subset) == 0 {
		return nil
	}
	c.judge(now)
	mean := c.meanOthers(now)
	grounds := Rationale{Usable: len(c.subset), Criterion: ByPrefix}
	chosen := c.preferred(now, query, mean)
	if chosen == nil {
		first, second := c.draw(now), c.draw(now)
		chosen = lighter(now, first, second, mean)
		other := first
		if chosen == first {
			other = second
		}
		grounds.Criterion, grounds.Alternative, grounds.AlternativeLoad = ByLoad, other.id, other.load(now, mean)
	}
	grounds.Load = chosen.load(now, mean)
	chosen.own++
	return &Attempt{Endpoint: chosen.id, Rationale: grounds, query: query, peer: chosen}
}

// gather takes the first usable members and their readings.
func (c *Picker) gather(now time.Time, view LoadLookup) {
	c.subset = c.subset[:0]
	for _, peer := range c.ranked {
		if len(c.subset) == c.config.SubsetSize {
			return
		}
		reading, usable := view(peer.id)
		if !usable {
			continue
		}
		peer.read(now, reading)
		c.subset = append(c.subset, peer)
	}
}

// meanOthers returns the mean load that other entries bring, in shares of the capacity, by the worth of the readings.
func (c *Picker) meanOthers(now time.Time) float64 {
	sum, weight := 0.0, 0.0
	for _, peer := range c.subset {
		worth := peer.worth(now)
		sum += worth * peer.reportedShare()
		weight += worth
	}
	if weight == 0 {
		return 0
	}
	return sum / weight
}

// preferred returns the endpoint that likely holds the prefix, unless its load is far above the mean.
func (c *Picker) preferred(now time.Time, query Query, mean float64) *peer {
	if query.Prefix == 0 {
		return nil
	}
	var best *peer
	var weight uint64
	total := 0.0
	for _, peer := range c.subset {
		total += peer.load(now, mean)
		if peer.out(now) {
			continue
		}
		if value := mix(query.Prefix, peer.digest); best == nil || value > weight {
			best, weight = peer, value
		}
	}
	if best == nil || best.load(now, mean) > boundFactor*total/float64(len(c.subset))+1/best.slots() {
		return nil
	}
	return best
}

// draw returns a random member of the subset that is not ejected, or any where all are.
func (c *Picker) draw(now time.Time) *peer {
	start := c.random.IntN(len(c.subset))
	if !c.subset[start].out(now) {
		return c.subset[start]
	}
	remaining := 0
	var drawn *peer
	for _, peer := range c.subset {
		if peer.out(now) {
			continue
		}
		remaining++
		if c.random.IntN(remaining) == 0 {
			drawn = peer
		}
	}
	if drawn == nil {
		return c.subset[start]
	}
	return drawn
}

func lighter(now time.Time, a, b *peer, mean float64) *peer {
	if b.load(now, mean) < a.load(now, mean) {
		return b
	}
	return a
}
