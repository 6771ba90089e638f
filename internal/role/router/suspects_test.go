package router_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/pkg/ident"
)

// blockedReason is in the log line of a request that is refused because it crashed servers.
const blockedReason = `reason="request crashed servers before"`

// startBlockedRequest starts two routers, of which the first has blocked a request.
func startBlockedRequest(t *testing.T) *harness {
	t.Helper()
	h := startRouters(t, 2)
	for _, id := range []ident.Endpoint{"i-2", "i-3", "i-4"} {
		h.startServer(t, id)
	}
	eventually(t, "request blocked", func() bool {
		h.send(0, "/p/vanish", "right")
		return strings.Contains(h.logs[0].String(), blockedReason)
	})
	return h
}

// TestRestartedRouterKnowsBlockedRequests guards against requests that crash servers and reach further ones through routers that have just started.
func TestRestartedRouterKnowsBlockedRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := startBlockedRequest(t)
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
	is := is.New(t)
	h := startBlockedRequest(t)
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
