package direct_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/connection/direct"
	"vanillapond/internal/connection/socket"
)

// Sizes in bytes of responses without end.
const (
	// endlessBytes is how much a server writes before it waits for the end of the connection, which bounds the memory of a failing test.
	endlessBytes = 16 << 20
	// maxHeadRead and maxSkippedRead bound what the pool may read of a head, and of skipped responses.
	maxHeadRead    = 128 << 10
	maxSkippedRead = 4 << 20
)

// countingConn counts the bytes that are read from a connection.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.read.Add(int64(n))
	return n, err
}

// writeEndless repeats text until the peer closes the connection, and then closes done.
func writeEndless(conn net.Conn, text string, done chan<- struct{}) {
	defer close(done)
	block := []byte(strings.Repeat(text, 1+(64<<10)/len(text)))
	for written := 0; written < endlessBytes; {
		n, err := conn.Write(block)
		if err != nil {
			return
		}
		written += n
	}
	_, _ = io.Copy(io.Discard, conn)
}

// TestEndlessResponses checks that a response that never ends fails soon, that only a bounded part of it is read, and that its
// connection is closed and not reused.
func TestEndlessResponses(t *testing.T) {
	t.Parallel()
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct {
		name string
		// start is sent once and repeated without end.
		start, repeated string
		maxRead         int64
	}{
		{name: "status line", start: "HTTP/1.1 200 ", repeated: "x", maxRead: maxHeadRead},
		{name: "no line", repeated: "\x00", maxRead: maxHeadRead},
		{name: "header line", start: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Long: ", repeated: "x", maxRead: maxHeadRead},
		{name: "header lines", start: "HTTP/1.1 200 OK\r\nX-Id: 1\r\n", repeated: "X-More: x\r\n", maxRead: maxHeadRead},
		{name: "interim responses", repeated: "HTTP/1.1 100 Continue\r\n\r\n", maxRead: maxHeadRead},
		{name: "interim response", start: "HTTP/1.1 103 Early Hints\r\n", repeated: "Link: x\r\n", maxRead: maxHeadRead},
		{name: "unmatched responses", repeated: okResponse("0", "hello"), maxRead: maxSkippedRead},
		{name: "unmatched body", start: "HTTP/1.1 200 OK\r\nX-Id: 0\r\n" + chunked, repeated: "5\r\nhello\r\n", maxRead: maxSkippedRead},
		{name: "chunk size", start: "HTTP/1.1 200 OK\r\nX-Id: 1\r\n" + chunked, repeated: "0", maxRead: maxHeadRead},
		{name: "chunk extension", start: "HTTP/1.1 200 OK\r\nX-Id: 1\r\n" + chunked + "5;", repeated: "x", maxRead: maxHeadRead},
		{name: "chunk extensions", start: "HTTP/1.1 200 OK\r\nX-Id: 1\r\n" + chunked, repeated: "1;" + strings.Repeat("x", 1000) + "\r\nx\r\n", maxRead: maxHeadRead},
		{name: "trailer line", start: "HTTP/1.1 200 OK\r\nX-Id: 1\r\n" + chunked + "0\r\nX-Long: ", repeated: "x", maxRead: maxHeadRead},
		{name: "trailer lines", start: "HTTP/1.1 200 OK\r\nX-Id: 1\r\n" + chunked + "0\r\n", repeated: "X-More: x\r\n", maxRead: maxHeadRead},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			closed := make(chan struct{})
			address := serve(t, func(conn net.Conn, requests *bufio.Reader) {
				readRequest(requests)
				write(conn, c.start)
				writeEndless(conn, c.repeated, closed)
			}, func(conn net.Conn, requests *bufio.Reader) {
				if readRequest(requests) == "2" {
					write(conn, okResponse("2", "fresh"))
				}
			})
			var read atomic.Int64
			p := direct.New(direct.Config{
				Address: address, DialTimeout: time.Second,
				Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
					conn, err := socket.Dial(ctx, network, address)
					return countingConn{Conn: conn, read: &read}, err
				},
			})
			_, err := send(t, p, "1")
			is.True(err != nil)
			<-closed
			is.True(read.Load() <= c.maxRead)
			body, err := send(t, p, "2")
			is.NoErr(err)
			is.Equal(body, "fresh")
		})
	}
}
