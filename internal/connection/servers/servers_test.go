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
	returnTime = 2 * time.Second
	outageTime = 3 * time.Second
	contact    = 4 * time.Second
)

// rig is a registry on a fake clock.
type rig struct {
	*servers.Registry
	now clock.Reading
}

func newRig() *rig {
	r := &rig{now: clock.Reading(time.Hour)}
	r.Registry = servers.New(servers.Config{
		NewPool:               func(server platform.Server) *direct.Pool { return direct.New(direct.Config{Address: server.Address}) },
		ReregistrationTimeout: returnTime, MinOutage: outageTime, RecoveryBound: contact, Now: func() clock.Reading { return r.now },
	})
	return r
}

func entry(id ident.Endpoint, state platform.ServerState, born int64) platform.Server {
	return platform.Server{ID: id, Service: "s", Address: "127.0.0.1:1", State: state, StartedUnixMS: born}
}

func (r *rig) ready() int {
	list, _ := r.Ready("s")
	return len(list)
}

// TestDrainingServer holds that a server that leaves or is gone gets no new work at once.
func TestDrainingServer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := newRig()
	is.True(!r.Listed())
	r.Update([]platform.Server{entry("a", platform.ServerReady, 1), entry("b", platform.ServerReady, 1)}, nil, true)
	is.True(r.Listed())
	list, _ := r.Ready("s")
	is.Equal(len(list), 2)
	is.True(r.Accepts(list[0]))
	r.Update([]platform.Server{entry(list[0].ID, platform.ServerDraining, 1)}, nil, false)
	is.True(!r.Accepts(list[0]))
	r.Update(nil, []ident.Endpoint{list[1].ID}, false)
	is.True(!r.Accepts(list[1]))
	is.Equal(r.ready(), 0)
}

// TestRestartedServer holds that a server that starts again under its id is another server.
func TestRestartedServer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := newRig()
	r.Update([]platform.Server{entry("a", platform.ServerReady, 1)}, nil, true)
	before, generation := r.Ready("s")
	r.Update([]platform.Server{entry("a", platform.ServerReady, 2)}, nil, false)
	after, next := r.Ready("s")
	is.True(!r.Accepts(before[0]))
	is.True(r.Accepts(after[0]))
	is.True(next != generation)
}

// TestMissingRegistrationAfterOutage holds that servers whose entries lapsed while the store was away are used until they
// had time to come back since its return, and no longer.
func TestMissingRegistrationAfterOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := newRig()
	both := []platform.Server{entry("a", platform.ServerReady, 1), entry("b", platform.ServerReady, 1)}
	r.ObserveStore(0, true)
	r.Update(both, nil, true)
	r.ObserveStore(0, false)
	r.now = r.now.Add(outageTime)
	r.ObserveStore(0, false)
	r.ObserveStore(0, true)
	r.now = r.now.Add(returnTime / 2)
	r.ObserveStore(0, true)
	r.Update(nil, nil, true)
	is.Equal(r.ready(), 2)
	r.Update(both[:1], nil, false)
	r.now = r.now.Add(returnTime / 2)
	r.Sweep()
	list, _ := r.Ready("s")
	is.Equal(len(list), 1)
	is.Equal(list[0].ID, ident.Endpoint("a"))
	r.Update(nil, []ident.Endpoint{"a"}, false) // The time to come back is over: the server is gone.
	is.Equal(r.ready(), 0)
}

// TestMissingRegistrationWithoutOutage holds that failed calls alone excuse no missing entry: entries lapse only while the store
// answers nobody for a while.
func TestMissingRegistrationWithoutOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := newRig()
	r.ObserveStore(0, true)
	r.Update([]platform.Server{entry("a", platform.ServerReady, 1), entry("b", platform.ServerReady, 1)}, nil, true)
	for range 10 {
		r.now = r.now.Add(outageTime / 2)
		r.ObserveStore(0, false)
		r.ObserveStore(0, true)
	}
	r.Update(nil, []ident.Endpoint{"a"}, false)
	is.Equal(r.ready(), 1)
	r.now = r.now.Add(2 * outageTime) // A question that waits long without a failure is no outage.
	r.ObserveStore(0, true)
	r.Update(nil, nil, true)
	is.Equal(r.ready(), 0)
}

// TestOutageDetectedLate holds that the time in which missing servers are used counts from when the store may have been back, not
// from when a process that waited for a lost answer has found it back.
func TestOutageDetectedLate(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := newRig()
	r.ObserveStore(0, true)
	r.Update([]platform.Server{entry("a", platform.ServerReady, 1)}, nil, true)
	r.now = r.now.Add(outageTime + contact)
	r.ObserveStore(contact-time.Second, false)
	r.ObserveStore(0, true)
	r.Update(nil, nil, true)
	is.Equal(r.ready(), 1)
	r.now = r.now.Add(time.Second)
	r.Sweep()
	is.Equal(r.ready(), 0)
}
