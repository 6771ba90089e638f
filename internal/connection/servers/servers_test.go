package servers_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/connection/direct"
	"vanillapond/internal/connection/servers"
	"vanillapond/internal/process/clock"
	"vanillapond/pkg/ident"
	"vanillapond/platform"
)

const (
	reregistrationTimeout = 2 * time.Second
	minOutage             = 3 * time.Second
	recoveryBound         = 4 * time.Second
)

// harness is a registry with a fake clock.
type harness struct {
	*servers.Registry
	now clock.Reading
}

func newHarness() *harness {
	h := &harness{now: clock.Reading(time.Hour)}
	h.Registry = servers.New(servers.Config{
		NewPool:               func(server platform.Server) *direct.Pool { return direct.New(direct.Config{Address: server.Address}) },
		ReregistrationTimeout: reregistrationTimeout, MinOutage: minOutage, RecoveryBound: recoveryBound,
		Now: func() clock.Reading { return h.now },
	})
	return h
}

func registration(id ident.Endpoint, state platform.ServerState, startedMS int64) platform.Server {
	return platform.Server{ID: id, Service: "s", Address: "127.0.0.1:1", State: state, StartedUnixMS: startedMS}
}

func (h *harness) ready() int {
	list, _ := h.Ready("s")
	return len(list)
}

// TestDrainingServer checks that a server that drains or is gone gets no new requests from then on.
func TestDrainingServer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newHarness()
	is.True(!h.Listed())
	h.Update([]platform.Server{registration("a", platform.ServerReady, 1), registration("b", platform.ServerReady, 1)}, nil, true)
	is.True(h.Listed())
	list, _ := h.Ready("s")
	is.Equal(len(list), 2)
	is.True(h.Accepts(list[0]))
	h.Update([]platform.Server{registration(list[0].ID, platform.ServerDraining, 1)}, nil, false)
	is.True(!h.Accepts(list[0]))
	h.Update(nil, []ident.Endpoint{list[1].ID}, false)
	is.True(!h.Accepts(list[1]))
	is.Equal(h.ready(), 0)
}

// TestRestartedServer checks that a server restarted under the same id counts as another server.
func TestRestartedServer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newHarness()
	h.Update([]platform.Server{registration("a", platform.ServerReady, 1)}, nil, true)
	before, generation := h.Ready("s")
	h.Update([]platform.Server{registration("a", platform.ServerReady, 2)}, nil, false)
	after, next := h.Ready("s")
	is.True(!h.Accepts(before[0]))
	is.True(h.Accepts(after[0]))
	is.True(next != generation)
}

// TestMissingRegistrationAfterOutage checks that servers whose registrations expired during an outage of the store are
// used until the re-registration timeout has passed since its end, and no longer.
func TestMissingRegistrationAfterOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newHarness()
	both := []platform.Server{registration("a", platform.ServerReady, 1), registration("b", platform.ServerReady, 1)}
	h.ObserveStore(0, true)
	h.Update(both, nil, true)
	h.ObserveStore(0, false)
	h.now = h.now.Add(minOutage)
	h.ObserveStore(0, false)
	h.ObserveStore(0, true)
	h.now = h.now.Add(reregistrationTimeout / 2)
	h.ObserveStore(0, true)
	h.Update(nil, nil, true)
	is.Equal(h.ready(), 2)
	h.Update(both[:1], nil, false)
	h.now = h.now.Add(reregistrationTimeout / 2)
	h.Sweep()
	list, _ := h.Ready("s")
	is.Equal(len(list), 1)
	is.Equal(list[0].ID, ident.Endpoint("a"))
	h.Update(nil, []ident.Endpoint{"a"}, false) // The re-registration timeout has passed: the server is removed.
	is.Equal(h.ready(), 0)
}

// TestMissingRegistrationWithoutOutage checks that failed calls alone do not excuse a missing registration:
// registrations expire only if the store answers no call for a while.
func TestMissingRegistrationWithoutOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newHarness()
	h.ObserveStore(0, true)
	h.Update([]platform.Server{registration("a", platform.ServerReady, 1), registration("b", platform.ServerReady, 1)}, nil, true)
	for range 10 {
		h.now = h.now.Add(minOutage / 2)
		h.ObserveStore(0, false)
		h.ObserveStore(0, true)
	}
	h.Update(nil, []ident.Endpoint{"a"}, false)
	is.Equal(h.ready(), 1)
	h.now = h.now.Add(2 * minOutage) // A long poll that waits without a failure is no outage.
	h.ObserveStore(0, true)
	h.Update(nil, nil, true)
	is.Equal(h.ready(), 0)
}

// TestOutageDetectedLate checks that the time for which missing servers are used counts from when the store may have
// recovered, not from when a process that waited for a lost response detects the recovery.
func TestOutageDetectedLate(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newHarness()
	h.ObserveStore(0, true)
	h.Update([]platform.Server{registration("a", platform.ServerReady, 1)}, nil, true)
	h.now = h.now.Add(minOutage + recoveryBound)
	h.ObserveStore(recoveryBound-time.Second, false)
	h.ObserveStore(0, true)
	h.Update(nil, nil, true)
	is.Equal(h.ready(), 1)
	h.now = h.now.Add(time.Second)
	h.Sweep()
	is.Equal(h.ready(), 0)
}

// TestSoftwareVersions checks that each version of a service's servers is returned once, in an order that does not depend on the servers': the
// lists are shared with other goroutines, so that nobody may sort them later.
func TestSoftwareVersions(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newHarness()
	var registered []platform.Server
	for _, software := range []ident.Software{"v3", "v1", "v2", "v1", "v3"} {
		server := registration(ident.Endpoint("i-"+string(rune('a'+len(registered)))), platform.ServerReady, 1)
		server.Software = software
		registered = append(registered, server)
	}
	h.Update(registered, nil, true)
	is.Equal(h.SoftwareVersions(), map[ident.Pool][]ident.Software{"s": {"v1", "v2", "v3"}})
}
