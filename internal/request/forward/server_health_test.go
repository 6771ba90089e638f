package forward_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"vanillapond/platform"
)

// makeLoadAware gives the streams of the engine service a pause that makes the plain service load-aware.
func (h *harness) makeLoadAware() {
	next := configuration(2)
	for index := range next.Routes {
		if next.Routes[index].Name == "engine" {
			next.Routes[index].MaxPause = 300
		}
	}
	h.current.Advance(next)
	h.current.Confirm(h.now, 2)
}

// TestWritesAvoidServerThatBroke guards against the loss of requests with one attempt at a server that breaks its connections: after the first one, none is
// sent there, while requests that may run twice show when it is sound again.
func TestWritesAvoidServerThatBroke(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newHarness(t, 100, closeWithoutResponse, respondOK("sound"))
	h.makeLoadAware()
	failed := 0
	for range 30 {
		response, _, err := h.send(t, "/once/x", nil)
		is.NoErr(err)
		if response.StatusCode != http.StatusOK {
			failed++
		}
	}
	is.True(failed <= 1)
	for range 10 {
		response, body, err := h.send(t, "/get/x", nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK)
		is.Equal(body, "sound")
	}
}

// TestWriteIsNotRepeatedAfterError checks that an error response to a request that must not run twice is passed on, while one that may run twice goes to
// another server.
func TestWriteIsNotRepeatedAfterError(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newHarness(t, 100, respondError, respondError)
	h.makeLoadAware()
	for path, attempts := range map[string]int{"/once/x": 1, "/get/x": 2} {
		response, _, err := h.send(t, path, func(r *http.Request) { r.Header.Set(platform.HeaderRequestID, "id-"+path[1:3]) })
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusInternalServerError)
		is.Equal(len(h.records[len(h.records)-1].Attempts), attempts)
	}
}
