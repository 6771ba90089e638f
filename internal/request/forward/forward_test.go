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

// TestRepeats holds which failures are made good at another server, by the kind of request.
//
// Each case begins at the first handler, because the second is out of reach until the first was tried.
func TestRepeats(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		first  http.HandlerFunc
		path   string
		status int
		// ran is how often a server other than the first ran the request.
		second int
	}{
		{name: "not run, idempotent", first: full, path: "/get/", status: 200, second: 1},
		{name: "not run, once", first: full, path: "/once/", status: 200, second: 1},
		{name: "another server there, once", first: elsewhere, path: "/once/", status: 200, second: 1},
		{name: "vanished, idempotent", first: vanishing, path: "/get/", status: 200, second: 1},
		{name: "vanished, once", first: vanishing, path: "/once/", status: 502},
		{name: "cut, idempotent", first: cutting, path: "/get/", status: 200, second: 1},
		{name: "cut, once", first: cutting, path: "/once/", status: 502},
		{name: "failed, idempotent", first: failing, path: "/get/", status: 200, second: 1},
		{name: "failed, once", first: failing, path: "/once/", status: 500},
		{name: "unsealed, once", first: unsealed, path: "/once/", status: 502},
		{name: "unsealed, idempotent", first: unsealed, path: "/get/", status: 200, second: 1},
		{name: "not run, one server allowed", first: full, path: "/open/", status: 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var mu sync.Mutex
			tried, second := 0, 0
			// Whichever server gets the request first behaves as the case says.
			handler := func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				tried++
				begins := tried == 1
				if !begins {
					second++
				}
				mu.Unlock()
				if begins {
					c.first(w, r)
					return
				}
				good("second")(w, r)
			}
			rig := start(t, 10, handler, handler)
			response, _, err := rig.ask(t, c.path, nil)
			is.NoErr(err)
			is.Equal(response.StatusCode, c.status)
			mu.Lock()
			is.Equal(second, c.second)
			mu.Unlock()
			if c.status == http.StatusServiceUnavailable {
				is.True(response.Header.Get("Retry-After") != "")
			}
		})
	}
}

// TestBudget holds that repeats stop when the budget is used up.
func TestBudget(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	rig := start(t, 1, full, full)
	response, _, err := rig.ask(t, "/get/", nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	rig.mu.Lock()
	is.Equal(len(rig.records[0].Sends), 2)
	rig.mu.Unlock()
	_, _, err = rig.ask(t, "/get/", nil)
	is.NoErr(err)
	rig.mu.Lock()
	is.Equal(len(rig.records[1].Sends), 1)
	rig.mu.Unlock()
}

// TestAdmission holds what is denied, and what is only put off while the configuration is old.
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
		{name: "large body in chunks", path: "/get/", change: func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 1001))), -1
		}, status: 413},
		{name: "body in chunks", path: "/get/", change: func(r *http.Request) { r.ContentLength = -1 }, status: 200},
		{name: "large head", path: "/get/", change: func(r *http.Request) { r.Header.Set("X-Large", strings.Repeat("x", 16384)) }, status: 431},
		{name: "unknown key, old configuration", path: "/get/", change: key(platform.KeyScheme + "wrong"), age: 3 * time.Second, status: 503},
		{name: "unknown route, old configuration", path: "/none/", age: 3 * time.Second, status: 503},
		{name: "known key, old configuration", path: "/get/", age: 3 * time.Second, status: 200},
		{name: "known key, older than keys are trusted", path: "/get/", age: 5 * time.Second, status: 503},
		{name: "open route, old configuration", path: "/open/", age: 5 * time.Second, status: 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			rig := start(t, 10, good("ok"))
			rig.pass(c.age)
			response, _, err := rig.ask(t, c.path, c.change)
			is.NoErr(err)
			is.Equal(response.StatusCode, c.status)
		})
	}
}

// TestHeaders holds what a server sees of a request.
func TestHeaders(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	seen := make(chan *http.Request, 1)
	rig := start(t, 0, func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Clone(context.WithoutCancel(r.Context()))
		good("ok")(w, r)
	})
	_, _, err := rig.ask(t, "/get/x%2Fy?q=1", func(r *http.Request) {
		for _, name := range platform.SystemHeaders() {
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
	is.Equal(got.Header.Get(platform.HeaderExpect), "i0")
	is.Equal(got.Header.Get("X-Own"), "kept")
	for _, name := range append(platform.SystemHeaders(), "Authorization", "X-Secret") {
		is.True(got.Header.Get(name) != "forged" && got.Header.Get(name) != "s")
	}
	is.Equal(got.Header.Get("Authorization"), "")
	left, err := strconv.Atoi(got.Header.Get(platform.HeaderDeadline))
	is.NoErr(err)
	is.True(left > 500 && left <= 1000) // The route's timeout is shorter than the caller's.
	is.Equal(rig.counted("school"), 1)
}

// TestRanksAgree holds that admission tells all levels of engines apart, because one is used as the other.
func TestRanksAgree(t *testing.T) {
	t.Parallel()
	is.New(t).Equal(admission.PriorityLevels, placement.PriorityLevels)
}
