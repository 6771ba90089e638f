package forward_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"vanillapond/pkg/ident"
	"vanillapond/platform"
)

// TestUnreachableServersUseNoRetryBudget checks that a retry for which two servers are tried that can't be reached draws on the budget once.
func TestUnreachableServersUseNoRetryBudget(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	fails := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	h := newHarness(t, 1, fails, respondOK("again"))
	// With these ids the balancer picks i0 first and i1 last.
	for _, id := range []ident.Endpoint{"downa", "down2f"} {
		down := httptest.NewServer(http.NotFoundHandler())
		down.Close()
		h.registered = append(h.registered, platform.Server{
			ID: id, Service: "plain", Address: down.Listener.Addr().String(), State: platform.ServerReady, Slots: 4,
		})
	}
	h.servers.Update(h.registered, nil, true)
	response, body, err := h.send(t, "/get/", nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(body, "again")
	outcomes := make([]string, 0, 4)
	for _, attempt := range h.records[0].Attempts {
		outcomes = append(outcomes, attempt.Outcome)
	}
	is.Equal(outcomes, []string{"lost", "unreached", "unreached", "done"})
}
