// Package rawstub is a server that sends bytes of a test's choice, which need not be HTTP.
package rawstub

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Ending is how a server ends a connection after its response.
type Ending string

// Ways to end a connection.
const (
	// Closes means that the connection is closed; if request bytes are unread, this resets it.
	Closes Ending = "close"
	// Resets means that the connection is reset.
	Resets Ending = "reset"
	// HalfCloses means that the sending side is closed first, and the connection is reset while the client may still send.
	HalfCloses Ending = "half-close"
)

// Script is what a server does with each request.
type Script struct {
	// Response is written once the request was read, or its head alone if Early is set.
	Response string
	Early    bool
	Ending   Ending
	// Delay is the time between the last byte of the response and the end of the connection.
	Delay time.Duration
}

// Start starts a server that serves each connection by the function and closes it afterwards, and returns its address.
func Start(t testing.TB, serve func(conn *net.TCPConn)) string {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.AcceptTCP()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn)
			}()
		}
	}()
	return listener.Addr().String()
}

// StartScript starts a server that follows a script with the first request of each connection.
func StartScript(t testing.TB, script Script) string {
	t.Helper()
	return Start(t, script.Serve)
}

// halfCloseTime is how long the receiving side of a half-closed connection stays open.
const halfCloseTime = 10 * time.Millisecond

// Serve serves one connection.
func (s Script) Serve(conn *net.TCPConn) {
	// A reader of one byte leaves the body in the socket.
	request, err := http.ReadRequest(bufio.NewReaderSize(conn, 16))
	if err != nil {
		return
	}
	if !s.Early {
		_, _ = io.Copy(io.Discard, request.Body)
	}
	_, _ = io.WriteString(conn, s.Response)
	time.Sleep(s.Delay)
	switch s.Ending {
	case Resets:
		_ = conn.SetLinger(0)
	case HalfCloses:
		_ = conn.CloseWrite()
		time.Sleep(halfCloseTime)
		_ = conn.SetLinger(0)
	case Closes:
	}
}
