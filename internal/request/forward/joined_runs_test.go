package forward_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"vanillapond/platform"
)

// streamText returns a handler that sends a stream piece by piece, each in a chunk of its own, and then ends or aborts it.
func streamText(complete bool, pieces ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		setSignature(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		for _, piece := range pieces {
			_, _ = io.WriteString(w, piece)
			_ = http.NewResponseController(w).Flush()
		}
		if !complete {
			panic(http.ErrAbortHandler)
		}
	}
}

// TestResumedStreamWithoutIDs verifies that events without ids, of which nothing shows where their run begins, do not follow the events
// of an interrupted stream.
func TestResumedStreamWithoutIDs(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	handler := interruptOnce(streamText(true, "data: x\n\ndata: x\n\n"))
	h := newHarness(t, 10, handler, handler)
	_, body, err := h.send(t, "/resume/", nil)
	is.True(err != nil)
	is.Equal(body, events(1, 3))
}

// TestResumedStreamWithCommentOnly verifies that a comment does not count as an event: a server that closes the connection behind it may
// still have had events to send.
func TestResumedStreamWithCommentOnly(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	handler := interruptOnce(respondUnframed("text/event-stream", ": connected\n\n", false))
	h := newHarness(t, 10, handler, handler)
	_, body, err := h.send(t, "/resume/", nil)
	is.True(err != nil)
	is.Equal(eventIDs(body), "1 2 3")
}

// TestInterruptedAfterEventWithoutID verifies that a stream whose last event has no id is not resumed, because the server that goes on
// at the last id sends this event again.
func TestInterruptedAfterEventWithoutID(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const unnumbered = "data: unnumbered\n\n"
	handler := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(platform.HeaderLastEventID) == "" {
			streamText(false, events(1, 1)+unnumbered)(w, r)
			return
		}
		streamText(true, unnumbered+events(2, 2))(w, r)
	}
	h := newHarness(t, 10, http.HandlerFunc(handler), http.HandlerFunc(handler))
	_, body, err := h.send(t, "/resume/", nil)
	is.True(err != nil)
	is.Equal(body, events(1, 1)+unnumbered)
}

// TestSecondResponseInUnframedStream verifies that a second response behind a stream that ends with its connection is not passed on as
// a part of the stream.
func TestSecondResponseInUnframedStream(t *testing.T) {
	t.Parallel()
	for name, second := range map[string]string{
		"failure": "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
		"stream":  "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + events(4, 5),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newHarness(t, 0, respondUnframed("text/event-stream", events(1, 3)+second, false))
			_, body, _ := h.send(t, "/stream/", nil)
			is.True(!strings.Contains(body, "HTTP/1.1"))
			is.True(!strings.Contains(body, "id: 4"))
		})
	}
}

// TestLineEndsOfSoundStream verifies that a complete stream is not taken for a broken one because of its line ends.
func TestLineEndsOfSoundStream(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ name, start, end string }{
		{name: "blank line at the end", start: events(1, 2), end: "\n"},
		{name: "blank line with a carriage return at the end", start: events(1, 2), end: "\r\n"},
		{name: "carriage return in the blank line only", start: events(1, 2), end: "data: x\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			received := make(chan struct{})
			h := newHarness(t, 0, func(w http.ResponseWriter, r *http.Request) {
				streamText(true, c.start)(w, r)
				<-received
				_, _ = io.WriteString(w, c.end)
			})
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, h.url+"/stream/", strings.NewReader("body"))
			is.NoErr(err)
			request.Host = host
			request.Header.Set(platform.HeaderRequestID, "id-1")
			request.Header.Set("Authorization", platform.KeyScheme+"right")
			response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
			is.NoErr(err)
			defer func() { _ = response.Body.Close() }()
			start := make([]byte, len(c.start))
			_, err = io.ReadFull(response.Body, start)
			is.NoErr(err)
			close(received)
			end, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(string(start)+string(end), c.start+c.end)
		})
	}
}

// TestResponseWithoutBodyOnStreamRoute verifies that a complete response that has no body is delivered.
func TestResponseWithoutBodyOnStreamRoute(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name, method string
		status       int
	}{
		{name: "head", method: http.MethodHead, status: http.StatusOK},
		{name: "no content", method: http.MethodPost, status: http.StatusNoContent},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newHarness(t, 0, func(w http.ResponseWriter, r *http.Request) {
				setSignature(w, r)
				w.WriteHeader(c.status)
			})
			response, _, err := h.send(t, "/stream/", func(r *http.Request) {
				r.Method = c.method
				if c.method == http.MethodHead {
					r.Body, r.ContentLength = http.NoBody, 0
				}
			})
			is.NoErr(err)
			is.Equal(response.StatusCode, c.status)
		})
	}
}

// TestHeadLength verifies that the response to a HEAD request states the length of the body that is left out.
func TestHeadLength(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newHarness(t, 0, func(w http.ResponseWriter, r *http.Request) {
		setSignature(w, r)
		w.Header().Set("Content-Length", "100")
	})
	response, _, err := h.send(t, "/get/", func(r *http.Request) { r.Method, r.Body, r.ContentLength = http.MethodHead, http.NoBody, 0 })
	is.NoErr(err)
	is.Equal(response.Header.Get("Content-Length"), "100")
}

// TestFailureDeclaredAsStream verifies that a complete error response is delivered although its content is not the event stream that
// its header declares.
func TestFailureDeclaredAsStream(t *testing.T) {
	t.Parallel()
	for _, route := range []string{"get", "once", "stream"} {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			const problem = `{"error":"prompt is too long"}`
			h := newHarness(t, 0, respondWith(http.StatusBadRequest, "text/event-stream", problem))
			response, body, err := h.send(t, "/"+route+"/", nil)
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusBadRequest)
			is.Equal(body, problem)
		})
	}
}
