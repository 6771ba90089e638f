package servers_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/pkg/ident"
	"vanillapond/platform"
)

// TestLeavingServerStaysOut checks that a server that has announced its leaving gets no new requests although its registration says
// that it is ready, also after the registration disappeared for a while, and that its next incarnation does.
func TestLeavingServerStaysOut(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newHarness()
	ready := []platform.Server{registration("a", platform.ServerReady, 1)}
	h.Update(ready, nil, true)
	list, _ := h.Ready("s")
	h.MarkLeaving(list[0].Start())
	is.True(!h.Accepts(list[0]))
	is.Equal(h.ready(), 0)
	is.Equal(h.Leaving(), []ident.ServerStart{{ID: "a", StartedUnixMS: 1}})
	h.Update(ready, nil, false)
	is.Equal(h.ready(), 0)
	h.Update(nil, []ident.Endpoint{"a"}, false)
	h.Sweep()
	is.Equal(len(h.Leaving()), 0)
	h.now = h.now.Add(time.Minute)
	h.Sweep()
	h.Update(ready, nil, true)
	is.Equal(h.ready(), 0)
	h.Update([]platform.Server{registration("a", platform.ServerReady, 2)}, nil, false)
	is.Equal(h.ready(), 1)
	h.MarkLeaving(ident.ServerStart{ID: "a", StartedUnixMS: 1}) // A late message of a peer about the earlier incarnation.
	is.Equal(h.ready(), 1)
}

// TestLeavingHeardBeforeRegistration checks that a peer's message about a server counts although its registration is not known yet.
func TestLeavingHeardBeforeRegistration(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newHarness()
	h.MarkLeaving(ident.ServerStart{ID: "a", StartedUnixMS: 1})
	h.Update([]platform.Server{registration("a", platform.ServerReady, 1)}, nil, true)
	is.Equal(h.ready(), 0)
}

// TestPausedServer checks that a server that asked for a pause gets no requests until the pause is over, and not for less time
// because of a shorter pause in a later response.
func TestPausedServer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newHarness()
	h.Update([]platform.Server{registration("a", platform.ServerReady, 1), registration("b", platform.ServerReady, 1)}, nil, true)
	list, _ := h.Ready("s")
	paused := list[0]
	h.Pause(paused.Start(), 2*time.Second)
	h.Pause(paused.Start(), time.Second)
	is.True(!h.Accepts(paused))
	is.True(h.Accepts(list[1]))
	is.Equal(h.UntilResumed("s"), 2*time.Second)
	h.Update([]platform.Server{registration(paused.ID, platform.ServerReady, 1)}, nil, false)
	h.now = h.now.Add(2*time.Second - 1)
	list, generation := h.Ready("s")
	is.Equal(len(list), 1)
	h.now = h.now.Add(1)
	list, next := h.Ready("s")
	is.Equal(len(list), 2)
	is.True(next != generation)
	is.Equal(h.UntilResumed("s"), time.Duration(0))
}
