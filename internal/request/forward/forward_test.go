package forward_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/request/admission"
	"vanillapond/internal/request/placement"
	"vanillapond/platform"
)

// TestRetries verifies which failures of the first server lead to a retry at the other, by the kind of the route. Requests of
// the route "once", which is not idempotent, must not be retried if the first server may have run them.
func TestRetries(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		first  http.HandlerFunc
		path   string
		status int
		// laterCalls is how often the request was sent after its first attempt.
		laterCalls int
	}{
		{name: "refused as not run, idempotent", first: refuseNotRun, path: "/get/", status: 200, laterCalls: 1},
		{name: "refused as not run, once", first: refuseNotRun, path: "/once/", status: 200, laterCalls: 1},
		{name: "another server at the address, once", first: respondMisdirected, path: "/once/", status: 200, laterCalls: 1},
		{name: "connection closed, idempotent", first: closeWithoutResponse, path: "/get/", status: 200, laterCalls: 1},
		{name: "connection closed, once", first: closeWithoutResponse, path: "/once/", status: 502},
		{name: "truncated, idempotent", first: truncateResponse, path: "/get/", status: 200, laterCalls: 1},
		{name: "truncated, once", first: truncateResponse, path: "/once/", status: 502},
		{name: "failed, idempotent", first: respondError, path: "/get/", status: 200, laterCalls: 1},
		{name: "failed, once", first: respondError, path: "/once/", status: 500},
		{name: "unsigned, once", first: respondUnsigned, path: "/once/", status: 502},
		{name: "unsigned, idempotent", first: respondUnsigned, path: "/get/", status: 200, laterCalls: 1},
		{name: "refused as not run, one server allowed", first: refuseNotRun, path: "/open/", status: 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var mu sync.Mutex
			calls, laterCalls := 0, 0
			// Both servers share the handler, because either may be picked first: the first call behaves as the test case says.
			handler := func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				calls++
				first := calls == 1
				if !first {
					laterCalls++
				}
				mu.Unlock()
				if first {
					c.first(w, r)
					return
				}
				respondOK("second")(w, r)
			}
			h := newHarness(t, 10, handler, handler)
			response, _, err := h.send(t, c.path, nil)
			is.NoErr(err)
			is.Equal(response.StatusCode, c.status)
			mu.Lock()
			is.Equal(laterCalls, c.laterCalls)
			mu.Unlock()
			if c.status == http.StatusServiceUnavailable {
				is.True(response.Header.Get("Retry-After") != "")
			}
		})
	}
}

// TestRetryBudget verifies that retries stop when the retry budget is used up.
func TestRetryBudget(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newHarness(t, 1, refuseNotRun, refuseNotRun)
	response, _, err := h.send(t, "/get/", nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	h.mu.Lock()
	is.Equal(len(h.records[0].Attempts), 2)
	h.mu.Unlock()
	_, _, err = h.send(t, "/get/", nil)
	is.NoErr(err)
	h.mu.Lock()
	is.Equal(len(h.records[1].Attempts), 1)
	h.mu.Unlock()
}

// TestAdmission verifies which requests are denied, and which are refused with status 503 while the configuration is stale.
func TestAdmission(t *testing.T) {
	t.Parallel()
	key := func(values ...string) func(*http.Request) {
		return func(r *http.Request) { r.Header["Authorization"] = values }
	}
	for _, c := range []struct {
		name   string
		path   string
		change func(*http.Request)
		age    time.Duration
		status int
	}{
		{name: "right key", path: "/get/", status: 200},
		{name: "no key", path: "/get/", change: key(), status: 401},
		{name: "no key on an open route", path: "/open/", change: key(), status: 200},
		{name: "wrong key", path: "/get/", change: key(platform.KeyScheme + "wrong"), status: 401},
		{name: "two keys", path: "/get/", change: key(platform.KeyScheme+"right", platform.KeyScheme+"wrong"), status: 400},
		{name: "other scheme", path: "/get/", change: key("Basic right"), status: 400},
		{name: "no route", path: "/none/", status: 404},
		{name: "other host", path: "/get/", change: func(r *http.Request) { r.Host = "other.example" }, status: 404},
		{name: "prefix without its slash", path: "/get", status: 404},
		{name: "large body", path: "/get/", change: func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 1001))), 1001
		}, status: 413},
		{name: "large chunked body", path: "/get/", change: func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 1001))), -1
		}, status: 413},
		{name: "chunked body", path: "/get/", change: func(r *http.Request) { r.ContentLength = -1 }, status: 200},
		{name: "large head", path: "/get/", change: func(r *http.Request) { r.Header.Set("X-Large", strings.Repeat("x", 16384)) }, status: 431},
		{name: "unknown key, stale configuration", path: "/get/", change: key(platform.KeyScheme + "wrong"), age: 3 * time.Second, status: 503},
		{name: "unknown route, stale configuration", path: "/none/", age: 3 * time.Second, status: 503},
		{name: "known key, stale configuration", path: "/get/", age: 3 * time.Second, status: 200},
		{name: "known key, configuration too old to accept keys", path: "/get/", age: 5 * time.Second, status: 503},
		{name: "open route, stale configuration", path: "/open/", age: 5 * time.Second, status: 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newHarness(t, 10, respondOK("ok"))
			h.advanceClock(c.age)
			response, _, err := h.send(t, c.path, c.change)
			is.NoErr(err)
			is.Equal(response.StatusCode, c.status)
		})
	}
}

// TestHeaders verifies what a server gets of a request: the target unchanged, the router's own header fields instead of those
// that the caller forged, and neither the key nor hop-by-hop fields.
func TestHeaders(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	seen := make(chan *http.Request, 1)
	h := newHarness(t, 0, func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Clone(context.WithoutCancel(r.Context()))
		respondOK("ok")(w, r)
	})
	_, _, err := h.send(t, "/get/x%2Fy?q=1", func(r *http.Request) {
		for _, name := range platform.ReservedHeaders() {
			if name != platform.HeaderDeadline {
				r.Header.Set(name, "forged")
			}
		}
		for name, value := range map[string]string{"Connection": "X-Secret", "X-Secret": "s", "X-Own": "kept"} {
			r.Header.Set(name, value)
		}
	})
	is.NoErr(err)
	got := <-seen
	is.Equal(got.RequestURI, "/get/x%2Fy?q=1")
	is.Equal(got.Host, host)
	is.Equal(got.Header.Get(platform.HeaderCustomer), "school")
	is.Equal(got.Header.Get(platform.HeaderExpectedServer), "i0")
	is.Equal(got.Header.Get("X-Own"), "kept")
	for _, name := range append(platform.ReservedHeaders(), "Authorization", "X-Secret") {
		is.True(got.Header.Get(name) != "forged" && got.Header.Get(name) != "s")
	}
	is.Equal(got.Header.Get("Authorization"), "")
	remaining, err := strconv.Atoi(got.Header.Get(platform.HeaderDeadline))
	is.NoErr(err)
	is.True(remaining > 500 && remaining <= 1000) // The route's timeout is shorter than the caller's.
	is.Equal(h.startCount("school"), 1)
}

// TestPriorityLevelsMatch verifies that admission and placement have the same number of priority levels, because the forwarder
// converts one to the other.
func TestPriorityLevelsMatch(t *testing.T) {
	t.Parallel()
	is.New(t).Equal(admission.PriorityLevels, placement.PriorityLevels)
}
