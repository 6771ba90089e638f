package freshness_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/clock"
	"vanillapond/internal/version/freshness"
)

// TestPeersQueriedPerRound counts the questions of one round at the letter's size.
func TestPeersQueriedPerRound(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newWorld(1, 14, 29)
	e := w.entries[0].machine
	asked := e.PeersToQuery(w.now())
	is.Equal(len(asked), 28+13) // the own domain, and one of each other
	t.Logf("%d entries: %d questions a round", len(w.entries), len(asked))
	e.ObserveTable(w.now())
	is.Equal(len(e.PeersToQuery(w.now())), 0) // none while the table answers
}

// TestResumeWithoutPeers does not take keys after a long sleep before it has tried the table.
func TestResumeWithoutPeers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	m := freshness.New(freshness.Config{Address: "alone", Domain: "d0"})
	start := clock.Reading(time.Hour)
	m.SetPeers(start, nil)
	m.ObserveTable(start)
	m.ObserveTableRead(start)
	is.True(m.Open(start.Add(time.Second)))
	woken := start.Add(time.Minute)
	is.True(!m.Open(woken))
	m.ObserveTableRead(woken) // the table is out: no one else can accept a patch
	is.True(m.Open(woken.Add(time.Second)))
}

// BenchmarkObserveResponse measures one answer taken at the letter's size, with the table out.
func BenchmarkObserveResponse(b *testing.B) {
	w := newWorld(1, 14, 29)
	fill(w.tableOut)
	w.run(2 * listEvery)
	e := w.entries[0].machine
	peers := e.Peers(w.now())
	for index := 0; b.Loop(); index++ {
		e.ObserveResponse(w.now(), peers[index%len(peers)], freshness.Evidence{Table: freshness.Never})
		e.FreshUntil(w.now())
	}
}
