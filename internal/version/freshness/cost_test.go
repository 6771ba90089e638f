package freshness_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/clock"
	"vanillapond/internal/version/freshness"
)

// TestPeersQueriedPerRound counts the queries of one round in a deployment of production size: 14 failure domains with
// 29 entries each.
func TestPeersQueriedPerRound(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(1, 14, 29)
	e := c.entries[0].tracker
	peers := e.PeersToQuery(c.now())
	is.Equal(len(peers), 28+13) // all other entries of its own failure domain, and one of each other domain
	t.Logf("%d entries: %d queries per round", len(c.entries), len(peers))
	e.ObserveTable(c.now())
	is.Equal(len(e.PeersToQuery(c.now())), 0) // none while the table can be read
}

// TestResumeWithoutPeers checks that a process without peers that was suspended for a minute accepts no keys before it
// has tried to read the table.
func TestResumeWithoutPeers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tracker := freshness.New(freshness.Config{Address: "alone", Domain: "d0"})
	start := clock.Reading(time.Hour)
	tracker.SetPeers(start, nil)
	tracker.ObserveTable(start)
	tracker.ObserveTableRead(start)
	is.True(tracker.Open(start.Add(time.Second)))
	resumed := start.Add(time.Minute)
	is.True(!tracker.Open(resumed))
	tracker.ObserveTableRead(resumed) // the read failed, but no other process can have accepted a patch
	is.True(tracker.Open(resumed.Add(time.Second)))
}

// BenchmarkObserveResponse measures the handling of one response in a deployment of production size while the table is
// unavailable.
func BenchmarkObserveResponse(b *testing.B) {
	c := newCluster(1, 14, 29)
	setAll(c.tableDown)
	c.run(2 * listSteps)
	e := c.entries[0].tracker
	peers := e.Peers(c.now())
	for index := 0; b.Loop(); index++ {
		e.ObserveResponse(c.now(), peers[index%len(peers)], freshness.Evidence{Table: freshness.Never})
		e.FreshUntil(c.now())
	}
}
