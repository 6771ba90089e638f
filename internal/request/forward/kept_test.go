package forward_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/holdings"
	"vanillapond/internal/stub/rawstub"
	"vanillapond/platform"
)

// responseLimit bounds what the harness keeps of all responses.
const responseLimit holdings.Bytes = 1 << 20

// stalledServer sends an unfinished event of a size to each request for a stream, and the body of a size to each other request, and then waits for the end of the
// connection if it has sent an event.
func stalledServer(eventBytes, bodyBytes int) func(conn *net.TCPConn) {
	return func(conn *net.TCPConn) {
		requests := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			head := "HTTP/1.1 200 OK\r\n" + platform.HeaderRequestID + ": " + request.Header.Get(platform.HeaderRequestID) + "\r\n" + platform.HeaderSignature + ": seal\r\n"
			if request.URL.Path == "/stream/" || request.URL.Path == "/resume/" {
				_, _ = io.WriteString(conn, head+"Content-Type: text/event-stream\r\n\r\ndata: "+strings.Repeat("x", eventBytes))
				_, _ = io.Copy(io.Discard, conn)
				return
			}
			_, _ = io.WriteString(conn, head+"Transfer-Encoding: chunked\r\n\r\n")
			for sent := 0; sent < bodyBytes; sent += 1 << 10 {
				_, _ = io.WriteString(conn, "400\r\n"+strings.Repeat("x", 1<<10)+"\r\n")
			}
			_, _ = io.WriteString(conn, "0\r\n\r\n")
		}
	}
}

// TestResponsesAreBoundedInSum guards against servers whose responses, each within the limits, together take the memory of the process: what is kept of them
// has a bound in sum, those that hold most without moving have to go, and sound responses are passed on meanwhile.
func TestResponsesAreBoundedInSum(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const streams, body = 30, 60 << 10
	address := rawstub.Start(t, stalledServer(200<<10, body))
	h := newUploadHarness(t, address, address)
	var most atomic.Int64
	done := make(chan struct{})
	var watching sync.WaitGroup
	watching.Go(func() {
		for ; ; time.Sleep(time.Millisecond) {
			most.Store(max(most.Load(), int64(h.responses.Bytes())))
			select {
			case <-done:
				return
			default:
			}
		}
	})
	var sending sync.WaitGroup
	for range streams {
		sending.Go(func() {
			response, _, err := h.send(t, "/stream/", nil)
			if err == nil && response.StatusCode == http.StatusOK {
				t.Error("an unfinished event was passed on as whole")
			}
		})
	}
	for range 20 {
		response, got, err := h.send(t, "/once/", nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK)
		is.Equal(len(got), body)
	}
	sending.Wait()
	close(done)
	watching.Wait()
	is.True(holdings.Bytes(most.Load()) > responseLimit/2)
	is.True(holdings.Bytes(most.Load()) <= responseLimit)
	is.Equal(h.responses.Bytes(), holdings.Bytes(0))
}

// TestResponseWithoutEndIsCounted checks that heads and events without end are counted, and that the request is retried only where it may run twice.
func TestResponseWithoutEndIsCounted(t *testing.T) {
	t.Parallel()
	for name, broken := range map[string]string{
		"head":  signedHead("200 OK") + "X: " + strings.Repeat("x", 80<<10),
		"event": signedHead("200 OK") + "Content-Type: text/event-stream\r\n\r\ndata: " + strings.Repeat("x", 300<<10),
		"bytes": strings.Repeat("\x00", 80<<10),
	} {
		for path, want := range map[string]int{"/resume/": http.StatusOK, "/stream/": http.StatusBadGateway} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				sound := signedHead("200 OK") + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: whole\n\n"
				h := newBrokenHarness(t, rawstub.Script{Response: broken, Delay: time.Minute}, rawstub.Script{Response: sound})
				sent := time.Now()
				response, _, err := h.send(t, path, nil)
				is.NoErr(err)
				is.True(time.Since(sent) < time.Second)
				is.Equal(response.StatusCode, want)
				is.Equal(h.tooLong.Load(), int64(1))
				is.Equal(h.responses.Bytes(), holdings.Bytes(0))
			})
		}
	}
}
