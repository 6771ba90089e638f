package forward_test

import (
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"

	"vanillapond/internal/connection/servers"
	"vanillapond/internal/process/clock"

	"vanillapond/pkg/ident"
)

// TestLimitNamedBeforeSending guards against refusing a request whose only server names a rate limit after it was picked and before the request is sent:
// the server got nothing, and takes the request in its next turn.
func TestLimitNamedBeforeSending(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newHarness(t, 0, respondOK("a"))
	var once sync.Once
	h.onDial = func() {
		once.Do(func() {
			now := clock.Boot()
			h.servers.ObserveLimit(servers.LimitStatement{
				Server: ident.ServerStart{ID: h.registered[0].ID}, Limited: true, Rate: 4, SentAt: now, ReceivedAt: now,
			})
			for {
				if _, ok := h.servers.TakeTurn(h.registered[0].ID); !ok {
					return
				}
			}
		})
	}
	status, body := h.post(t, "/once/x", "text")
	is.Equal(status, http.StatusOK)
	is.Equal(body, "a")
}
