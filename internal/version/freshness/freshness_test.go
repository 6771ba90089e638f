package freshness_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/clock"
	"vanillapond/internal/version/freshness"
	"vanillapond/pkg/ident"
)

var firstSeed = flag.Uint64("first-seed", 0, "first seed of TestPartitions; 0 means any")

// Parameters of the simulation.
const (
	step = 100 * time.Millisecond
	// pollSteps, querySteps and listSteps are the intervals of table reads, query rounds and list updates, in steps.
	pollSteps  = 10
	querySteps = 5
	listSteps  = 30
	maxListLag = listSteps * step
	// revocationBound is the time within which a withdrawn key is refused by every entry.
	revocationBound = 5 * time.Second
)

// entry is one simulated process.
type entry struct {
	peer    freshness.Peer
	tracker *freshness.Tracker
	version int
	alive   bool
	// listed reports whether the process was on the platform's list for a full interval between two reads of the list by
	// the others; inLastList, whether it was on the last one.
	listed, inLastList bool
}

// cluster simulates a set of entries, a table, and failures of the network between them.
type cluster struct {
	random  *rand.Rand
	entries []*entry
	tick    int
	// tableDown marks the entries that can't reach the table; disconnected holds pairs of entries that can't reach each other.
	tableDown    []bool
	disconnected map[[2]int]bool
	// head is the table's current version; accepted holds the tick at which each version was accepted.
	head     int
	accepted []int
	// listed is the platform's list, which lags behind the actual state.
	listed []freshness.Peer
}

func newCluster(seed uint64, domains, each int) *cluster {
	c := &cluster{random: rand.New(rand.NewPCG(seed, 1)), accepted: []int{0}, disconnected: make(map[[2]int]bool)}
	for domain := range domains {
		for range each {
			name := fmt.Sprintf("e%02d", len(c.entries))
			c.entries = append(c.entries, &entry{peer: freshness.Peer{
				Address: name, Name: name, Domain: ident.FailureDomain(fmt.Sprintf("d%d", domain)),
			}})
		}
	}
	c.tableDown = make([]bool, len(c.entries))
	c.tick = 10
	for index := range c.entries {
		c.start(index)
	}
	c.updateList()
	return c
}

func (c *cluster) now() clock.Reading { return clock.Reading(time.Duration(c.tick) * step) }

// start starts an entry without state.
func (c *cluster) start(index int) {
	e := c.entries[index]
	e.tracker = freshness.New(freshness.Config{Address: e.peer.Address, Domain: e.peer.Domain, MaxListLag: maxListLag})
	e.tracker.SetPeers(c.now(), c.listed)
	e.version, e.alive, e.listed, e.inLastList = 0, true, false, false
}

// updateList brings the platform's list up to date and passes it to the entries.
func (c *cluster) updateList() {
	c.listed = nil
	for _, e := range c.entries {
		if e.alive {
			c.listed = append(c.listed, e.peer)
			e.listed, e.inLastList = e.inLastList, true
		}
	}
	for _, e := range c.entries {
		if e.alive {
			e.tracker.SetPeers(c.now(), c.listed)
		}
	}
}

func (c *cluster) reachable(from, to int) bool {
	return c.entries[to].alive && !c.disconnected[[2]int{min(from, to), max(from, to)}]
}

func (c *cluster) indexOf(address string) int {
	for index, e := range c.entries {
		if e.peer.Address == address {
			return index
		}
	}
	return -1
}

// queryPeers lets an entry query its peers; the responses arrive one step after the query was begun.
func (c *cluster) queryPeers(index int) {
	e := c.entries[index]
	sent := c.now() - clock.Reading(step)
	for _, peer := range e.tracker.PeersToQuery(c.now()) {
		to := c.indexOf(peer.Address)
		if !c.reachable(index, to) {
			e.tracker.ObserveFailure(peer)
			continue
		}
		other := c.entries[to]
		other.tracker.ObserveQuery(c.now(), e.peer)
		evidence := other.tracker.Evidence(c.now())
		e.version = max(e.version, other.version)
		e.tracker.ObserveResponse(sent, peer, evidence)
	}
}

// acceptPatch lets an entry that reaches the table accept a patch and propagate it to the entries that it reaches.
func (c *cluster) acceptPatch(index int) {
	if e := c.entries[index]; !e.alive || !e.listed || c.tableDown[index] {
		return
	}
	c.head++
	c.accepted = append(c.accepted, c.tick)
	for to, e := range c.entries {
		if to == index || c.reachable(index, to) {
			e.version = c.head
		}
	}
}

// advance simulates one step.
func (c *cluster) advance() {
	c.tick++
	for index, e := range c.entries {
		if !e.alive {
			continue
		}
		if (c.tick+index)%pollSteps == 0 {
			e.tracker.ObserveTableRead(c.now() - clock.Reading(step))
		}
		if (c.tick+index)%pollSteps == 0 && !c.tableDown[index] {
			e.version = c.head
			e.tracker.ObserveTable(c.now() - clock.Reading(step))
		}
		if (c.tick+index)%querySteps == 0 {
			c.queryPeers(index)
		}
	}
	if c.tick%listSteps == 0 {
		c.updateList()
	}
}

// injectFault injects or heals a random fault. In a partition, the two sides can't reach each other, and one of them
// can't reach the table.
func (c *cluster) injectFault() {
	count := len(c.entries)
	switch c.random.IntN(6) {
	case 0: // a network partition, with the table on one side
		side := c.random.Perm(count)[:c.random.IntN(count)]
		onSide := make(map[int]bool)
		for _, index := range side {
			onSide[index] = true
		}
		clear(c.disconnected)
		for a := range count {
			c.tableDown[a] = onSide[a]
			for b := a + 1; b < count; b++ {
				if onSide[a] != onSide[b] {
					c.disconnected[[2]int{a, b}] = true
				}
			}
		}
	case 1: // failures of single connections between entries
		for range count {
			c.disconnected[[2]int{c.random.IntN(count), c.random.IntN(count)}] = true
		}
	case 2: // the table unavailable to all entries, or to random ones
		all := c.random.IntN(2) == 0
		for index := range c.tableDown {
			c.tableDown[index] = all || c.random.IntN(2) == 0
		}
	case 3:
		c.heal()
	case 4: // a crash, which the list shows later
		c.entries[c.random.IntN(count)].alive = false
	case 5: // a restart of a crashed process that reaches the table
		index := c.random.IntN(count)
		if !c.entries[index].alive && !c.tableDown[index] {
			c.start(index)
		}
	}
}

func (c *cluster) heal() {
	clear(c.disconnected)
	clear(c.tableDown)
}

// newestVersion returns the greatest version that a live entry holds.
func (c *cluster) newestVersion() int {
	held := 0
	for _, e := range c.entries {
		if e.alive {
			held = max(held, e.version)
		}
	}
	return held
}

// check returns an error if an entry accepts keys by a configuration that is older than allowed.
//
// While no live entry holds a version, because every entry that held it has crashed, it can be read only from the table.
// The bound then counts from when an entry has read it there.
func (c *cluster) check() error {
	newest := c.newestVersion()
	for version := newest + 1; version <= c.head; version++ {
		c.accepted[version] = c.tick
	}
	for _, e := range c.entries {
		if !e.alive || !e.tracker.Open(c.now()) || e.version >= newest {
			continue
		}
		age := time.Duration(c.tick-c.accepted[e.version+1]) * step
		if age > revocationBound {
			return fmt.Errorf("tick %d: %s accepts keys by version %d, %s after version %d was accepted", c.tick, e.peer.Name, e.version, age, e.version+1)
		}
	}
	return nil
}

// TestPartitions checks that no key is accepted later than the revocation bound after its withdrawal, under random
// faults.
func TestPartitions(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const clusters, ticks = 100, 1500
	first := *firstSeed
	if first == 0 {
		first = rand.Uint64N(1 << 32)
	}
	t.Logf("seeds from %d: reproduce with -first-seed", first)
	open, total := 0, 0
	for seed := first; seed < first+clusters; seed++ {
		c := newCluster(seed, 1+int(seed%3), 2+int(seed%2))
		for range ticks {
			if c.random.IntN(25) == 0 {
				c.injectFault()
			}
			if c.random.IntN(20) == 0 {
				c.acceptPatch(c.random.IntN(len(c.entries)))
			}
			c.advance()
			if err := c.check(); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			for _, e := range c.entries {
				if e.alive {
					total++
					if e.tracker.Open(c.now()) {
						open++
					}
				}
			}
		}
	}
	t.Logf("entries accepted keys in %d of %d observations", open, total)
	is.True(open > 0)
}

func (c *cluster) run(ticks int) {
	for range ticks {
		c.advance()
	}
}

// countOpen counts the entries that accept keys.
func (c *cluster) countOpen() int {
	count := 0
	for _, e := range c.entries {
		if e.alive && e.tracker.Open(c.now()) {
			count++
		}
	}
	return count
}

// TestFaults checks how many entries accept keys during and after single faults.
func TestFaults(t *testing.T) {
	t.Parallel()
	const second = 10
	for name, test := range map[string]struct {
		fault func(c *cluster)
		// open is how many of the six entries accept keys ten seconds after the fault.
		open int
	}{
		"no fault":                                    {func(*cluster) {}, 6},
		"table unavailable to all":                    {func(c *cluster) { setAll(c.tableDown) }, 6},
		"one without table":                           {func(c *cluster) { c.tableDown[0] = true }, 6},
		"all but one without table":                   {func(c *cluster) { setAll(c.tableDown[1:]) }, 6},
		"one without table and peers":                 {func(c *cluster) { c.tableDown[0] = true; c.isolate(0) }, 5},
		"one without peers":                           {func(c *cluster) { c.isolate(0) }, 6},
		"table unavailable, one unreachable":          {func(c *cluster) { setAll(c.tableDown); c.isolate(0) }, 0},
		"table unavailable, one crashed and unlisted": {func(c *cluster) { setAll(c.tableDown); c.entries[0].alive = false }, 5},
		"table unavailable, one restarted": {func(c *cluster) {
			setAll(c.tableDown)
			c.start(0)
		}, 6},
		"two of three domains without table and partitioned from the third": {func(c *cluster) {
			for index := range 4 {
				c.tableDown[index] = true
				c.disconnected[[2]int{index, 4}] = true
				c.disconnected[[2]int{index, 5}] = true
			}
		}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCluster(1, 3, 2)
			c.run(3 * second)
			is.Equal(c.countOpen(), 6)
			test.fault(c)
			c.run(10 * second)
			is.Equal(c.countOpen(), test.open)
			c.heal()
			c.run(5 * second)
			is.True(c.countOpen() >= 5) // all live entries accept keys again
		})
	}
}

func setAll(flags []bool) {
	for index := range flags {
		flags[index] = true
	}
}

func (c *cluster) isolate(index int) {
	for other := range c.entries {
		c.disconnected[[2]int{min(index, other), max(index, other)}] = true
	}
}

// TestTableOutageKeepsEntriesOpen checks that every entry accepts keys at each step while the table becomes unavailable
// and recovers.
func TestTableOutageKeepsEntriesOpen(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(1, 3, 4)
	c.run(30)
	setAll(c.tableDown)
	for range 600 {
		c.advance()
		is.Equal(c.countOpen(), 12)
	}
	c.heal()
	for range 100 {
		c.advance()
		is.Equal(c.countOpen(), 12)
	}
}
