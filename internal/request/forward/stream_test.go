package forward_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/platform"
)

// streamEvents returns a handler that sends the events from..to, and then aborts within the next event unless complete is set.
func streamEvents(from, to int, complete bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		setSignature(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		for id := from; id <= to; id++ {
			_, _ = io.WriteString(w, "id: "+strconv.Itoa(id)+"\ndata: x\n\n")
			_ = http.NewResponseController(w).Flush()
		}
		if !complete {
			_, _ = io.WriteString(w, "id: "+strconv.Itoa(to+1)+"\nda")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

func eventIDs(body string) string {
	var found []string
	for line := range strings.Lines(body) {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			found = append(found, strings.TrimSpace(id))
		}
	}
	return strings.Join(found, " ")
}

// TestInterruptedStream verifies that an interrupted stream is resumed at another server if the route allows it, and that the
// caller otherwise sees that it was truncated.
func TestInterruptedStream(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		path      string
		complete  bool
		ids       string
		truncated bool
	}{
		{path: "/stream/", complete: true, ids: "1 2 3"},
		{path: "/stream/", ids: "1 2 3", truncated: true},
		{path: "/resume/", ids: "1 2 3 4 5"},
	} {
		t.Run(c.path+strconv.FormatBool(c.complete), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			handler := func(w http.ResponseWriter, r *http.Request) {
				if lastID := r.Header.Get(platform.HeaderLastEventID); lastID != "" {
					is.Equal(lastID, "3")
					streamEvents(4, 5, true)(w, r)
					return
				}
				streamEvents(1, 3, c.complete)(w, r)
			}
			h := newHarness(t, 10, handler, handler)
			response, body, err := h.send(t, c.path, nil)
			is.Equal(response.StatusCode, http.StatusOK)
			is.Equal(eventIDs(body), c.ids)
			is.Equal(err != nil, c.truncated)
			is.Equal(h.startCount("school"), 1)
		})
	}
}

// TestEventsAreNotDelayed verifies that an event reaches the caller before the server has produced the next one.
func TestEventsAreNotDelayed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	finish := make(chan struct{})
	h := newHarness(t, 0, func(w http.ResponseWriter, r *http.Request) {
		setSignature(w, r)
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
		_ = http.NewResponseController(w).Flush()
		<-finish
	})
	conn, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /stream/ HTTP/1.1\r\nHost: "+host+"\r\nAuthorization: "+platform.KeyScheme+"right\r\n"+platform.HeaderRequestID+": 1\r\n\r\n")
	is.NoErr(err)
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadString('\n')
		is.NoErr(err)
		if strings.HasPrefix(line, "data: x") {
			break
		}
	}
	close(finish)
}

// TestCallerDisconnect verifies that the request to the server is canceled soon after the caller has disconnected.
func TestCallerDisconnect(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ended := make(chan struct{})
	started := make(chan struct{})
	h := newHarness(t, 0, func(_ http.ResponseWriter, r *http.Request) {
		// net/http detects a disconnect only once the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		close(started)
		<-r.Context().Done()
		close(ended)
	})
	conn, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	is.NoErr(err)
	_, err = io.WriteString(conn, "GET /once/ HTTP/1.1\r\nHost: "+host+"\r\nAuthorization: "+platform.KeyScheme+"right\r\n"+platform.HeaderRequestID+": 1\r\n\r\n")
	is.NoErr(err)
	<-started
	is.NoErr(conn.Close())
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("request to the server was not canceled within 500 ms of the caller's disconnect")
	}
}

// TestSmuggledRequest verifies that a request with both Content-Length and Transfer-Encoding can't smuggle another one: the bytes
// after the shorter body must not run as a request.
func TestSmuggledRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var mu sync.Mutex
	var paths []string
	h := newHarness(t, 0, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		paths = append(paths, r.URL.Path)
		mu.Unlock()
		respondOK("ok")(w, r)
	})
	conn, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	smuggled := "GET /get/smuggled HTTP/1.1\r\nHost: " + host + "\r\nAuthorization: " + platform.KeyScheme + "right\r\n" + platform.HeaderRequestID + ": 2\r\n\r\n"
	_, err = io.WriteString(conn, "POST /get/outer HTTP/1.1\r\nHost: "+host+"\r\nAuthorization: "+platform.KeyScheme+"right\r\n"+platform.HeaderRequestID+": 1\r\n"+
		"Content-Length: "+strconv.Itoa(len(smuggled)+5)+"\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"+smuggled)
	is.NoErr(err)
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	_, _ = io.ReadAll(conn)
	mu.Lock()
	defer mu.Unlock()
	for _, path := range paths {
		is.True(path != "/get/smuggled")
	}
}

// TestTimeout verifies that a request ends when its route's timeout passes, and with status 504 rather than 503, which would
// promise that it did not run.
func TestTimeout(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newHarness(t, 0, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	start := time.Now()
	response, _, err := h.send(t, "/once/", nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusGatewayTimeout)
	is.True(time.Since(start) < 1500*time.Millisecond)
}

// drip returns a handler that sends one complete event and then a byte of the next one at each interval, without ever completing it.
func drip(interval time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		setSignature(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\nid: 2\ndata: ")
		for r.Context().Err() == nil {
			if _, err := io.WriteString(w, "y"); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
			time.Sleep(interval)
		}
	}
}

// TestStalledAndSlowStreams verifies that a stream that only drips bytes of an event ends at the route's timeout, is not complete for
// the caller and passes on no part of an event, and that a slow but sound stream beside it is delivered whole.
func TestStalledAndSlowStreams(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/stream/", "/resume/"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newHarness(t, 10, drip(50*time.Millisecond))
			start := time.Now()
			_, body, err := h.send(t, path, nil)
			is.True(err != nil)
			is.Equal(body, "id: 1\ndata: x\n\n")
			is.True(time.Since(start) < 2500*time.Millisecond)
		})
	}
	t.Run("slow", func(t *testing.T) {
		t.Parallel()
		is := is.New(t)
		h := newHarness(t, 10, func(w http.ResponseWriter, r *http.Request) {
			setSignature(w, r)
			for id := 1; id <= 3; id++ {
				_, _ = io.WriteString(w, "id: "+strconv.Itoa(id)+"\ndata: x\n\n")
				_ = http.NewResponseController(w).Flush()
				time.Sleep(400 * time.Millisecond)
			}
		})
		_, body, err := h.send(t, "/stream/", nil)
		is.NoErr(err)
		is.Equal(eventIDs(body), "1 2 3")
	})
}
