package forward_test

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"vanillapond/internal/request/forward"
	"vanillapond/pkg/ident"
)

// suspectFleet is the lists of suspects of some instances, which reach each other.
type suspectFleet struct {
	now   time.Time
	lists []*forward.SuspectList
}

func newSuspectFleet(size int) *suspectFleet {
	f := &suspectFleet{now: time.Unix(1_000_000, 0)}
	for range size {
		f.add()
	}
	return f
}

// add adds an instance that has just started.
func (f *suspectFleet) add() {
	f.lists = append(f.lists, forward.NewSuspectList(forward.SuspectConfig{AgreedTime: func() time.Time { return f.now }}))
}

// crash records that an instance has lost a request in a crash; started is when the server had started by the list that the instance has read.
func (f *suspectFleet) crash(instance int, server ident.Endpoint, started int64) {
	f.lists[instance].RecordLoss(f.now, 7, forward.Crash{
		Server: ident.ServerStart{ID: server, StartedUnixMS: started}, OpenedAt: f.now.Add(-20 * time.Millisecond), BrokenAt: f.now,
	})
}

// wait has time pass and the instances exchange what they report, some of it again and some late.
func (f *suspectFleet) wait(duration time.Duration) {
	const interval = 100 * time.Millisecond
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(interval) {
		for _, from := range f.lists {
			report := append(from.Recent(f.now), from.BlockedLosses(f.now)...)
			for _, to := range f.lists {
				to.Merge(f.now, report)
				to.Merge(f.now.Add(interval/2), report)
			}
		}
	}
}

func (f *suspectFleet) blocked(t *testing.T, want bool) {
	t.Helper()
	for _, list := range f.lists {
		is.New(t).Equal(list.Blocked(f.now, 7), want)
	}
}

// TestCrashesOfOneServer guards against requests that crash the only server of a service, or two, for ever: a server that starts again under its id is
// another one. An instance may not have read that it did.
func TestCrashesOfOneServer(t *testing.T) {
	t.Parallel()
	const restart = 1500 * time.Millisecond
	for _, c := range []struct {
		name string
		// started are the starts that the list names which the instance has read at each crash.
		started []int64
	}{
		{"lists are read", []int64{1, 2, 3}},
		{"list is never read", []int64{1, 1, 1}},
		{"list is read once", []int64{1, 1, 3}},
		{"starts are not told", []int64{0, 0, 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newSuspectFleet(3)
			for index, started := range c.started {
				f.blocked(t, false)
				f.crash(index%len(f.lists), "s", started)
				f.wait(restart)
			}
			f.blocked(t, true)
		})
	}
}

// TestOneCrashSeenByAll guards against requests that are refused after one crash: all instances that had the request there lose it in the same crash, also if
// some have not read that the server had started again.
func TestOneCrashSeenByAll(t *testing.T) {
	t.Parallel()
	f := newSuspectFleet(6)
	for index := range f.lists {
		f.crash(index, "s", int64(index%3))
		f.now = f.now.Add(15 * time.Millisecond)
	}
	f.wait(5 * time.Second)
	f.blocked(t, false)
	for range 2 {
		f.crash(0, "s", 1)
		f.wait(2 * time.Second)
	}
	f.blocked(t, true)
}

// TestClearedLossesHideNone guards against requests that are never refused once their losses were cleared: further ones of the same servers were taken for
// those.
func TestClearedLossesHideNone(t *testing.T) {
	t.Parallel()
	f := newSuspectFleet(2)
	crashAll := func(servers ...ident.Endpoint) {
		for _, server := range servers {
			f.crash(0, server, f.now.UnixMilli())
			f.wait(2 * time.Second)
		}
	}
	crashAll("s1", "s2")
	for _, list := range f.lists {
		list.Clear(7)
	}
	f.wait(time.Second)
	crashAll("s1", "s2")
	f.blocked(t, false)
	crashAll("s1")
	f.blocked(t, true)
}

// TestManyClearedLosses checks that what is kept of a request's losses is bounded, and that the latest of them count.
func TestManyClearedLosses(t *testing.T) {
	t.Parallel()
	f := newSuspectFleet(1)
	for range 200 {
		f.crash(0, "s", 0)
		f.lists[0].Clear(7)
		f.now = f.now.Add(2 * time.Second)
	}
	f.blocked(t, false)
	for range 3 {
		f.crash(0, "s", 0)
		f.now = f.now.Add(2 * time.Second)
	}
	f.blocked(t, true)
}

// TestStartedInstanceLearnsCrashesOfOneServer checks that an instance that starts knows a request that is blocked for crashes of one server, and that a
// loss in one of them counts once there.
func TestStartedInstanceLearnsCrashesOfOneServer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newSuspectFleet(1)
	for range 3 {
		f.crash(0, "s", 0)
		f.now = f.now.Add(20 * time.Second)
	}
	f.add()
	f.wait(time.Second)
	f.blocked(t, true)
	is.Equal(len(f.lists[1].BlockedLosses(f.now)), 3)
}

// earlierLoss is what instances reported before they told the crashes of one server apart.
type earlierLoss struct {
	Digest uint64         `cbor:"1,keyasint"`
	Server ident.Endpoint `cbor:"2,keyasint"`
	AgeMS  int64          `cbor:"3,keyasint,omitempty"`
}

// TestEarlierVersionReportsLosses guards against an upgrade in which routers of two versions do not count each other's losses, or count one crash twice.
func TestEarlierVersionReportsLosses(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newSuspectFleet(1)
	fromEarlier := func(servers ...ident.Endpoint) {
		var reported []earlierLoss
		for _, server := range servers {
			reported = append(reported, earlierLoss{Digest: 7, Server: server, AgeMS: 5})
		}
		datagram, err := cbor.Marshal(reported)
		is.NoErr(err)
		var received []forward.Loss
		is.NoErr(cbor.Unmarshal(datagram, &received))
		f.lists[0].Merge(f.now, received)
	}
	fromEarlier("s1", "s2")
	f.crash(0, "s1", 1)
	f.crash(0, "s2", 1)
	fromEarlier("s1", "s2")
	f.blocked(t, false)
	fromEarlier("s3")
	f.blocked(t, true)
	datagram, err := cbor.Marshal(f.lists[0].Recent(f.now))
	is.NoErr(err)
	var told []earlierLoss
	is.NoErr(cbor.Unmarshal(datagram, &told))
	is.Equal(told, []earlierLoss{{Digest: 7, Server: "s1"}, {Digest: 7, Server: "s2"}})
	f.lists[0].Merge(f.now, []forward.Loss{{Digest: 8, Server: "a", OpenedUnixMS: 2, BrokenUnixMS: 1}, {Digest: 8, Server: "b", OpenedUnixMS: -1}})
	is.True(!f.lists[0].Blocked(f.now, 8))
}
