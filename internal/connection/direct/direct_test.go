package direct_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/connection/direct"
	"vanillapond/internal/process/outcome"
)

// connHandler is the server's side of one connection; it reads requests and writes raw bytes.
type connHandler func(conn net.Conn, requests *bufio.Reader)

// serve accepts one connection for each handler, in order, and returns the address.
func serve(t *testing.T, handlers ...connHandler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for _, handle := range handlers {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				handle(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return listener.Addr().String()
}

// readRequest reads one request and returns its id, or nothing at the end of the connection.
func readRequest(requests *bufio.Reader) string {
	request, err := http.ReadRequest(requests)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, request.Body)
	return request.Header.Get("X-Id")
}

func write(conn net.Conn, text string) { _, _ = conn.Write([]byte(text)) }

// okResponse returns a complete response to a request.
func okResponse(id, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string { return string([]byte{byte('0' + n/10), byte('0' + n%10)}) }

func newRequest(id string) *direct.Request {
	return &direct.Request{
		Method: http.MethodPost, Target: "/a/b?c", Host: "h.example", Header: http.Header{"X-Id": {id}}, Body: [][]byte{[]byte("bo"), []byte("dy")},
		ID: id, IDHeader: "X-Id", RefusalHeaders: []string{"X-Refused"},
	}
}

func newPool(address string) *direct.Pool {
	return direct.New(direct.Config{Address: address, DialTimeout: time.Second})
}

// send sends a request and returns the response's body.
func send(t *testing.T, p *direct.Pool, id string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	response, err := p.Send(ctx, newRequest(id))
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return string(body), err
}

// TestResponses checks for various responses to a first request whether its body is delivered or the request fails, and whether
// the connection is reused for a second request.
func TestResponses(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		// first is sent after the first request; the second request gets a response on whichever connection it arrives.
		first  string
		body   string
		fails  bool
		reuses bool
	}{
		{name: "whole", first: okResponse("1", "hello"), body: "hello", reuses: true},
		{name: "complete in chunks", first: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", body: "hello", reuses: true},
		{name: "interim response first", first: "HTTP/1.1 100 Continue\r\n\r\n" + okResponse("1", "hello"), body: "hello", reuses: true},
		{name: "doubled", first: okResponse("1", "hello") + okResponse("1", "again"), body: "hello"},
		{name: "trailing bytes", first: okResponse("1", "hello") + "xx", body: "hello"},
		{name: "closing", first: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello", body: "hello"},
		{name: "keep-alive timeout of zero", first: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nKeep-Alive: timeout=0\r\nContent-Length: 5\r\n\r\nhello", body: "hello"},
		{name: "cut", first: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\nConnection: close\r\n\r\nhello", fails: true},
		{name: "garbage", first: "\x00\x01nonsense\r\n\r\n", fails: true},
		{name: "switching protocols", first: "HTTP/1.1 101 Switching Protocols\r\n\r\n", fails: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			first := func(conn net.Conn, requests *bufio.Reader) {
				readRequest(requests)
				write(conn, c.first)
				if c.fails {
					return
				}
				if readRequest(requests) == "2" {
					write(conn, okResponse("2", "reused"))
				}
			}
			second := func(conn net.Conn, requests *bufio.Reader) {
				if readRequest(requests) == "2" {
					write(conn, okResponse("2", "fresh"))
				}
			}
			p := newPool(serve(t, first, second))
			body, err := send(t, p, "1")
			is.Equal(err != nil, c.fails)
			if c.fails {
				return
			}
			is.Equal(body, c.body)
			body, err = send(t, p, "2")
			is.NoErr(err)
			want := "fresh"
			if c.reuses {
				want = "reused"
			}
			is.Equal(body, want)
		})
	}
}

// TestLateResponseIsSkipped checks that a duplicate response to the first request, which arrives when the second response is due,
// is not delivered for the second request.
func TestLateResponseIsSkipped(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := newPool(serve(t, func(conn net.Conn, requests *bufio.Reader) {
		readRequest(requests)
		write(conn, okResponse("1", "hello"))
		readRequest(requests)
		write(conn, okResponse("1", "again")+okResponse("2", "right"))
	}))
	_, err := send(t, p, "1")
	is.NoErr(err)
	body, err := send(t, p, "2")
	is.NoErr(err)
	is.Equal(body, "right")
}

// TestSecondCopyOfRefusal checks that a refusal without an id is never taken for the response to a later request: the server sends a
// second copy of it when the next request, which it runs, arrives on the same connection.
func TestSecondCopyOfRefusal(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Refused: 1\r\nContent-Length: 0\r\n\r\n"
	first := func(conn net.Conn, requests *bufio.Reader) {
		readRequest(requests)
		write(conn, refusal)
		readRequest(requests)
		write(conn, refusal+okResponse("2", "ran"))
	}
	second := func(conn net.Conn, requests *bufio.Reader) {
		if readRequest(requests) == "2" {
			write(conn, okResponse("2", "ran"))
		}
	}
	p := newPool(serve(t, first, second))
	for _, request := range []*direct.Request{newRequest("1"), newRequest("2")} {
		response, err := p.Send(t.Context(), request)
		is.NoErr(err)
		_, err = io.ReadAll(response)
		is.NoErr(err)
		is.Equal(response.Status == http.StatusServiceUnavailable, request.ID == "1")
		response.Close()
	}
}

// TestRefusalWrittenAgain guards against requests that run twice: a server writes an earlier refusal once more on a connection on which it runs the
// next request, and that refusal must not be taken for the response to it. The earlier one may be of a request with the same id.
func TestRefusalWrittenAgain(t *testing.T) {
	t.Parallel()
	refusal := func(id string) string {
		if id != "" {
			id = "X-Id: " + id + "\r\n"
		}
		return "HTTP/1.1 503 Service Unavailable\r\n" + id + "X-Refused: 1\r\nContent-Length: 0\r\n\r\n"
	}
	const misdirected = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
	for _, c := range []struct {
		name string
		// first is the response to the first request, again what the server writes before the response to the second, which has the id second.
		first, again, second string
	}{
		{"with its id", refusal("1"), refusal("1"), "2"},
		{"without an id", refusal(""), refusal(""), "2"},
		{"misdirected", misdirected, misdirected, "2"},
		{"of the same id", refusal("1"), refusal("1"), "1"},
		{"twice", refusal("1"), refusal("1") + refusal("1"), "2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			first := func(conn net.Conn, requests *bufio.Reader) {
				readRequest(requests)
				write(conn, c.first)
				if id := readRequest(requests); id != "" {
					write(conn, c.again+okResponse(id, "ran"))
				}
			}
			fresh := func(conn net.Conn, requests *bufio.Reader) {
				write(conn, okResponse(readRequest(requests), "ran"))
			}
			p := newPool(serve(t, first, fresh))
			_, err := send(t, p, "1")
			is.NoErr(err)
			body, err := send(t, p, c.second)
			is.NoErr(err)
			is.Equal(body, "ran")
		})
	}
}

// TestRefusalWithoutIDOnReusedConnection checks that a server's refusal is believed at once although it has no id: refusals have none.
func TestRefusalWithoutIDOnReusedConnection(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := newPool(serve(t, func(conn net.Conn, requests *bufio.Reader) {
		readRequest(requests)
		write(conn, okResponse("1", "hello"))
		readRequest(requests)
		write(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Refused: 1\r\nContent-Length: 0\r\n\r\n")
		_, _ = io.Copy(io.Discard, conn)
	}))
	_, err := send(t, p, "1")
	is.NoErr(err)
	response, err := p.Send(t.Context(), newRequest("2"))
	is.NoErr(err)
	is.Equal(response.Status, http.StatusServiceUnavailable)
	response.Close()
}

// TestUnframedResponse checks that a response without a length is complete if its connection is closed, and fails if it is reset.
func TestUnframedResponse(t *testing.T) {
	t.Parallel()
	const head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nhello"
	for _, reset := range []bool{false, true} {
		is := is.New(t)
		p := newPool(serve(t, func(conn net.Conn, requests *bufio.Reader) {
			readRequest(requests)
			write(conn, head)
			if tcp, ok := conn.(*net.TCPConn); ok && reset {
				time.Sleep(20 * time.Millisecond)
				_ = tcp.SetLinger(0)
			}
		}))
		_, err := send(t, p, "1")
		is.Equal(err != nil, reset)
	}
}

// TestOutcomes checks that a failed request counts as not run only if no connection was available for it.
func TestOutcomes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var failure *direct.Error

	closed, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(closed.Close())
	_, err = send(t, newPool(closed.Addr().String()), "1")
	is.True(errors.As(err, &failure))
	is.Equal(failure.Outcome, outcome.NotRun)
	is.True(failure.Unreachable)

	_, err = send(t, newPool(serve(t, func(_ net.Conn, requests *bufio.Reader) { readRequest(requests) })), "1")
	is.True(errors.As(err, &failure))
	is.Equal(failure.Outcome, outcome.Unknown)
	is.True(failure.ConnectionFailed)

	full := direct.New(direct.Config{
		Address: closed.Addr().String(), DialTimeout: time.Second, MaxConnections: func() int { return 0 },
	})
	_, err = send(t, full, "1")
	is.True(errors.Is(err, direct.ErrNoConnection))
	is.True(errors.As(err, &failure))
	is.Equal(failure.Outcome, outcome.NotRun)
	is.True(!failure.Unreachable)
}

// TestCallerCancels checks that the server's connection ends when the caller's context ends, and that this is not reported as a
// connection failure.
func TestCallerCancels(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	p := newPool(serve(t, func(conn net.Conn, requests *bufio.Reader) {
		readRequest(requests)
		cancel()
		_, err := conn.Read(make([]byte, 1))
		ended <- err
	}))
	_, err := p.Send(ctx, newRequest("1"))
	var failure *direct.Error
	is.True(errors.As(err, &failure))
	is.True(!failure.ConnectionFailed)
	is.Equal(failure.Outcome, outcome.Unknown)
	is.True(<-ended != nil)
}

// TestCallerCancelsDuringDial checks that a request that is canceled while its connection is being established counts as not run,
// and that it does not count as a failure of the server.
func TestCallerCancelsDuringDial(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	p := direct.New(direct.Config{Address: "127.0.0.1:1", DialTimeout: time.Minute, Dial: dial})
	_, err := p.Send(ctx, newRequest("1"))
	var failure *direct.Error
	is.True(errors.As(err, &failure))
	is.Equal(failure.Outcome, outcome.NotRun)
	is.True(!failure.ConnectionFailed)
	is.True(!failure.Unreachable)
}

// TestEarlyResponse checks that the connection is not reused if the server responds before it has read a long request: the server
// may read the next request as the rest of the body.
func TestEarlyResponse(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	received := make(chan string, 1)
	first := func(conn net.Conn, requests *bufio.Reader) {
		if _, err := requests.ReadString('\n'); err != nil {
			return
		}
		write(conn, okResponse("1", "early"))
		time.Sleep(100 * time.Millisecond)
		all, _ := io.ReadAll(requests)
		received <- string(all)
	}
	second := func(conn net.Conn, requests *bufio.Reader) {
		if readRequest(requests) == "2" {
			write(conn, okResponse("2", "fresh"))
		}
	}
	p := newPool(serve(t, first, second))
	long := newRequest("1")
	long.Body = [][]byte{[]byte(strings.Repeat("x", 16<<20))}
	response, err := p.Send(t.Context(), long)
	is.NoErr(err)
	body, err := io.ReadAll(response)
	is.NoErr(err)
	is.Equal(string(body), "early")
	is.True(!response.Written())
	response.Close()
	again, err := send(t, p, "2")
	is.NoErr(err)
	is.Equal(again, "fresh")
	is.True(!strings.Contains(<-received, "X-Id: 2"))
}

// TestAtMostOnceUsesRecentConnection checks that a request that must not run twice is not sent on a connection that was idle so
// long that the server may have dropped it, while other requests still are.
func TestAtMostOnceUsesRecentConnection(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	first := func(conn net.Conn, requests *bufio.Reader) {
		for {
			id := readRequest(requests)
			if id == "" {
				return
			}
			write(conn, okResponse(id, "old"))
		}
	}
	second := func(conn net.Conn, requests *bufio.Reader) {
		write(conn, "HTTP/1.1 200 OK\r\nX-Id: "+readRequest(requests)+"\r\nConnection: close\r\nContent-Length: 3\r\n\r\nnew")
	}
	p := newPool(serve(t, first, second))
	_, err := send(t, p, "1")
	is.NoErr(err)
	time.Sleep(300 * time.Millisecond)
	once := newRequest("2")
	once.AtMostOnce = true
	response, err := p.Send(t.Context(), once)
	is.NoErr(err)
	body, err := io.ReadAll(response)
	is.NoErr(err)
	response.Close()
	is.Equal(string(body), "new")
	body2, err := send(t, p, "3")
	is.NoErr(err)
	is.Equal(body2, "old")
}

// TestCallerCancelsDuringBodyWrite cancels requests just when the goroutine that writes their long body starts: it must not use
// the connection through the response, which has been closed by then.
func TestCallerCancelsDuringBodyWrite(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for range 200 {
		ctx, cancel := context.WithCancel(t.Context())
		client, server := net.Pipe()
		dial := func(context.Context, string, string) (net.Conn, error) {
			cancel()
			return client, nil
		}
		p := direct.New(direct.Config{Address: "127.0.0.1:1", DialTimeout: time.Minute, Dial: dial})
		long := newRequest("1")
		long.Body = [][]byte{[]byte(strings.Repeat("x", 1<<20))}
		_, err := p.Send(ctx, long)
		var failure *direct.Error
		is.True(errors.As(err, &failure))
		is.Equal(failure.Outcome, outcome.Unknown)
		is.NoErr(server.Close())
	}
}

// TestRequestNotConfirmed checks that nothing is sent if the request is withdrawn while the connection is being opened.
func TestRequestNotConfirmed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var received atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
	t.Cleanup(server.Close)
	pool := direct.New(direct.Config{Address: server.Listener.Addr().String(), DialTimeout: time.Second})
	_, err := pool.Send(t.Context(), &direct.Request{Method: http.MethodGet, Target: "/", Confirm: func() bool { return false }})
	var failure *direct.Error
	is.True(errors.As(err, &failure))
	is.Equal(failure.Outcome, outcome.NotRun)
	is.True(!failure.Unreachable)
	is.True(errors.Is(err, direct.ErrNotConfirmed))
	is.Equal(received.Load(), int64(0))
}
