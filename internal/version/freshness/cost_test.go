package freshness_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/clock"
	"vanillapond/internal/version/freshness"
)

// TestAskedPeers counts the questions of one round at the letter's size.
func TestAskedPeers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := newWorld(1, 14, 29)
	e := w.entries[0].machine
	asked := e.Ask(w.now())
	is.Equal(len(asked), 28+13) // the own domain, and one of each other
	t.Logf("%d entries: %d questions a round", len(w.entries), len(asked))
	e.Table(w.now())
	is.Equal(len(e.Ask(w.now())), 0) // none while the table answers
}

// TestFrozenAlone does not take keys after a long sleep before it has tried the table.
func TestFrozenAlone(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	m := freshness.New(freshness.Config{Address: "alone", Domain: "d0"})
	start := clock.Reading(time.Hour)
	m.List(start, nil)
	m.Table(start)
	m.Tried(start)
	is.True(m.Open(start.Add(time.Second)))
	woken := start.Add(time.Minute)
	is.True(!m.Open(woken))
	m.Tried(woken) // the table is out: no one else can accept a patch
	is.True(m.Open(woken.Add(time.Second)))
}

// BenchmarkAnswer measures one answer taken at the letter's size, with the table out.
func BenchmarkAnswer(b *testing.B) {
	w := newWorld(1, 14, 29)
	fill(w.tableOut)
	w.run(2 * listEvery)
	e := w.entries[0].machine
	peers := e.Peers(w.now())
	for index := 0; b.Loop(); index++ {
		e.Answered(w.now(), peers[index%len(peers)], freshness.Evidence{Table: freshness.Never})
		e.Until(w.now())
	}
}
