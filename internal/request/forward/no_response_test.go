package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/platform"
)

// dial opens a connection to a harness's forwarder.
func (h *harness) dial(t *testing.T) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		t.Fatal("no TCP connection")
	}
	return tcp
}

// encodeHead returns the head of a request with a body of 4 bytes.
func encodeHead(path string, deadline time.Duration) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: id-1\r\n%s: %d\r\nAuthorization: %sright\r\nContent-Length: 4\r\n\r\n", path, host,
		platform.HeaderRequestID, platform.HeaderDeadline, deadline.Milliseconds(), platform.KeyScheme)
}

// readStatus returns the status of the next response on a connection, 0 if the connection ends without one.
func readStatus(responses *bufio.Reader) int {
	response, err := http.ReadResponse(responses, nil)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// TestLateBody guards against successes that no server gave: after a body that came later than its caller's deadline, that request and all later ones on
// its connection were responded to with an empty 200. A refusal says truly that the request did not run.
func TestLateBody(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/once/", "/get/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			ran := make(chan struct{}, 10)
			h := newHarness(t, 0, func(w http.ResponseWriter, r *http.Request) {
				ran <- struct{}{}
				respondOK("ok")(w, r)
			})
			conn := h.dial(t)
			responses := bufio.NewReader(conn)
			_, err := io.WriteString(conn, encodeHead(path, 100*time.Millisecond)+"bo")
			is.NoErr(err)
			is.Equal(readStatus(responses), http.StatusRequestTimeout)
			_, _ = io.WriteString(conn, "dy"+encodeHead(path, time.Second)+"body")
			is.Equal(readStatus(responses), 0)
			is.Equal(len(ran), 0)
		})
	}
}

// TestCallerClosesSendingSide guards against a success that no server gave: a caller gives up by closing its sending side, and reads on.
func TestCallerClosesSendingSide(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ name, sent string }{
		{"while a server works", encodeHead("/once/", time.Second) + "body"},
		{"inside its body", encodeHead("/once/", time.Second) + "bo"},
		{"before its body", encodeHead("/once/", time.Second)},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			begun := make(chan struct{}, 1)
			h := newHarness(t, 0, func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				begun <- struct{}{}
				<-r.Context().Done()
			})
			conn := h.dial(t)
			_, err := io.WriteString(conn, c.sent)
			is.NoErr(err)
			if strings.HasSuffix(c.sent, "body") {
				<-begun
			}
			is.NoErr(conn.CloseWrite())
			status := readStatus(bufio.NewReader(conn))
			is.True(status == 0 || status == http.StatusBadRequest)
		})
	}
}
