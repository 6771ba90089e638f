package router_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"vanillapond/pkg/ident"
	"vanillapond/platform"
	"vanillapond/platform/platformtest"
)

// startOldVersion starts routers, of which each knows two servers of the version v1 and none of another.
func startOldVersion(t *testing.T, count int) *harness {
	t.Helper()
	h := startRouters(t, count)
	h.store.Delete(platform.ServersTable, "i-1")
	for _, id := range []ident.Endpoint{"i-10", "i-11"} {
		h.startStreamServer(t, id, "")
	}
	for index := range count {
		eventually(t, "servers known", func() bool { return len(h.state(t, index).Servers) == 2 })
		eventually(t, "peers known", func() bool { return len(h.state(t, index).Peers) == count-1 })
	}
	return h
}

// TestStreamTakenUpBesideOutdatedList guards against streams that are joined from two software versions at routers that are out of step: their lists of
// servers do not show a version that has just joined, nobody has noticed that they are cut off from the store, and they confirm each other's lists.
func TestStreamTakenUpBesideOutdatedList(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		routers int
	}{{"one router", 1}, {"two routers that reach each other", 2}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := startOldVersion(t, c.routers)
			eventually(t, "stream goes on while the store responds", func() bool {
				status, versions, _ := h.stream(t, 0, "second-known", "first-elsewhere", 2)
				return status == http.StatusOK && len(versions) == 2
			})
			h.store.InjectFaults(func(string, int) platformtest.Fault { return platformtest.Hang })
			// A server of v2 joins now, and a stream begins there through another router and breaks.
			status, _, retryAfter := h.stream(t, 0, "second-unknown", "first-elsewhere-2", 2)
			is.Equal(status, http.StatusServiceUnavailable)
			is.True(retryAfter != "")
			h.store.ClearFaults()
			h.stop()
		})
	}
}

// TestVersionThatCameAndWent guards against streams that are joined from two software versions at a router that was cut off while servers of a version
// came and went: its list shows none of them.
func TestVersionThatCameAndWent(t *testing.T) {
	t.Parallel()
	for name, truncate := range map[string]bool{"changes": false, "history is gone": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := startOldVersion(t, 1)
			eventually(t, "versions stored", func() bool { return len(h.store.Rows("software")) > 0 })
			h.store.InjectFaults(func(string, int) platformtest.Fault { return platformtest.Reset })
			eventually(t, "store lost", func() bool { return strings.Contains(h.logs[0].String(), "event=store_lost") })
			h.startStreamServer(t, "i-20", "v2")
			h.store.Delete(platform.ServersTable, "i-20")
			// Another router has seen v2, as one must before a stream begins there.
			h.store.Put("software", "s", []byte(`{"since_ms":0,"present":[""],"gone_ms":{"v2":4000000000}}`))
			if truncate {
				h.store.TruncateHistory()
			}
			h.store.ClearFaults()
			eventually(t, "servers missed", func() bool { return strings.Contains(h.logs[0].String(), "event=servers_missed") })
			for range 10 {
				status, _, _ := h.stream(t, 0, "second-unknown", "first-at-v2", 2)
				is.Equal(status, http.StatusServiceUnavailable)
			}
			h.stop()
		})
	}
}
