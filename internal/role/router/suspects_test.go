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

// TestRestartedRouterKnowsBlockedRequests guards against requests that crash servers and reach further ones through routers that have just started.
func TestRestartedRouterKnowsBlockedRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := startRouters(t, 2)
	for _, id := range []ident.Endpoint{"i-2", "i-3", "i-4"} {
		h.startServer(t, id)
	}
	blocked := `reason="request crashed servers before"`
	eventually(t, "request blocked", func() bool {
		h.send(0, "/p/vanish", "right")
		return strings.Contains(h.logs[0].String(), blocked)
	})
	h.routers[1].Stop(context.Background())
	// Losses are reported to all for 3 s after they were seen.
	time.Sleep(time.Second)
	h.start(t, h.settings[1])
	eventually(t, "ready", func() bool { return status(h.readyURLs[2]) == http.StatusOK })
	eventually(t, "losses known", func() bool { return strings.Count(h.logs[2].String(), "event=loss_received") >= 3 })
	code, _ := h.send(2, "/p/vanish", "right")
	is.Equal(code, http.StatusServiceUnavailable)
	eventually(t, "refusal logged", func() bool { return strings.Contains(h.logs[2].String(), blocked) })
	is.True(!strings.Contains(h.logs[2].String(), "event=loss_recorded"))
	h.stop()
}
