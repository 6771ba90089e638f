package forward_test

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/stub/rawstub"
	"vanillapond/platform"
)

// newBrokenHarness returns a harness with two servers at one address, of which the first request gets a broken response and the others get sound ones.
func newBrokenHarness(t *testing.T, broken, sound rawstub.Script) *harness {
	t.Helper()
	var served atomic.Int64
	address := rawstub.Start(t, func(conn *net.TCPConn) {
		if served.Add(1) == 1 {
			broken.Serve(conn)
		} else {
			sound.Serve(conn)
		}
	})
	return newUploadHarness(t, address, address)
}

// testBrokenHead checks that a response is not passed on: a request that may run twice is retried, another gets 502, which does not say that it did not run.
func testBrokenHead(t *testing.T, response string) {
	t.Helper()
	events := signedHead("200 OK") + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: whole\n\n"
	for path, want := range map[string]int{
		"/get/": http.StatusOK, "/once/": http.StatusBadGateway, "/stream/": http.StatusBadGateway, "/resume/": http.StatusOK,
	} {
		is := is.New(t)
		h := newBrokenHarness(t, rawstub.Script{Response: response}, rawstub.Script{Response: events})
		sent := time.Now()
		got, body, err := h.send(t, path, nil)
		is.NoErr(err)
		is.True(time.Since(sent) < time.Second)
		is.Equal(got.StatusCode, want)
		is.Equal(got.Header.Get(platform.HeaderNotExecuted), "")
		if want == http.StatusOK {
			is.Equal(body, "id: 1\ndata: whole\n\n")
		}
	}
}

// TestBrokenStatus guards against statuses outside of 100 to 599 that reach callers as answers.
func TestBrokenStatus(t *testing.T) {
	t.Parallel()
	for _, status := range []string{"000", "099", "+42", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			testBrokenHead(t, signedHead(status+" X")+"Content-Length: 5\r\n\r\nhello")
		})
	}
}
