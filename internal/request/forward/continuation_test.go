package forward_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/platform"
)

// respondWith returns a handler that sends a signed response with the status, content type and body.
func respondWith(status int, contentType, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		setSignature(w, r)
		w.Header().Set("Content-Type", contentType)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// interruptOnce returns a handler that interrupts a stream after its third event, and handles what resumes it with next, one
// handler after the other; the last one handles all further requests.
func interruptOnce(next ...http.HandlerFunc) http.HandlerFunc {
	var resumed atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(platform.HeaderLastEventID) == "" {
			streamEvents(1, 3, false)(w, r)
			return
		}
		next[min(int(resumed.Add(1))-1, len(next)-1)](w, r)
	}
}

// encoded returns a handler that declares a content encoding for the response of another handler.
func encoded(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Encoding", "gzip")
		handler(w, r)
	}
}

// stall waits until the request is canceled.
func stall(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// unsignedEvents sends a stream without a signature.
func unsignedEvents(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, "id: 4\ndata: x\n\n")
}

// TestResponseAfterEvents verifies that nothing but later events of the same stream follows events that the caller already has, and
// that the response does not end as complete otherwise: a failure at the server that resumes an interrupted stream was written
// behind the events, and the body then ended regularly.
func TestResponseAfterEvents(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name     string
		resumed  []http.HandlerFunc
		ids      string
		complete bool
	}{
		{name: "server error", resumed: []http.HandlerFunc{respondError}, ids: "1 2 3"},
		{name: "server error with body", resumed: []http.HandlerFunc{respondWith(500, "text/plain", "id: 4\n\n")}, ids: "1 2 3"},
		{name: "client error", resumed: []http.HandlerFunc{respondWith(404, "text/plain", "no")}, ids: "1 2 3"},
		{name: "redirect", resumed: []http.HandlerFunc{respondWith(302, "text/plain", "")}, ids: "1 2 3"},
		{name: "refusal", resumed: []http.HandlerFunc{refuseNotRun}, ids: "1 2 3"},
		{name: "other kind of response", resumed: []http.HandlerFunc{respondWith(200, "text/plain", "id: 4\n\n")}, ids: "1 2 3"},
		{name: "empty other response", resumed: []http.HandlerFunc{respondWith(200, "text/plain", "")}, ids: "1 2 3"},
		{name: "no content", resumed: []http.HandlerFunc{respondWith(204, "text/event-stream", "")}, ids: "1 2 3"},
		{name: "without signature", resumed: []http.HandlerFunc{unsignedEvents}, ids: "1 2 3"},
		{name: "with encoding", resumed: []http.HandlerFunc{encoded(streamEvents(4, 5, true))}, ids: "1 2 3"},
		{name: "connection closed", resumed: []http.HandlerFunc{closeWithoutResponse}, ids: "1 2 3"},
		{name: "silence until the deadline", resumed: []http.HandlerFunc{stall}, ids: "1 2 3"},
		{name: "from the start again", resumed: []http.HandlerFunc{streamEvents(1, 5, true)}, ids: "1 2 3"},
		{name: "later events", resumed: []http.HandlerFunc{streamEvents(4, 5, true)}, ids: "1 2 3 4 5", complete: true},
		{name: "end without further events", resumed: []http.HandlerFunc{respondWith(200, "text/event-stream", "")}, ids: "1 2 3", complete: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			handler := interruptOnce(c.resumed...)
			h := newHarness(t, 10, handler, handler)
			response, body, err := h.send(t, "/resume/", nil)
			is.Equal(response.StatusCode, http.StatusOK)
			is.Equal(eventIDs(body), c.ids)
			is.Equal(err == nil, c.complete)
		})
	}
}

// TestStreamResumedAfterFailure verifies that a stream goes on at a third server when the second one failed to resume it.
func TestStreamResumedAfterFailure(t *testing.T) {
	t.Parallel()
	for name, failure := range map[string]http.HandlerFunc{
		"server error": respondError, "refusal": refuseNotRun, "connection closed": closeWithoutResponse, "without signature": unsignedEvents,
		"from the start again": streamEvents(1, 5, true),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			handler := interruptOnce(failure, streamEvents(4, 5, true))
			h := newHarness(t, 10, handler, handler, handler)
			changed := configuration(2)
			for index := range changed.Routes {
				changed.Routes[index].MaxServers = 3
			}
			h.current.Advance(changed)
			h.current.Confirm(h.clockReading(), 2)
			_, body, err := h.send(t, "/resume/", nil)
			is.NoErr(err)
			is.Equal(eventIDs(body), "1 2 3 4 5")
		})
	}
}

// TestRouteChangedDuringStream verifies that a stream whose route becomes a route of another kind while it runs is not continued by
// a response of that kind.
func TestRouteChangedDuringStream(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var h *harness
	handler := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(platform.HeaderLastEventID) != "" {
			respondOK("whole")(w, r)
			return
		}
		changed := configuration(2)
		for index := range changed.Routes {
			changed.Routes[index].Kind = platform.Idempotent
		}
		h.current.Advance(changed)
		h.current.Confirm(h.clockReading(), 2)
		streamEvents(1, 3, false)(w, r)
	}
	h = newHarness(t, 10, handler, handler)
	start := time.Now()
	_, body, err := h.send(t, "/resume/", nil)
	is.True(err != nil)
	is.Equal(eventIDs(body), "1 2 3")
	is.True(time.Since(start) < time.Second)
}
