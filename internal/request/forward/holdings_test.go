package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/holdings"
	"vanillapond/platform"
)

// sendUnfinished sends a request whose body lacks its last byte, and returns status and header of the response, and
// whether it ends the connection.
func (h *harness) sendUnfinished(t *testing.T, path, key string) (status int, header http.Header, closes bool) {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	body := strings.Repeat("b", 499)
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: %s%s\r\n%s: 60000\r\nContent-Length: %d\r\n\r\n%s",
		path, host, platform.KeyScheme, key, platform.HeaderDeadline, len(body)+1, body); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode, response.Header, response.Close
}

// TestUnauthorizedHoldsNoBody guards against bodies that are read for callers without a key.
func TestUnauthorizedHoldsNoBody(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newHarness(t, 0, respondOK("a"))
	status, _, _ := h.sendUnfinished(t, "/get/x", "wrong")
	is.Equal(status, http.StatusUnauthorized)
	status, _, _ = h.sendUnfinished(t, "/nowhere/x", "right")
	is.Equal(status, http.StatusNotFound)
	is.Equal(h.holdings.Bytes(), holdings.Bytes(0))
}

// TestUnfinishedBodyEndsWithRoute guards against bodies that are awaited for longer than the route allows the request to take.
func TestUnfinishedBodyEndsWithRoute(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newHarness(t, 0, respondOK("a"))
	start := time.Now()
	status, _, _ := h.sendUnfinished(t, "/get/x", "right")
	is.Equal(status, http.StatusRequestTimeout)
	is.True(time.Since(start) < 5*time.Second) // The route allows a second, the caller a minute.
	is.Equal(h.holdings.Bytes(), holdings.Bytes(0))
}

// TestNoRoomForBody checks that a request without room is refused as not run, and told when to come back, and that it is served then.
func TestNoRoomForBody(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newHarness(t, 0, respondOK("a"))
	limits := h.holdings.Limits()
	var held []*holdings.Holding
	for size := limits.Bytes / 64; ; {
		holding, err := h.holdings.Open(holdings.Body, "", size, func() {})
		if err != nil {
			if size = limits.Bytes - h.holdings.Bytes(); size == 0 {
				break
			}
			continue
		}
		is.NoErr(holding.Settle())
		held = append(held, holding)
	}
	status, header, closes := h.sendUnfinished(t, "/get/x", "right")
	is.Equal(status, http.StatusServiceUnavailable)
	seconds, err := strconv.ParseFloat(header.Get(platform.HeaderRetryAfter), 64)
	is.NoErr(err)
	is.True(seconds > 0)
	is.True(closes)
	for _, each := range held {
		each.Close()
	}
	status, body := h.post(t, "/get/x", "text")
	is.Equal(status, http.StatusOK)
	is.Equal(body, "a")
}

// TestSentBodyIsReleased guards against bodies that are held while a stream runs that can't be sent again.
func TestSentBodyIsReleased(t *testing.T) {
	t.Parallel()
	for path, wantHeld := range map[string]bool{"/stream/x": false, "/resume/x": true} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			end := make(chan struct{})
			h := newHarness(t, 0, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				w.Header().Set(platform.HeaderSignature, "seal")
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
				_ = http.NewResponseController(w).Flush()
				<-end
			})
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, h.url+path, strings.NewReader("text"))
			is.NoErr(err)
			request.Host = host
			request.Header.Set("Authorization", platform.KeyScheme+"right")
			response, err := http.DefaultClient.Do(request)
			is.NoErr(err)
			_, err = response.Body.Read(make([]byte, 10))
			is.NoErr(err)
			is.Equal(h.holdings.Bytes() > 0, wantHeld)
			close(end)
			_ = response.Body.Close()
		})
	}
}

// post sends a request with a body and returns status and body of the response.
func (h *harness) post(t *testing.T, path, text string) (int, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, h.url+path, strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = host
	request.Header.Set("Authorization", platform.KeyScheme+"right")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(content)
}
