package direct_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/connection/direct"
	"vanillapond/internal/process/outcome"
)

// TestConnectionFromBeforeFailure guards against a request on a kept connection to a server that is known to have gone since: its outcome would be unknown,
// while a new connection is refused, so that the request is known not to have run.
func TestConnectionFromBeforeFailure(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	received := make(chan string, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		requests := bufio.NewReader(conn)
		write(conn, okResponse(readRequest(requests), "old"))
		received <- readRequest(requests)
		_ = conn.Close()
	}()
	p := newPool(listener.Addr().String())
	_, err = send(t, p, "1")
	is.NoErr(err)
	is.NoErr(listener.Close())
	once := newRequest("2")
	once.AtMostOnce, once.IdleSince = true, time.Now()
	_, err = p.Send(t.Context(), once)
	var failure *direct.Error
	is.True(errors.As(err, &failure))
	is.Equal(failure.Outcome, outcome.NotRun)
	is.True(failure.Unreachable)
	is.Equal(<-received, "") // The kept connection was closed without a request.
}

// TestConnectionFromAfterFailure checks that a connection that became idle after the failure is still reused.
func TestConnectionFromAfterFailure(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	failedAt := time.Now()
	p := newPool(serve(t, func(conn net.Conn, requests *bufio.Reader) {
		for id := readRequest(requests); id != ""; id = readRequest(requests) {
			write(conn, okResponse(id, "old"))
		}
	}))
	_, err := send(t, p, "1")
	is.NoErr(err)
	once := newRequest("2")
	once.AtMostOnce, once.IdleSince = true, failedAt
	response, err := p.Send(t.Context(), once)
	is.NoErr(err) // Another connection would not be answered.
	body, err := io.ReadAll(response)
	is.NoErr(err)
	response.Close()
	is.Equal(string(body), "old")
}
