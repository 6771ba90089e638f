package servers_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/pkg/ident"
	"vanillapond/platform"
)

// TestDrainingServerAfterRestore checks that a server that was draining gets no requests because a restored store lists it as ready.
func TestDrainingServerAfterRestore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newHarness()
	ready := []platform.Server{registration("a", platform.ServerReady, 1)}
	h.Update(ready, nil, true)
	h.Update([]platform.Server{registration("a", platform.ServerDraining, 1)}, nil, false)
	h.ObserveRestore()
	h.Update(ready, nil, true)
	is.Equal(h.ready(), 0)
	h.Update(ready, nil, false)
	is.Equal(h.ready(), 0)
	h.Update([]platform.Server{registration("a", platform.ServerReady, 2)}, nil, false)
	is.Equal(h.ready(), 1)
}

// TestGoneServerAfterRestore checks that a server that had gone gets no requests because a restored store lists it, until its
// registration changes.
func TestGoneServerAfterRestore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newHarness()
	both := []platform.Server{registration("a", platform.ServerReady, 1), registration("b", platform.ServerReady, 1)}
	h.Update(both, nil, true)
	h.Update(nil, []ident.Endpoint{"a"}, false)
	h.ObserveRestore()
	h.Update(both, nil, true)
	is.Equal(h.ready(), 1)
	h.Update(both[:1], nil, false)
	is.Equal(h.ready(), 2)
}

// TestMissingRegistrationAfterRestore checks that a server that registered after the copy of the store was made is used until it had
// time to register again, and no longer.
func TestMissingRegistrationAfterRestore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newHarness()
	both := []platform.Server{registration("a", platform.ServerReady, 1), registration("b", platform.ServerReady, 1)}
	h.ObserveStore(0, true)
	h.Update(both, nil, true)
	h.ObserveRestore()
	h.Update(both[:1], nil, true)
	is.Equal(h.ready(), 2)
	h.now = h.now.Add(reregistrationTimeout + time.Millisecond)
	h.ObserveStore(0, true)
	h.Sweep()
	is.Equal(h.ready(), 1)
}
