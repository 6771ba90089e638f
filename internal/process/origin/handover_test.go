package origin_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/origin"
	"vanillapond/pkg/ident"
)

func all(ident.Request) bool { return true }

// pages returns all pages of a registry.
func pages(t *testing.T, h *originHarness) []origin.Origin {
	t.Helper()
	var streams []origin.Origin
	for position := origin.Position(0); ; {
		page := h.Page(position, all)
		is.New(t).NoErr(page.Check())
		streams = append(streams, page.Streams...)
		if position = page.Next; page.Complete {
			return streams
		}
	}
}

// TestCopyKeepsAge guards against instances that renew each other's copies of a stream for ever: one that is told of a stream forgets it when the one
// that told does, whatever way the copy took.
func TestCopyKeepsAge(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	first, second := newOriginHarness(), newOriginHarness()
	for _, h := range []*originHarness{first, second} {
		h.observe("v1", "v2")
	}
	first.Begin(origin.Origin{Stream: "x", Service: modelService, Software: "v1"})
	const step = modelMemory / 10
	for elapsed := step; elapsed <= modelMemory; elapsed += step {
		for _, h := range []*originHarness{first, second} {
			h.now = h.now.Add(step)
		}
		second.Merge(pages(t, first))
		first.Merge(pages(t, second))
		first.ShareAgain()
		second.Merge(first.TakeUnshared())
		second.Receive(first.Answer("x", modelService))
		_, found := second.Lookup("x")
		is.True(found || elapsed == modelMemory)
	}
	for _, h := range []*originHarness{first, second} {
		h.now = h.now.Add(time.Millisecond)
		_, found := h.Lookup("x")
		is.True(!found)
		is.Equal(len(pages(t, h)), 0)
	}
	// A stream that goes on counts from then.
	first.Begin(origin.Origin{Stream: "x", Service: modelService, Software: "v1"})
	second.Merge(pages(t, first))
	_, found := second.Lookup("x")
	is.True(found)
	for _, wrong := range []int64{-1, 1 << 62} {
		is.True(origin.Origin{Stream: "x", AgeMS: wrong}.Check() != nil)
	}
}

// TestLongIDsLoseNoBatch guards against ids of any length and any bytes that make a datagram too long or unreadable, for all streams in it, and that take
// as much memory as they are long.
func TestLongIDsLoseNoBatch(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const maxDatagram = 32 << 10
	sender, receiver := newOriginHarness(), newOriginHarness()
	sender.observe("v1", "v2")
	receiver.observe("v1", "v2")
	ids := []ident.Request{"9c41d07be2a35f68", ident.Request(strings.Repeat("a", 15_000)), ident.Request(strings.Repeat("a", 60_000)), "caf\xe9", "9c41d07be2a35f69"}
	for index := range 300 {
		ids = append(ids, ident.Request(strings.Repeat("b", 1000)+strconv.Itoa(index)))
	}
	for _, id := range ids {
		sender.Begin(origin.Origin{Stream: id, Service: modelService, Software: "v1"})
	}
	for _, batch := range origin.Batches(sender.TakeUnshared()) {
		datagram, err := cbor.Marshal(batch)
		is.NoErr(err)
		is.True(len(batch) <= origin.MaxBatch && len(datagram) < maxDatagram)
		var received []origin.Origin
		is.NoErr(cbor.Unmarshal(datagram, &received))
		receiver.Merge(received)
	}
	for _, id := range ids {
		began, found := receiver.Lookup(id)
		is.True(found)
		is.Equal(began.Stream, id)
		question := newOriginHarness().Ask(id, modelService)
		datagram, err := cbor.Marshal(question.Subject())
		is.NoErr(err)
		is.True(len(datagram) < maxDatagram)
		var asked origin.Origin
		is.NoErr(cbor.Unmarshal(datagram, &asked))
		is.Equal(receiver.Answer(asked.Stream, modelService).Knowledge, origin.Known)
	}
	// Earlier versions tell and ask by the id itself.
	older := newOriginHarness()
	older.Merge([]origin.Origin{{Stream: ids[1], Service: modelService, Software: "v1"}})
	answer := older.Answer(ids[1], modelService)
	is.Equal(answer.Knowledge, origin.Known)
	is.Equal(answer.Stream, ids[1])
	// A caller can't name another caller's stream by its digest.
	is.True(strings.ContainsRune(string(sender.Page(0, all).Streams[1].Stream), '\x01'))
}

// TestPagesAreBounded guards against an instance that is held up by one that joins: a page looks at a part of the streams only, and holds few.
func TestPagesAreBounded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const streams = 70_000
	h := newOriginHarness()
	h.observe("v1", "v2")
	for index := range streams {
		h.Begin(origin.Origin{Stream: ident.Request("stream-" + strconv.Itoa(index)), Service: modelService, Software: "v1"})
	}
	looked := 0
	page := h.Page(0, func(ident.Request) bool { looked++; return false })
	is.True(looked > 0 && looked <= 4096)
	is.Equal(len(page.Streams), 0)
	is.True(!page.Complete && page.Next > page.Position)
	told := pages(t, h)
	is.Equal(len(told), 1<<16) // The most that are known.
	is.Equal(told[len(told)-1].Stream, ident.Request("stream-"+strconv.Itoa(streams-1)))
	is.True(h.Page(1<<40, all).Complete)
}

// TestSoleVersionIsNotHandedOver checks that nothing is told of the streams of a service that has had one version only.
func TestSoleVersionIsNotHandedOver(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newOriginHarness()
	h.observe("v1")
	h.now = h.now.Add(2 * modelMemory)
	h.Begin(origin.Origin{Stream: "x", Service: modelService, Software: "v1"})
	is.Equal(len(pages(t, h)), 0)
	h.ShareAgain()
	is.Equal(len(h.TakeUnshared()), 0)
}

// TestHandover checks that an instance that joins asks each other one until it has all pages: again if datagrams get lost, not for ever if one does not
// answer, and few at a time.
func TestHandover(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	now := clock.Reading(time.Hour)
	h := origin.NewHandover("new")
	is.True(h.Settled()) // It knows no others.
	h.Observe([]ident.Incarnation{"a", "silent"})
	answer := func(question origin.PageQuestion) *origin.Page {
		return &origin.Page{From: question.To, Position: question.Position, Next: question.Position + 100, Complete: question.Position == 100}
	}
	asked, complete := map[ident.Incarnation]int{}, false
	for elapsed := time.Duration(0); elapsed < time.Minute; elapsed += 10 * time.Millisecond {
		questions, _ := h.Due(now.Add(elapsed))
		for _, question := range questions {
			is.Equal(question.From, ident.Incarnation("new"))
			if asked[question.To]++; question.To != "a" || asked["a"] < 3 {
				continue // The datagram or its answer is lost.
			}
			next, more := h.Receive(now.Add(elapsed), answer(question))
			is.True(more)
			is.Equal(next.Position, origin.Position(100))
			_, more = h.Receive(now.Add(elapsed), answer(question)) // Again, late.
			is.True(!more)
			_, more = h.Receive(now.Add(elapsed), answer(next))
			is.True(!more)
			complete = true
		}
		is.Equal(h.Settled(), complete && asked["silent"] >= 5)
		if elapsed == 500*time.Millisecond {
			is.True(h.Settled())
		}
	}
	is.Equal(asked["a"], 3)
	is.True(asked["silent"] >= 5 && asked["silent"] <= 20)
	// An instance that was gone is another one.
	h.Observe(nil)
	is.True(h.Settled())
	many := make([]ident.Incarnation, 409)
	for index := range many {
		many[index] = ident.Incarnation(strconv.Itoa(index))
	}
	h.Observe(many)
	questions, next := h.Due(now)
	is.True(len(questions) <= 8 && next > 0)
}

// restartedFleet is a fleet whose instances tell each other of streams as routers do.
type restartedFleet struct {
	names     []ident.Process
	instances map[ident.Process]*originHarness
	// bytes counts what an instance that joins is told.
	bytes, datagrams int
}

func (f *restartedFleet) others(name ident.Process) []ident.Process {
	var others []ident.Process
	for _, other := range f.names {
		if other != name {
			others = append(others, other)
		}
	}
	return others
}

func (f *restartedFleet) tell(t *testing.T, from ident.Process, begun []origin.Origin) {
	t.Helper()
	for _, each := range begun {
		for _, holder := range origin.Holders(each.Stream, f.others(from)) {
			f.instances[holder].Merge([]origin.Origin{each})
		}
	}
}

// restart replaces an instance by one that knows nothing but what the others hand over.
func (f *restartedFleet) restart(t *testing.T, name ident.Process) {
	t.Helper()
	now := f.instances[name].now
	joined := newOriginHarness()
	joined.now = now
	joined.observe("v1", "v2")
	f.instances[name] = joined
	f.bytes, f.datagrams = 0, 0
	for _, other := range f.others(name) {
		for position := origin.Position(0); ; {
			page := f.instances[other].Page(position, func(stream ident.Request) bool { return origin.IsKeeper(stream, name, f.names) })
			datagram, err := cbor.Marshal(page)
			is.New(t).NoErr(err)
			f.bytes, f.datagrams = f.bytes+len(datagram), f.datagrams+1
			joined.Merge(page.Streams)
			if position = page.Next; page.Complete {
				break
			}
		}
	}
}

// TestStreamsOutliveRestarts guards against streams that nobody knows any more after all instances were restarted, one after the other, planned or
// killed: each one that is asked finds all streams at those that it asks, after each restart.
func TestStreamsOutliveRestarts(t *testing.T) {
	t.Parallel()
	for size, streams := range map[int]int{2: 600, 3: 600, 300: 40} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := &restartedFleet{instances: make(map[ident.Process]*originHarness)}
			for index := range size {
				name := ident.Process(fmt.Sprint("router-", index))
				f.names = append(f.names, name)
				f.instances[name] = newOriginHarness()
				f.instances[name].observe("v1", "v2")
			}
			for index := range streams {
				name := f.names[index%size]
				f.instances[name].Begin(origin.Origin{Stream: ident.Request(fmt.Sprint("stream-", index)), Service: modelService, Software: "v1"})
				f.tell(t, name, f.instances[name].TakeUnshared())
			}
			for _, name := range f.names {
				f.restart(t, name)
				taker := f.names[size-1]
				for index := range streams {
					stream := ident.Request(fmt.Sprint("stream-", index))
					knowing := 0
					for _, asked := range origin.Asked(stream, f.others(taker)) {
						if f.instances[asked].Answer(stream, modelService).Knowledge == origin.Known {
							knowing++
						}
					}
					if _, known := f.instances[taker].Lookup(stream); known {
						knowing++
					}
					is.True(knowing >= 2)
				}
			}
			// Others scan all that they know in a page, and tell a part of it.
			t.Logf("the last to join was told %d bytes in %d datagrams of %d streams", f.bytes, f.datagrams, streams)
			is.True(f.datagrams <= size*(1+streams/origin.MaxBatch))
		})
	}
}
