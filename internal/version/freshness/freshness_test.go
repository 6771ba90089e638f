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

// Times of the model.
const (
	step      = 100 * time.Millisecond
	pollEvery = 10 // steps
	askEvery  = 5  // steps
	listEvery = 30 // steps
	lag       = listEvery * step
	// stopsWithin is when a withdrawn key is refused everywhere at the latest.
	stopsWithin = 5 * time.Second
)

// entry is one process of the model.
type entry struct {
	peer    freshness.Peer
	machine *freshness.Tracker
	version int
	alive   bool
	// listed says that the platform's list showed the process for a whole round of the others' reading it.
	listed, seen bool
}

// world is a set of entries, a table, and what is cut between them.
type world struct {
	random  *rand.Rand
	entries []*entry
	tick    int
	// tableOut cuts an entry from the table; cut holds pairs of entries that don't reach one another.
	tableOut []bool
	cut      map[[2]int]bool
	// head is the table's version; accepted holds the tick at which each version was accepted.
	head     int
	accepted []int
	// listed is the platform's list, which lags behind.
	listed []freshness.Peer
}

func newWorld(seed uint64, domains, each int) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), accepted: []int{0}, cut: make(map[[2]int]bool)}
	for domain := range domains {
		for range each {
			name := fmt.Sprintf("e%02d", len(w.entries))
			w.entries = append(w.entries, &entry{peer: freshness.Peer{
				Address: name, Name: name, Domain: ident.FailureDomain(fmt.Sprintf("d%d", domain)),
			}})
		}
	}
	w.tableOut = make([]bool, len(w.entries))
	w.tick = 10
	for index := range w.entries {
		w.start(index)
	}
	w.list()
	return w
}

func (w *world) now() clock.Reading { return clock.Reading(time.Duration(w.tick) * step) }

// start runs an entry from nothing.
func (w *world) start(index int) {
	e := w.entries[index]
	e.machine = freshness.New(freshness.Config{Address: e.peer.Address, Domain: e.peer.Domain, MaxListLag: lag})
	e.machine.SetPeers(w.now(), w.listed)
	e.version, e.alive, e.listed, e.seen = 0, true, false, false
}

// list lets the platform's list catch up.
func (w *world) list() {
	w.listed = nil
	for _, e := range w.entries {
		if e.alive {
			w.listed = append(w.listed, e.peer)
			e.listed, e.seen = e.seen, true
		}
	}
	for _, e := range w.entries {
		if e.alive {
			e.machine.SetPeers(w.now(), w.listed)
		}
	}
}

func (w *world) reach(from, to int) bool {
	return w.entries[to].alive && !w.cut[[2]int{min(from, to), max(from, to)}]
}

func (w *world) find(address string) int {
	for index, e := range w.entries {
		if e.peer.Address == address {
			return index
		}
	}
	return -1
}

// ask lets an entry ask its peers; the answers come a step later than the question began.
func (w *world) ask(index int) {
	e := w.entries[index]
	sent := w.now() - clock.Reading(step)
	for _, peer := range e.machine.PeersToQuery(w.now()) {
		to := w.find(peer.Address)
		if !w.reach(index, to) {
			e.machine.ObserveFailure(peer)
			continue
		}
		other := w.entries[to]
		other.machine.ObserveQuery(w.now(), e.peer)
		evidence := other.machine.Evidence(w.now())
		e.version = max(e.version, other.version)
		e.machine.ObserveResponse(sent, peer, evidence)
	}
}

// patch lets an entry at the table accept a patch and pass it to whom it reaches.
func (w *world) patch(index int) {
	if e := w.entries[index]; !e.alive || !e.listed || w.tableOut[index] {
		return
	}
	w.head++
	w.accepted = append(w.accepted, w.tick)
	for to, e := range w.entries {
		if to == index || w.reach(index, to) {
			e.version = w.head
		}
	}
}

// advance moves the world one step on.
func (w *world) advance() {
	w.tick++
	for index, e := range w.entries {
		if !e.alive {
			continue
		}
		if (w.tick+index)%pollEvery == 0 {
			e.machine.ObserveTableRead(w.now() - clock.Reading(step))
		}
		if (w.tick+index)%pollEvery == 0 && !w.tableOut[index] {
			e.version = w.head
			e.machine.ObserveTable(w.now() - clock.Reading(step))
		}
		if (w.tick+index)%askEvery == 0 {
			w.ask(index)
		}
	}
	if w.tick%listEvery == 0 {
		w.list()
	}
}

// fault changes the world at random; the table's own health and the cuts go by sides.
func (w *world) fault() {
	count := len(w.entries)
	switch w.random.IntN(6) {
	case 0: // a partition, with the table on one side
		side := w.random.Perm(count)[:w.random.IntN(count)]
		left := make(map[int]bool)
		for _, index := range side {
			left[index] = true
		}
		clear(w.cut)
		for a := range count {
			w.tableOut[a] = left[a]
			for b := a + 1; b < count; b++ {
				if left[a] != left[b] {
					w.cut[[2]int{a, b}] = true
				}
			}
		}
	case 1: // single cuts between entries
		for range count {
			w.cut[[2]int{w.random.IntN(count), w.random.IntN(count)}] = true
		}
	case 2: // the table out for all, or for each by chance
		all := w.random.IntN(2) == 0
		for index := range w.tableOut {
			w.tableOut[index] = all || w.random.IntN(2) == 0
		}
	case 3:
		w.heal()
	case 4: // a crash, seen by the list later
		w.entries[w.random.IntN(count)].alive = false
	case 5: // a new process in a crashed one's place, while the table is up for it
		index := w.random.IntN(count)
		if !w.entries[index].alive && !w.tableOut[index] {
			w.start(index)
		}
	}
}

func (w *world) heal() {
	clear(w.cut)
	clear(w.tableOut)
}

// greatest returns the greatest version that a live entry holds.
func (w *world) greatest() int {
	held := 0
	for _, e := range w.entries {
		if e.alive {
			held = max(held, e.version)
		}
	}
	return held
}

// check returns what is wrong: an entry that takes keys by a configuration older than allowed.
//
// While no live entry holds a version, because all its holders crashed, it can't be known without the table: its
// time counts from when one of them has read it there.
func (w *world) check() error {
	known := w.greatest()
	for version := known + 1; version <= w.head; version++ {
		w.accepted[version] = w.tick
	}
	for _, e := range w.entries {
		if !e.alive || !e.machine.Open(w.now()) || e.version >= known {
			continue
		}
		age := time.Duration(w.tick-w.accepted[e.version+1]) * step
		if age > stopsWithin {
			return fmt.Errorf("tick %d: %s takes keys by version %d, %s after version %d was accepted", w.tick, e.peer.Name, e.version, age, e.version+1)
		}
	}
	return nil
}

// TestPartitions never lets a key be taken long after its withdrawal, whatever is cut.
func TestPartitions(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const worlds, ticks = 100, 1500
	first := *firstSeed
	if first == 0 {
		first = rand.Uint64N(1 << 32)
	}
	t.Logf("seeds from %d: repeat with -first-seed", first)
	open, all := 0, 0
	for seed := first; seed < first+worlds; seed++ {
		w := newWorld(seed, 1+int(seed%3), 2+int(seed%2))
		for range ticks {
			if w.random.IntN(25) == 0 {
				w.fault()
			}
			if w.random.IntN(20) == 0 {
				w.patch(w.random.IntN(len(w.entries)))
			}
			w.advance()
			if err := w.check(); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			for _, e := range w.entries {
				if e.alive {
					all++
					if e.machine.Open(w.now()) {
						open++
					}
				}
			}
		}
	}
	t.Logf("open in %d of %d looks", open, all)
	is.True(open > 0)
}

func (w *world) run(ticks int) {
	for range ticks {
		w.advance()
	}
}

// opens counts the entries that take keys.
func (w *world) opens() int {
	count := 0
	for _, e := range w.entries {
		if e.alive && e.machine.Open(w.now()) {
			count++
		}
	}
	return count
}

// TestFaults goes through the cases by name.
func TestFaults(t *testing.T) {
	t.Parallel()
	const second = 10
	for name, test := range map[string]struct {
		fault func(w *world)
		// open is how many of the six entries take keys after ten seconds of the fault.
		open int
	}{
		"no fault":                         {func(*world) {}, 6},
		"table out for all":                {func(w *world) { fill(w.tableOut) }, 6},
		"one cut from the table":           {func(w *world) { w.tableOut[0] = true }, 6},
		"all but one cut from the table":   {func(w *world) { fill(w.tableOut[1:]) }, 6},
		"one cut from table and peers":     {func(w *world) { w.tableOut[0] = true; w.isolate(0) }, 5},
		"one cut from peers alone":         {func(w *world) { w.isolate(0) }, 6},
		"table out, one unreachable":       {func(w *world) { fill(w.tableOut); w.isolate(0) }, 0},
		"table out, one crashed, unlisted": {func(w *world) { fill(w.tableOut); w.entries[0].alive = false }, 5},
		"table out, one restarted": {func(w *world) {
			fill(w.tableOut)
			w.start(0)
		}, 6},
		"two of three domains without table, apart from the third": {func(w *world) {
			for index := range 4 {
				w.tableOut[index] = true
				w.cut[[2]int{index, 4}] = true
				w.cut[[2]int{index, 5}] = true
			}
		}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := newWorld(1, 3, 2)
			w.run(3 * second)
			is.Equal(w.opens(), 6)
			test.fault(w)
			w.run(10 * second)
			is.Equal(w.opens(), test.open)
			w.heal()
			w.run(5 * second)
			is.True(w.opens() >= 5) // all live ones are back
		})
	}
}

func fill(flags []bool) {
	for index := range flags {
		flags[index] = true
	}
}

func (w *world) isolate(index int) {
	for other := range w.entries {
		w.cut[[2]int{min(index, other), max(index, other)}] = true
	}
}

// TestTableOutageKeepsEntriesOpen keeps every entry open through each step from a healthy table to an outage and back.
func TestTableOutageKeepsEntriesOpen(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newWorld(1, 3, 4)
	w.run(30)
	fill(w.tableOut)
	for range 600 {
		w.advance()
		is.Equal(w.opens(), 12)
	}
	w.heal()
	for range 100 {
		w.advance()
		is.Equal(w.opens(), 12)
	}
}
