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

// TestBrokenFields guards against heads with fields that are not valid which reach callers: with that line, or with a body that is not the server's.
func TestBrokenFields(t *testing.T) {
	t.Parallel()
	const chunks = "5\r\nhello\r\n0\r\n"
	for name, response := range map[string]string{
		"blank in a name":        signedHead("200 OK") + "X Bad: 1\r\nContent-Length: 5\r\n\r\nhello",
		"blank behind a name":    signedHead("200 OK") + "X-Bad : 1\r\nContent-Length: 5\r\n\r\nhello",
		"blank before a name":    signedHead("200 OK") + " X-Bad: 1\r\nContent-Length: 5\r\n\r\nhello",
		"control byte":           signedHead("200 OK") + "X\x01Bad: 1\r\nContent-Length: 5\r\n\r\nhello",
		"error":                  signedHead("404 Not Found") + "X Bad: 1\r\nContent-Length: 5\r\n\r\nhello",
		"interim head":           "HTTP/1.1 100 Continue\r\nX Bad: 1\r\n\r\n" + signedHead("200 OK") + "Content-Length: 5\r\n\r\nhello",
		"trailer":                signedHead("200 OK") + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "X Bad: 1\r\n\r\n",
		"framing behind a blank": signedHead("200 OK") + "Transfer-Encoding : chunked\r\n\r\n" + chunks + "\r\n",
		"chunks in HTTP/1.0":     "HTTP/1.0" + signedHead("200 OK")[len("HTTP/1.1"):] + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testBrokenHead(t, response)
		})
	}
}
