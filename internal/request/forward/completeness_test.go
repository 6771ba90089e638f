package forward_test

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"vanillapond/platform"
)

// respondUnframed returns a handler that sends a response with neither a length nor chunks, which ends with its connection: by a
// reset or in order.
func respondUnframed(contentType, body string, reset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, buffer, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = buffer.WriteString("HTTP/1.1 200 OK\r\nContent-Type: " + contentType + "\r\n" +
			platform.HeaderRequestID + ": " + r.Header.Get(platform.HeaderRequestID) + "\r\n" +
			platform.HeaderSignature + ": seal\r\n\r\n" + body)
		_ = buffer.Flush()
		if tcp, ok := conn.(*net.TCPConn); ok && reset {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// events returns the events from..to of a stream.
func events(from, to int) string {
	var text strings.Builder
	for id := from; id <= to; id++ {
		text.WriteString("id: " + strconv.Itoa(id) + "\ndata: x\n\n")
	}
	return text.String()
}

// TestUnframedStreamBrokenOff verifies that a stream which ends with its connection is complete only if it ends between two events, and
// in order.
func TestUnframedStreamBrokenOff(t *testing.T) {
	t.Parallel()
	const eventStream = "text/event-stream"
	for _, c := range []struct {
		name, body string
		reset      bool
		// ids are the events that the caller may get, in this order.
		ids      string
		complete bool
	}{
		{name: "whole", body: events(1, 3), ids: "1 2 3", complete: true},
		{name: "reset", body: events(1, 3) + "id: 4\n", reset: true, ids: "1 2 3"},
		{name: "inside a line", body: events(1, 3) + "id: 4\nda", ids: "1 2 3"},
		{name: "after a line", body: events(1, 3) + "id: 4\ndata: x\n", ids: "1 2 3"},
		{name: "after a carriage return", body: events(1, 3) + "id: 4\r\ndata: x\r\n\r", ids: "1 2 3"},
		{name: "events again", body: events(1, 3) + events(1, 3), ids: "1 2 3"},
		{name: "events out of order", body: events(1, 2) + events(4, 4) + events(3, 3), ids: "1 2 4"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newHarness(t, 10, respondUnframed(eventStream, c.body, c.reset))
			response, body, err := h.send(t, "/stream/", nil)
			is.Equal(err == nil && response.StatusCode == http.StatusOK, c.complete)
			is.True(strings.HasPrefix(c.ids, eventIDs(body)))
			is.True(!c.complete || eventIDs(body) == c.ids)
		})
	}
}

// TestResumedStreamWithoutEvents verifies that a stream is not complete because the server that resumed it closed the connection before
// its first event.
func TestResumedStreamWithoutEvents(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		resumed http.HandlerFunc
		ids     string
		whole   bool
	}{
		{name: "closed", resumed: respondUnframed("text/event-stream", "", false), ids: "1 2 3"},
		{name: "reset", resumed: respondUnframed("text/event-stream", "", true), ids: "1 2 3"},
		{name: "inside its first event", resumed: respondUnframed("text/event-stream", "id: 4\n", false), ids: "1 2 3"},
		{name: "resumed whole", resumed: respondUnframed("text/event-stream", events(4, 5), false), ids: "1 2 3 4 5", whole: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			handler := interruptOnce(c.resumed)
			h := newHarness(t, 10, handler, handler)
			_, body, err := h.send(t, "/resume/", nil)
			is.Equal(eventIDs(body), c.ids)
			is.Equal(err == nil, c.whole)
		})
	}
}

// TestBrokenStreamOnOtherRoute verifies that an event stream that ends inside an event is not complete on a route that is not meant for
// streams.
func TestBrokenStreamOnOtherRoute(t *testing.T) {
	t.Parallel()
	long := strings.Repeat("data: 0123456789\n\n", 8192)
	for _, c := range []struct {
		name, contentType, body string
		complete                bool
	}{
		{name: "whole", contentType: "text/event-stream", body: events(1, 3), complete: true},
		{name: "broken off", contentType: "text/event-stream", body: events(1, 3) + "id: 4\nda"},
		{name: "with a parameter", contentType: "Text/Event-Stream; charset=utf-8", body: events(1, 3) + "id: 4\nda"},
		{name: "long and whole", contentType: "text/event-stream", body: long, complete: true},
		{name: "long and broken off", contentType: "text/event-stream", body: long + "da"},
		{name: "other content", contentType: "text/plain", body: "da", complete: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newHarness(t, 0, respondUnframed(c.contentType, c.body, false))
			response, body, err := h.send(t, "/once/", nil)
			is.Equal(err == nil && response.StatusCode == http.StatusOK && body == c.body, c.complete)
			is.Equal(err == nil && response.StatusCode == http.StatusOK, c.complete)
		})
	}
}

// TestLongFailure verifies that an error response longer than the router's buffer reaches the caller whole, or visibly truncated if the
// server breaks it off.
func TestLongFailure(t *testing.T) {
	t.Parallel()
	whole := strings.Repeat("0123456789abcdef", 8192)
	t.Run("whole", func(t *testing.T) {
		t.Parallel()
		is := is.New(t)
		h := newHarness(t, 0, respondWith(http.StatusNotFound, "text/plain", whole))
		response, body, err := h.send(t, "/once/", nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusNotFound)
		is.Equal(len(body), len(whole))
	})
	t.Run("broken off", func(t *testing.T) {
		t.Parallel()
		is := is.New(t)
		h := newHarness(t, 0, func(w http.ResponseWriter, r *http.Request) {
			respondWith(http.StatusNotFound, "text/plain", whole)(w, r)
			panic(http.ErrAbortHandler)
		})
		_, _, err := h.send(t, "/once/", nil)
		is.True(err != nil)
	})
}
