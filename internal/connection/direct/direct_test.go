package direct_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/connection/direct"
	"vanillapond/internal/process/outcome"
)

// script answers one connection, request by request, by raw bytes.
type script func(conn net.Conn, requests *bufio.Reader)

// serve runs each script for one connection, in order, and returns the address.
func serve(t *testing.T, scripts ...script) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for _, each := range scripts {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				each(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return listener.Addr().String()
}

// take reads one request and returns its id.
func take(requests *bufio.Reader) string {
	request, err := http.ReadRequest(requests)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, request.Body)
	return request.Header.Get("X-Id")
}

func say(conn net.Conn, text string) { _, _ = conn.Write([]byte(text)) }

// answer returns a whole answer to a request.
func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string { return string([]byte{byte('0' + n/10), byte('0' + n%10)}) }

func request(id string) *direct.Request {
	return &direct.Request{
		Method: http.MethodPost, Target: "/a/b?c", Host: "h.example", Header: http.Header{"X-Id": {id}}, Body: []byte("body"),
		ID: id, IDHeader: "X-Id", RefusalHeaders: []string{"X-Refused"},
	}
}

func pool(address string) *direct.Pool {
	return direct.New(direct.Config{Address: address, DialTimeout: time.Second})
}

// send sends a request and reads the whole answer.
func send(t *testing.T, p *direct.Pool, id string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	response, err := p.Send(ctx, request(id))
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return string(body), err
}

// TestResponses plays what a server may do to a first and a second request on one connection.
func TestResponses(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		// first is said after the first request; the second request gets its answer on whatever connection it comes.
		first  string
		body   string
		fails  bool
		reuses bool
	}{
		{name: "whole", first: answer("1", "hello"), body: "hello", reuses: true},
		{name: "whole in chunks", first: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", body: "hello", reuses: true},
		{name: "interim before", first: "HTTP/1.1 100 Continue\r\n\r\n" + answer("1", "hello"), body: "hello", reuses: true},
		{name: "doubled", first: answer("1", "hello") + answer("1", "again"), body: "hello"},
		{name: "trailing bytes", first: answer("1", "hello") + "xx", body: "hello"},
		{name: "closing", first: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello", body: "hello"},
		{name: "without timeout left", first: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nKeep-Alive: timeout=0\r\nContent-Length: 5\r\n\r\nhello", body: "hello"},
		{name: "cut", first: "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\nConnection: close\r\n\r\nhello", fails: true},
		{name: "garbage", first: "\x00\x01nonsense\r\n\r\n", fails: true},
		{name: "switching protocols", first: "HTTP/1.1 101 Switching Protocols\r\n\r\n", fails: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			first := func(conn net.Conn, requests *bufio.Reader) {
				take(requests)
				say(conn, c.first)
				if c.fails {
					return
				}
				if take(requests) == "2" {
					say(conn, answer("2", "reused"))
				}
			}
			fresh := func(conn net.Conn, requests *bufio.Reader) {
				if take(requests) == "2" {
					say(conn, answer("2", "fresh"))
				}
			}
			p := pool(serve(t, first, fresh))
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

// TestLateResponseIsSkipped plays an answer to the first request that comes where that of the second is due.
func TestLateResponseIsSkipped(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := pool(serve(t, func(conn net.Conn, requests *bufio.Reader) {
		take(requests)
		say(conn, answer("1", "hello"))
		take(requests)
		say(conn, answer("1", "again")+answer("2", "right"))
	}))
	_, err := send(t, p, "1")
	is.NoErr(err)
	body, err := send(t, p, "2")
	is.NoErr(err)
	is.Equal(body, "right")
}

// TestUnframedResponse tells an answer that ends with its connection from one whose connection was reset.
func TestUnframedResponse(t *testing.T) {
	t.Parallel()
	const head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nhello"
	for _, reset := range []bool{false, true} {
		is := is.New(t)
		p := pool(serve(t, func(conn net.Conn, requests *bufio.Reader) {
			take(requests)
			say(conn, head)
			if tcp, ok := conn.(*net.TCPConn); ok && reset {
				time.Sleep(20 * time.Millisecond)
				_ = tcp.SetLinger(0)
			}
		}))
		_, err := send(t, p, "1")
		is.Equal(err != nil, reset)
	}
}

// TestOutcomes tells requests that did not run from those that may have.
func TestOutcomes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var failure *direct.Error

	closed, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(closed.Close())
	_, err = send(t, pool(closed.Addr().String()), "1")
	is.True(errors.As(err, &failure))
	is.Equal(failure.Outcome, outcome.NotRun)
	is.True(failure.Unreachable)

	_, err = send(t, pool(serve(t, func(_ net.Conn, requests *bufio.Reader) { take(requests) })), "1")
	is.True(errors.As(err, &failure))
	is.Equal(failure.Outcome, outcome.Unknown)
	is.True(failure.ConnectionFailed)

	full := direct.New(direct.Config{Address: closed.Addr().String(), DialTimeout: time.Second, MaxConnections: func() int { return 0 }})
	_, err = send(t, full, "1")
	is.True(errors.Is(err, direct.ErrNoConnection))
	is.True(errors.As(err, &failure))
	is.Equal(failure.Outcome, outcome.NotRun)
	is.True(!failure.Unreachable)
}

// TestCallerCancels holds that a server sees the connection end when the caller's context does.
func TestCallerCancels(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, leave := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	p := pool(serve(t, func(conn net.Conn, requests *bufio.Reader) {
		take(requests)
		leave()
		_, err := conn.Read(make([]byte, 1))
		ended <- err
	}))
	_, err := p.Send(ctx, request("1"))
	var failure *direct.Error
	is.True(errors.As(err, &failure))
	is.True(!failure.ConnectionFailed)
	is.Equal(failure.Outcome, outcome.Unknown)
	is.True(<-ended != nil)
}

// TestCallerCancelsDuringDial holds that a request whose caller left while its connection was being made did not run,
// and that this says nothing against the server.
func TestCallerCancelsDuringDial(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, leave := context.WithCancel(t.Context())
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		leave()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	p := direct.New(direct.Config{Address: "127.0.0.1:1", DialTimeout: time.Minute, Dial: dial})
	_, err := p.Send(ctx, request("1"))
	var failure *direct.Error
	is.True(errors.As(err, &failure))
	is.Equal(failure.Outcome, outcome.NotRun)
	is.True(!failure.ConnectionFailed)
	is.True(!failure.Unreachable)
}

// TestEarlyResponse plays a server that answers a long request before it has read it, and reads on later.
func TestEarlyResponse(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	rest := make(chan string, 1)
	first := func(conn net.Conn, requests *bufio.Reader) {
		if _, err := requests.ReadString('\n'); err != nil {
			return
		}
		say(conn, answer("1", "early"))
		time.Sleep(100 * time.Millisecond)
		all, _ := io.ReadAll(requests)
		rest <- string(all)
	}
	second := func(conn net.Conn, requests *bufio.Reader) {
		if take(requests) == "2" {
			say(conn, answer("2", "fresh"))
		}
	}
	p := pool(serve(t, first, second))
	long := request("1")
	long.Body = []byte(strings.Repeat("x", 16<<20))
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
	is.True(!strings.Contains(<-rest, "X-Id: 2"))
}

// TestAtMostOnceUsesRecentConnection holds that a request that must not run twice is not sent on a connection that the server
// may have dropped.
func TestAtMostOnceUsesRecentConnection(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	reused := func(conn net.Conn, requests *bufio.Reader) {
		for {
			id := take(requests)
			if id == "" {
				return
			}
			say(conn, answer(id, "old"))
		}
	}
	fresh := func(conn net.Conn, requests *bufio.Reader) {
		say(conn, "HTTP/1.1 200 OK\r\nX-Id: "+take(requests)+"\r\nConnection: close\r\nContent-Length: 3\r\n\r\nnew")
	}
	p := pool(serve(t, reused, fresh))
	_, err := send(t, p, "1")
	is.NoErr(err)
	time.Sleep(300 * time.Millisecond)
	once := request("2")
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

// TestCallerCancelsDuringBodyWrite ends requests while the goroutine that writes their long body has hardly begun.
func TestCallerCancelsDuringBodyWrite(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for range 200 {
		ctx, leave := context.WithCancel(t.Context())
		here, there := net.Pipe()
		dial := func(context.Context, string, string) (net.Conn, error) {
			leave()
			return here, nil
		}
		p := direct.New(direct.Config{Address: "127.0.0.1:1", DialTimeout: time.Minute, Dial: dial})
		long := request("1")
		long.Body = []byte(strings.Repeat("x", 1<<20))
		_, err := p.Send(ctx, long)
		var failure *direct.Error
		is.True(errors.As(err, &failure))
		is.Equal(failure.Outcome, outcome.Unknown)
		is.NoErr(there.Close())
	}
}
