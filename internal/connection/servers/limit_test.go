package servers_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/connection/direct"
	"vanillapond/internal/connection/servers"
	"vanillapond/internal/process/clock"
	"vanillapond/platform"

	"vanillapond/pkg/ident"
)

// limitHarness is a registry with one server.
type limitHarness struct {
	*servers.Registry
	now clock.Reading
	of  ident.ServerStart
}

func newLimitHarness() *limitHarness {
	h := &limitHarness{now: clock.Reading(time.Hour), of: ident.ServerStart{ID: "i-1", StartedUnixMS: 1}}
	h.Registry = servers.New(servers.Config{
		NewPool:    func(server platform.Server) *direct.Pool { return direct.New(direct.Config{Address: server.Address}) },
		Now:        func() clock.Reading { return h.now },
		AgreedTime: func() time.Time { return time.Unix(0, int64(h.now)) },
	})
	h.register(1)
	return h
}

func (h *limitHarness) register(started int64) {
	h.Update([]platform.Server{{
		ID: "i-1", Service: "s", Address: "127.0.0.1:1", State: platform.ServerReady, StartedUnixMS: started,
	}}, nil, true)
}

// observe applies a response that names a limit, or none if the rate is negative, to a request of sentAgo before now.
func (h *limitHarness) observe(rate float64, sentAgo time.Duration) {
	h.ObserveLimit(servers.LimitStatement{
		Server: h.of, Limited: rate >= 0, Rate: 1, SentAt: h.now.Add(-sentAgo), ReceivedAt: h.now,
	})
}

// TestResponseOvertakesLimit checks that a limit is not ended by a response without one to a request that was sent before the limit was named:
// the server may have written it earlier.
func TestResponseOvertakesLimit(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newLimitHarness()
	h.observe(-1, 0)
	is.True(!h.RateLimited("i-1"))
	h.observe(1, 10*time.Millisecond)
	is.True(h.RateLimited("i-1"))
	h.now = h.now.Add(100 * time.Millisecond)
	h.observe(-1, 200*time.Millisecond)
	is.True(h.RateLimited("i-1"))
	h.observe(-1, 50*time.Millisecond)
	is.True(!h.RateLimited("i-1"))
}

// TestLimitEndsWithIncarnation checks that a server that has started again under its id has no limit.
func TestLimitEndsWithIncarnation(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newLimitHarness()
	h.observe(1, 0)
	h.register(2)
	is.True(!h.RateLimited("i-1"))
	h.observe(1, 0)
	is.True(!h.RateLimited("i-1")) // A late response of the earlier incarnation.
}

// TestReportedEndOfLimit checks that the end of a limit that a peer reports is not taken for later than it was by the time the report took,
// and that an older report of the limit does not bring it back.
func TestReportedEndOfLimit(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h, peer := newLimitHarness(), newLimitHarness()
	peer.observe(1, 0)
	limited := peer.LimitReports()
	is.Equal(len(limited), 1)
	is.NoErr(limited[0].Check())
	h.MergeLimit(limited[0])
	is.True(h.RateLimited("i-1"))

	peer.now = peer.now.Add(100 * time.Millisecond)
	peer.observe(-1, 0)
	h.now = h.now.Add(300 * time.Millisecond)
	h.observe(1, 0) // The server names the limit again before the report arrives.
	h.now = h.now.Add(300 * time.Millisecond)
	h.MergeLimit(peer.LimitReports()[0])
	is.True(h.RateLimited("i-1"))

	peer.now, h.now = peer.now.Add(5*time.Second), h.now.Add(5*time.Second)
	peer.observe(-1, 0)
	h.MergeLimit(peer.LimitReports()[0])
	is.True(!h.RateLimited("i-1"))
	limited[0].SentAgeMS, limited[0].ReceivedAgeMS = 6000, 6000
	h.MergeLimit(limited[0])
	is.True(!h.RateLimited("i-1"))
	peer.now = peer.now.Add(time.Minute)
	is.Equal(len(peer.LimitReports()), 0)
}
