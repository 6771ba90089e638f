package listener_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/listener"
	"vanillapond/internal/testport"
)

// TestAbortedResponseWithoutChunks verifies that a response which is aborted, or whose listener is closed, does not end in order for a
// caller that does not understand chunks: the end of the connection is the end of such a response.
func TestAbortedResponseWithoutChunks(t *testing.T) {
	t.Parallel()
	const part = "id: 1\ndata: x\n\n"
	for _, c := range []struct {
		name     string
		end      func(closeNow func())
		complete bool
	}{
		{name: "whole", end: func(func()) {}, complete: true},
		{name: "aborted", end: func(func()) { panic(http.ErrAbortHandler) }},
		{name: "panicked", end: func(func()) { panic("fault") }},
		{name: "closed", end: func(closeNow func()) { closeNow() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			address, err := testport.Address()
			is.NoErr(err)
			received := make(chan struct{})
			var l *listener.Listener
			handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.WriteString(w, part)
				_ = http.NewResponseController(w).Flush()
				<-received
				c.end(func() {
					ended, cancel := context.WithCancel(context.Background())
					cancel()
					go l.Drain(ended)
					<-r.Context().Done()
				})
			})
			l, err = listener.Start(t.Context(), listener.Config{Address: address, Handler: handler})
			is.NoErr(err)
			conn, err := net.Dial("tcp", address)
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
			_, err = io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n")
			is.NoErr(err)
			head := make([]byte, 0, 4096)
			for !strings.HasSuffix(string(head), part) {
				buffer := make([]byte, 512)
				n, err := conn.Read(buffer)
				is.NoErr(err)
				head = append(head, buffer[:n]...)
			}
			close(received)
			_, err = io.ReadAll(conn)
			is.Equal(err == nil, c.complete)
			is.Equal(errors.Is(err, syscall.ECONNRESET), !c.complete)
		})
	}
}

// TestUnreadResponseWithoutChunks verifies that a response of which a write timed out does not end in order for a caller that does not
// understand chunks and reads on later.
func TestUnreadResponseWithoutChunks(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ended := make(chan struct{})
	address, err := testport.Address()
	is.NoErr(err)
	_, err = listener.Start(t.Context(), listener.Config{
		Address: address, WriteTimeout: 50 * time.Millisecond,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			defer close(ended)
			for {
				if _, err := w.Write(make([]byte, 64<<10)); err != nil {
					return
				}
			}
		}),
	})
	is.NoErr(err)
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, err = io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n")
	is.NoErr(err)
	<-ended
	_, err = io.ReadAll(conn)
	is.True(errors.Is(err, syscall.ECONNRESET))
}
