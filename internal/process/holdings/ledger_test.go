package holdings

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// opened returns a holder that was opened at a time and has sent its bytes then.
func opened(is *is.I, l *Ledger, now time.Time, kind Kind, bytes Bytes) *Holder {
	is.Helper()
	h, leaving := l.Open(now, kind, bytes)
	is.True(h != nil)
	is.Equal(len(leaving), 0)
	return h
}

// TestMostHeldLeastMovedGoesFirst guards against refusing whoever comes last while others hold the room without moving.
func TestMostHeldLeastMovedGoesFirst(t *testing.T) {
	limits := Limits{Bytes: 64 << 20, Largest: 128 << 20, Connections: 100}
	const mib = 1 << 20
	cases := []struct {
		name string
		// fill opens the holders that fill the ledger by second 10, and returns the one that has to go for 1 MiB more.
		fill func(is *is.I, l *Ledger) *Holder
	}{
		{"still before moving", func(is *is.I, l *Ledger) *Holder {
			still, moving := opened(is, l, at(0), Body, 24*mib), opened(is, l, at(0), Body, 24*mib)
			l.Move(at(9.9), moving, 4*mib)
			return still
		}},
		{"slow before fast", func(is *is.I, l *Ledger) *Holder {
			slow, fast := opened(is, l, at(0), Body, 24*mib), opened(is, l, at(0), Body, 24*mib)
			for tenths := range 100 {
				l.Move(at(float64(tenths)/10), slow, 1)
				l.Move(at(float64(tenths)/10), fast, 64<<10)
			}
			return slow
		}},
		{"much before little", func(is *is.I, l *Ledger) *Holder {
			_, much := opened(is, l, at(0), Body, 18*mib), opened(is, l, at(0), Body, 30*mib)
			return much
		}},
		{"longest still among equals", func(is *is.I, l *Ledger) *Holder {
			first, second := opened(is, l, at(-4000), Body, 24*mib), opened(is, l, at(-3000), Body, 24*mib)
			is.True(first != second)
			return first
		}},
		{"complete ones stay", func(is *is.I, l *Ledger) *Holder {
			complete, incomplete := opened(is, l, at(0), Body, 30*mib), opened(is, l, at(0), Body, 18*mib)
			l.Settle(complete, true)
			return incomplete
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := NewLedger(limits)
			want := c.fill(is, l)
			h, leaving := l.Open(at(10), Body, 2*mib)
			is.True(h != nil)
			is.Equal(leaving, []*Holder{want})
		})
	}
}

// TestNoRoomChangesNothing guards against sending holders away for one that gets no room in the end.
func TestNoRoomChangesNothing(t *testing.T) {
	is := is.New(t)
	l := NewLedger(Limits{Bytes: 64 << 20, Largest: 64 << 20, Connections: 10})
	l.Settle(opened(is, l, at(0), Body, 40<<20), true)
	small := opened(is, l, at(0), Connection, 1<<10)
	h, leaving := l.Open(at(9), Body, 30<<20)
	is.True(h == nil)
	is.Equal(len(leaving), 0)
	is.Equal(l.Bytes(), Bytes(40<<20+1<<10))
	is.True(l.Settle(small, false)) // It is still there.
}

// TestIdleConnectionsMakeWay guards against refusing new connections while idle ones use all descriptors.
func TestIdleConnectionsMakeWay(t *testing.T) {
	is := is.New(t)
	l := NewLedger(NewLimits(64<<20, 700))
	limit := l.limits.Connections
	idle := make([]*Holder, limit)
	for index := range idle {
		idle[index] = opened(is, l, at(float64(index)/1000), Connection, ConnectionBytes)
	}
	l.Move(at(19), idle[0], 500) // The others have been still for longer.
	for range limit - 1 {
		h, leaving := l.Open(at(20), Connection, ConnectionBytes)
		is.True(h != nil)
		is.Equal(len(leaving), 1)
		is.True(leaving[0] != idle[0])
		l.Settle(h, true)
	}
	h, leaving := l.Open(at(20), Connection, ConnectionBytes)
	is.True(h != nil)
	is.Equal(leaving, []*Holder{idle[0]})
	l.Settle(h, true)
	h, _ = l.Open(at(20), Connection, ConnectionBytes)
	is.True(h == nil) // All others carry requests.
}

// TestOrdinaryCallersKeepTheirPart guards against large bodies, complete ones too, that take all room.
func TestOrdinaryCallersKeepTheirPart(t *testing.T) {
	const bodyBytes, ordinaryBytes = 4 << 20, 110 << 10
	for _, complete := range []bool{false, true} {
		is := is.New(t)
		l := NewLedger(NewLimits(88<<20, 4100))
		for index := range 60 {
			h, _ := l.Open(at(float64(index)/100), Body, bodyBytes)
			if h != nil {
				l.Settle(h, complete)
			}
		}
		for index := range 40 {
			connection, _ := l.Open(at(1), Connection, ConnectionBytes)
			is.True(connection != nil)
			h, _ := l.Open(at(1+float64(index)/10), Body, ordinaryBytes)
			is.True(h != nil) // An ordinary body has room.
			l.Settle(h, true)
		}
	}
}

// TestLargestIsServedInCalm guards against a bound of the sum that a single request exceeds.
func TestLargestIsServedInCalm(t *testing.T) {
	is := is.New(t)
	l := NewLedger(NewLimits(48<<20, 4100))
	for range 20 {
		opened(is, l, at(0), Connection, ConnectionBytes)
	}
	body := opened(is, l, at(0), Body, 0)
	for range 20 {
		leaving, ok := l.Grow(at(1), body, 1<<20)
		is.True(ok)
		is.Equal(len(leaving), 0)
	}
	other, _ := l.Open(at(1), Body, 4<<20)
	is.True(other == nil || body.index == gone) // Not both.
	_, ok := l.Grow(at(1), body, l.limits.Largest)
	is.True(!ok) // Not more than Largest.
}

// TestBoundsHold checks the bounds, and that what is counted is what the holders hold, for random sequences of calls.
func TestBoundsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Bytes: 10_000, Largest: 20_000, Connections: 8}
		l, now := NewLedger(limits), start
		var holders []*Holder
		for range rapid.IntRange(1, 80).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			bytes := Bytes(rapid.IntRange(0, 6000).Draw(t, "bytes"))
			call := rapid.SampledFrom([]string{"open", "grow", "move", "settle", "shrink", "close"}).Draw(t, "call")
			if call == "open" || len(holders) == 0 {
				kind := rapid.SampledFrom([]Kind{Connection, Body}).Draw(t, "kind")
				if h, _ := l.Open(now, kind, bytes); h != nil {
					holders = append(holders, h)
				}
			} else {
				callHolder(l, now, holders[rapid.IntRange(0, len(holders)-1).Draw(t, "holder")], call, bytes)
			}
			checkBounds(t, l, holders)
		}
	})
}

func callHolder(l *Ledger, now time.Time, h *Holder, call string, bytes Bytes) {
	switch call {
	case "grow":
		l.Grow(now, h, bytes)
	case "move":
		l.Move(now, h, bytes)
	case "settle":
		l.Settle(h, bytes%2 == 0)
	case "shrink":
		l.Shrink(h, bytes)
	default:
		l.Close(now, h)
	}
}

func checkBounds(t *rapid.T, l *Ledger, holders []*Holder) {
	var bytes, largest Bytes
	connections := 0
	for _, h := range holders {
		if h.index == gone {
			if h.bytes != 0 {
				t.Fatalf("a holder that has gone holds %d bytes", h.bytes)
			}
			continue
		}
		bytes += h.bytes
		largest = max(largest, h.bytes)
		if h.kind == Connection {
			connections++
		}
	}
	if bytes != l.Bytes() || connections != l.Connections() {
		t.Fatalf("found %d bytes and %d connections, want %d and %d", l.Bytes(), l.Connections(), bytes, connections)
	}
	if connections > l.limits.Connections || largest > l.limits.Largest || bytes-max(largest-l.limits.largeShare(), 0) > l.limits.Bytes {
		t.Fatalf("bounds exceeded: %d bytes, %d connections, largest %d", bytes, connections, largest)
	}
}

// TestRetryAfter checks that the time follows from how long bodies are held and how many there are, within its bounds.
func TestRetryAfter(t *testing.T) {
	is := is.New(t)
	l := NewLedger(NewLimits(0, 0))
	is.Equal(l.RetryAfter(), minRetryAfter)
	body := opened(is, l, at(0), Body, 1)
	l.Settle(body, true)
	l.Close(at(2), body)
	is.Equal(l.RetryAfter(), 2*time.Second)
	for range 4 {
		l.Settle(opened(is, l, at(2), Body, 1), true)
	}
	is.Equal(l.RetryAfter(), 500*time.Millisecond)
	long := opened(is, l, at(2), Body, 1)
	l.Settle(long, true)
	l.Close(at(2000), long)
	is.Equal(l.RetryAfter(), maxRetryAfter)
}
