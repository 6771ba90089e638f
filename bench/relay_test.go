package bench

import (
	"bytes"
	"io"
	"net"
	"sync/atomic"
	"testing"
)

// relay forwards TCP connections to a target and counts the traffic.
type relay struct {
	target string
	// sentBytes and receivedBytes count the bytes that the connecting side sends and receives.
	sentBytes     atomic.Int64
	receivedBytes atomic.Int64
	// postCount counts the POST requests that the connecting side sends.
	postCount atomic.Int64
}

// newRelay starts a relay to target and returns it with its address.
func newRelay(tb testing.TB, target string) (*relay, string) {
	tb.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = socket.Close() })
	r := &relay{target: target}
	go r.serve(socket)
	return r, socket.Addr().String()
}

func (r *relay) serve(socket net.Listener) {
	for {
		dialer, err := socket.Accept()
		if err != nil {
			return
		}
		go r.connect(dialer)
	}
}

func (r *relay) connect(dialer net.Conn) {
	defer func() { _ = dialer.Close() }()
	target, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	go func() {
		_, _ = io.Copy(dialer, countingReader{reader: target, byteCount: &r.receivedBytes})
		_ = dialer.Close()
	}()
	_, _ = io.Copy(target, countingReader{reader: dialer, byteCount: &r.sentBytes, postCount: &r.postCount})
}

// countingReader counts the bytes and, if postCount is set, the POST requests that are read.
type countingReader struct {
	reader    io.Reader
	byteCount *atomic.Int64
	postCount *atomic.Int64
}

// Read implements io.Reader.
func (c countingReader) Read(buffer []byte) (int, error) {
	count, err := c.reader.Read(buffer)
	c.byteCount.Add(int64(count))
	if c.postCount != nil {
		c.postCount.Add(int64(bytes.Count(buffer[:count], []byte("POST /"))))
	}
	return count, err
}
