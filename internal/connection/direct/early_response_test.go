package direct_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/connection/direct"
	"vanillapond/internal/stub/rawstub"
)

// uploadBytes is the size of a request's body that does not fit into the buffers of the sockets.
const uploadBytes = 3 << 20

// upload sends a request with a large body and returns the status and body of the response.
func upload(t *testing.T, address string) (int, string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	request := newRequest("1")
	request.Body = [][]byte{[]byte(strings.Repeat("a", uploadBytes/2)), []byte(strings.Repeat("b", uploadBytes/2))}
	response, err := newPool(address).Send(ctx, request)
	if err != nil {
		return 0, "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return response.Status, string(body), err
}

// unframedBodies are the heads and bodies of responses that end with their connection.
func unframedBodies() map[string]string {
	const head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Type: "
	return map[string]string{
		"text": head + "text/plain\r\n\r\npart", "json": head + "application/json\r\n\r\n{}", "empty": head + "text/plain\r\n\r\n",
		"stream": head + "text/event-stream\r\n\r\ndata: x\n\n", "http 1.0": "HTTP/1.0 200 OK\r\nX-Id: 1\r\n\r\npart",
	}
}

// TestUnframedResponseDuringUpload guards against parts of responses that are taken for whole: a server responds without a length while the request is
// still being written, and its connection ends. The writer may meet the reset before the reader does, which then sees an end of file.
func TestUnframedResponseDuringUpload(t *testing.T) {
	t.Parallel()
	const tries = 16
	for name, response := range unframedBodies() {
		for _, ending := range []rawstub.Ending{rawstub.Closes, rawstub.Resets, rawstub.HalfCloses} {
			for _, delay := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
				t.Run(name+"/"+string(ending)+"/"+delay.String(), func(t *testing.T) {
					t.Parallel()
					address := rawstub.StartScript(t, rawstub.Script{Response: response, Early: true, Ending: ending, Delay: delay})
					whole := 0
					for range tries {
						if _, _, err := upload(t, address); err == nil {
							whole++
						}
					}
					if whole > 0 {
						t.Errorf("%d of %d responses were taken for whole", whole, tries)
					}
				})
			}
		}
	}
}

// TestEndBehindUnreadRequest guards against the end of a response that comes in order before the request was read: the rest of the request fits into the
// buffers of the sockets, so that writing it does not fail.
func TestEndBehindUnreadRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for range 20 {
		address := rawstub.Start(t, func(conn *net.TCPConn) {
			_ = conn.SetReadBuffer(4 << 10)
			if _, err := http.ReadRequest(bufio.NewReaderSize(conn, 16)); err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart")
			_ = conn.CloseWrite()
			time.Sleep(10 * time.Millisecond)
			_ = conn.SetLinger(0)
		})
		request := newRequest("1")
		request.Body = [][]byte{[]byte(strings.Repeat("a", 1<<20))}
		response, err := newPool(address).Send(t.Context(), request)
		if err != nil {
			continue
		}
		_, err = io.ReadAll(response)
		is.True(err != nil)
		response.Close()
	}
}

// TestSoundResponses guards against sound servers that are taken for broken ones: early refusals with a length, bodies that end with the connection of a
// server which has read the request, also a slow one, and a server that ends its response before it reads the rest of the request.
func TestSoundResponses(t *testing.T) {
	t.Parallel()
	respond := func(response string, readAll func(conn *net.TCPConn, body io.Reader)) func(conn *net.TCPConn) {
		return func(conn *net.TCPConn) {
			request, err := http.ReadRequest(bufio.NewReaderSize(conn, 16))
			if err != nil {
				return
			}
			readAll(conn, request.Body)
			_, _ = io.WriteString(conn, response)
		}
	}
	readWhole := func(_ *net.TCPConn, body io.Reader) { _, _ = io.Copy(io.Discard, body) }
	readSlowly := func(_ *net.TCPConn, body io.Reader) {
		for {
			if _, err := io.CopyN(io.Discard, body, uploadBytes/8); err != nil {
				return
			}
			time.Sleep(30 * time.Millisecond)
		}
	}
	const unframed = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nhello"
	for _, c := range []struct {
		name   string
		status int
		serve  func(conn *net.TCPConn)
	}{
		{"early refusal 413", 413, respond("HTTP/1.1 413 Content Too Large\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nhello", func(*net.TCPConn, io.Reader) {})},
		{"early refusal 503", 503, respond("HTTP/1.1 503 Service Unavailable\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", func(*net.TCPConn, io.Reader) {})},
		{"without a length", 200, respond(unframed, readWhole)},
		{"HTTP/1.0", 200, respond("HTTP/1.0 200 OK\r\nX-Id: 1\r\n\r\nhello", readWhole)},
		{"slow upload", 200, respond(unframed, readSlowly)},
		{"ends long before the upload", 200, respond("", func(conn *net.TCPConn, body io.Reader) {
			_, _ = io.WriteString(conn, unframed)
			_ = conn.CloseWrite()
			for {
				if _, err := io.CopyN(io.Discard, body, uploadBytes/16); err != nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		})},
		{"ends before the upload", 200, respond("", func(conn *net.TCPConn, body io.Reader) {
			_, _ = io.WriteString(conn, unframed)
			_ = conn.CloseWrite()
			readSlowly(conn, body)
		})},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			address := rawstub.Start(t, c.serve)
			for range 5 {
				status, body, err := upload(t, address)
				is.NoErr(err)
				is.Equal(status, c.status)
				is.Equal(body, "hello")
			}
		})
	}
}

// TestHeadRequestHasNoEnd checks that a response without a body does not wait for the end of its connection.
func TestHeadRequestHasNoEnd(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := newPool(serve(t, func(conn net.Conn, requests *bufio.Reader) {
		readRequest(requests)
		write(conn, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n")
		readRequest(requests)
	}))
	response, err := p.Send(t.Context(), &direct.Request{Method: http.MethodHead, Target: "/", Host: "h.example", Header: http.Header{"X-Id": {"1"}}, ID: "1", IDHeader: "X-Id"})
	is.NoErr(err)
	defer response.Close()
	_, err = io.ReadAll(response)
	is.NoErr(err)
}
