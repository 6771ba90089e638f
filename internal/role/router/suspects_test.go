package router_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/pkg/ident"
	"vanillapond/platform"
	"vanillapond/platform/platformtest"
)

// blockedReason is in the log line of a request that is refused because it crashed servers.
const blockedReason = `reason="request crashed servers before"`

// crashDowntime is how long a server is down that has crashed.
const crashDowntime = 800 * time.Millisecond

// startCrashingServer starts and registers a server that crashes when it begins to run a request for /p/vanish, and starts again under its id.
func (h *harness) startCrashingServer(t *testing.T, id ident.Endpoint) {
	t.Helper()
	var server *platformtest.Server
	register := func() {
		h.store.Put(platform.ServersTable, string(id), platform.Server{
			Service: "s", Address: server.Address(), Domain: "a", State: platform.ServerReady, Slots: 4, StartedUnixMS: time.Now().UnixMilli(),
		})
	}
	server, err := platformtest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if !strings.HasSuffix(request.URL.Path, "/vanish") {
			w.Header().Set(platform.HeaderRequestID, request.Header.Get(platform.HeaderRequestID))
			w.Header().Set(platform.HeaderSignature, "seal")
			return
		}
		if server.Crash(true) {
			time.AfterFunc(crashDowntime, func() {
				if server.Start() == nil {
					register()
				}
			})
		}
	}))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	register()
}

// startBlockedRequest starts two routers, of which the first has blocked a request, and some servers that crash.
func startBlockedRequest(t *testing.T, servers int) *harness {
	t.Helper()
	h := startRouters(t, 2)
	h.store.Delete(platform.ServersTable, "i-1")
	for number := range servers {
		h.startCrashingServer(t, ident.Endpoint("i-"+strconv.Itoa(number+2)))
	}
	eventually(t, "servers known", func() bool {
		return len(h.state(t, 0).Servers) == servers && !strings.Contains(fmt.Sprint(h.state(t, 0).Servers), "i-1")
	})
	eventually(t, "request blocked", func() bool {
		h.send(0, "/p/vanish", "right")
		return strings.Contains(h.logs[0].String(), blockedReason)
	})
	return h
}

// TestRestartedRouterKnowsBlockedRequests guards against requests that crash servers and reach further ones through routers that have just started.
func TestRestartedRouterKnowsBlockedRequests(t *testing.T) {
	t.Parallel()
	for _, servers := range []int{1, 4} {
		t.Run(strconv.Itoa(servers)+" servers", func(t *testing.T) {
			t.Parallel()
			testRestartedRouterKnowsBlockedRequests(t, servers)
		})
	}
}

func testRestartedRouterKnowsBlockedRequests(t *testing.T, servers int) {
	t.Helper()
	is := is.New(t)
	h := startBlockedRequest(t, servers)
	h.routers[1].Stop(context.Background())
	// Losses are reported to all for 3 s after they were seen.
	time.Sleep(time.Second)
	h.start(t, h.settings[1])
	eventually(t, "ready", func() bool { return status(h.readyURLs[2]) == http.StatusOK })
	eventually(t, "losses known", func() bool { return strings.Count(h.logs[2].String(), "event=loss_received") >= 3 })
	code, _ := h.send(2, "/p/vanish", "right")
	is.Equal(code, http.StatusServiceUnavailable)
	eventually(t, "refusal logged", func() bool { return strings.Contains(h.logs[2].String(), blockedReason) })
	is.True(!strings.Contains(h.logs[2].String(), "event=loss_recorded"))
	h.stop()
}

// TestBlockedRequestsOutliveAllRouters guards against requests that crash three more servers whenever all routers have been restarted.
func TestBlockedRequestsOutliveAllRouters(t *testing.T) {
	t.Parallel()
	for _, servers := range []int{1, 4} {
		t.Run(strconv.Itoa(servers)+" servers", func(t *testing.T) {
			t.Parallel()
			testBlockedRequestsOutliveAllRouters(t, servers)
		})
	}
}

func testBlockedRequestsOutliveAllRouters(t *testing.T, servers int) {
	t.Helper()
	is := is.New(t)
	h := startBlockedRequest(t, servers)
	eventually(t, "request stored", func() bool { return len(h.store.Rows("suspects")) == 1 })
	h.store.Put("suspects", "odd", []byte("[["))
	h.store.Put("suspects", "7", []byte(`{"servers":["i-1","i-2","i-3"],"ends_unix_ms":1}`))
	h.restartAll(t)
	eventually(t, "losses known", func() bool { return strings.Count(h.logs[1].String(), "event=loss_received") >= 3 })
	code, _ := h.send(1, "/p/vanish", "right")
	is.Equal(code, http.StatusServiceUnavailable)
	eventually(t, "refusal logged", func() bool { return strings.Contains(h.logs[1].String(), blockedReason) })
	is.True(!strings.Contains(h.logs[1].String(), "event=loss_recorded"))
	eventually(t, "ended row deleted", func() bool { return len(h.store.Rows("suspects")) == 2 })
	h.stop()
}

// TestResetsBlockNothing guards against popular requests that are refused because connections break while they run, at servers that are sound.
func TestResetsBlockNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := startRouters(t, 1)
	for _, id := range []ident.Endpoint{"i-2", "i-3", "i-4", "i-5"} {
		h.startServer(t, id)
	}
	eventually(t, "servers known", func() bool { return len(h.state(t, 0).Servers) == 5 })
	for range 20 {
		h.send(0, "/p/vanish", "right")
	}
	code, _ := h.send(0, "/p/vanish", "right")
	is.Equal(code, http.StatusBadGateway) // It is still sent.
	h.stop()
	is.True(!strings.Contains(h.logs[0].String(), "event=loss_recorded"))
	is.True(!strings.Contains(h.logs[0].String(), blockedReason))
}
