package forward_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"vanillapond/platform"
)

// respondRan returns a handler of a server that has run the request and responds with a status, and with a time to retry.
func respondRan(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		setSignature(w, r)
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// TestUnprovenRefusal guards against requests that run twice: a server runs a request that must run at most once and responds with a status by which
// callers are told that it did not run, without the header that says so.
func TestUnprovenRefusal(t *testing.T) {
	t.Parallel()
	afterRefusal := func(then http.HandlerFunc) http.HandlerFunc {
		var calls atomic.Int64
		return func(w http.ResponseWriter, r *http.Request) {
			if calls.Add(1) == 1 {
				refuseNotRun(w, r)
				return
			}
			then(w, r)
		}
	}
	afterEarlyHints := func(then http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.WriteHeader(http.StatusEarlyHints)
			then(w, r)
		}
	}
	asIs := func(then http.HandlerFunc) http.HandlerFunc { return then }
	const short = "database is unavailable"
	long := strings.Repeat(short, 8192)
	for _, form := range []struct {
		name string
		wrap func(http.HandlerFunc) http.HandlerFunc
		body string
	}{
		{"first attempt", asIs, short},
		{"later attempt", afterRefusal, short},
		{"long body", asIs, long},
		{"long body at a later attempt", afterRefusal, long},
		{"no body", asIs, ""},
		{"after an interim response", afterEarlyHints, short},
	} {
		for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusInternalServerError, http.StatusBadRequest} {
			for _, route := range []struct {
				path      string
				runsTwice bool
			}{{"/once/", false}, {"/stream/", false}, {"/get/", true}, {"/resume/", true}} {
				t.Run(form.name+route.path+http.StatusText(status), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					handler := form.wrap(respondRan(status, form.body))
					h := newHarness(t, 10, handler, handler)
					response, body, err := h.send(t, route.path, nil)
					is.NoErr(err)
					is.Equal(body, form.body)
					is.Equal(response.Header.Get(platform.HeaderRequestID), "id-1")
					isPromise := status != http.StatusInternalServerError && status != http.StatusBadRequest
					if isPromise && !route.runsTwice {
						is.Equal(response.StatusCode, http.StatusBadGateway)
						// A signature vouches for the server's status.
						is.Equal(response.Header.Get(platform.HeaderSignature), "")
						is.Equal(response.Header.Get("Retry-After"), "")
						return
					}
					is.Equal(response.StatusCode, status)
					is.Equal(response.Header.Get(platform.HeaderSignature), "seal")
				})
			}
		}
	}
}

// TestProvenRefusal verifies that a server's word that it did not run a request still reaches the caller, also after another server has said so.
func TestProvenRefusal(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/once/", "/stream/", "/get/", "/resume/"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newHarness(t, 10, refuseNotRun, refuseNotRun)
			response, _, err := h.send(t, path, nil)
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusServiceUnavailable)
			is.True(response.Header.Get("Retry-After") != "")
		})
	}
}
