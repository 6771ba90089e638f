package listener_test

import (
	"bufio"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/certificate"
	"vanillapond/internal/process/holdings"
	"vanillapond/internal/process/listener"
)

const plainRequest = "GET / HTTP/1.1\r\nHost: h.example\r\n\r\n"

// newAccount returns an account that bounds bytes and connections.
func newAccount(bytes holdings.Bytes, connections int) *holdings.Account {
	return holdings.New(holdings.Config{Limits: holdings.Limits{Bytes: bytes, Largest: bytes, Connections: connections}})
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	return conn
}

// exchange sends a request and returns the response and its body; the status is 0 if the connection was closed instead.
func exchange(conn net.Conn, request string) (status int, header http.Header, body string) {
	if _, err := io.WriteString(conn, request); err != nil {
		return 0, nil, err.Error()
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, nil, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	content, _ := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, string(content)
}

// isOpen reports whether the other side keeps a connection open for a short time.
func isOpen(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_, err := conn.Read(make([]byte, 1))
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// eventually waits until a condition holds.
func eventually(t *testing.T, condition string, check func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !check(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not met within 10 s: %s", condition)
		}
	}
}

// TestConnectionsAreBounded guards against idle connections that take all descriptors, and against refusing those that come while idle ones are open.
func TestConnectionsAreBounded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const limit = 16
	account := newAccount(64<<20, limit)
	release := make(chan struct{})
	address := serve(t, listener.Config{Holdings: account, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-release
		}
		greet(w, r)
	})})
	var conns []net.Conn
	running := dial(t, address)
	_, err := io.WriteString(running, "GET /wait HTTP/1.1\r\nHost: h.example\r\n\r\n")
	is.NoErr(err)
	for range 4 * limit {
		conn := dial(t, address)
		status, _, _ := exchange(conn, plainRequest)
		is.Equal(status, http.StatusOK)
		conns = append(conns, conn)
		is.True(account.Connections() <= limit)
	}
	open := 0
	for _, conn := range conns {
		if isOpen(conn) {
			open++
		}
	}
	is.True(open > 0 && open < limit)
	close(release)
	response, err := http.ReadResponse(bufio.NewReader(running), nil)
	is.NoErr(err) // A connection with a request stays.
	_ = response.Body.Close()
	for _, conn := range append(conns, running) {
		_ = conn.Close()
	}
	eventually(t, "nothing is held", func() bool { return account.Connections() == 0 && account.Bytes() == 0 })
}

// TestUnfinishedBodiesMakeWay guards against callers that take all connections with bodies of a few bytes that they never finish.
func TestUnfinishedBodiesMakeWay(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const limit = 16
	account := newAccount(64<<20, limit)
	address := serve(t, listener.Config{Holdings: account, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		greet(w, r)
	})})
	for range 4 * limit {
		_, _ = io.WriteString(dial(t, address), "POST / HTTP/1.1\r\nHost: h.example\r\nContent-Length: 10\r\n\r\nshort")
	}
	for range 3 {
		status, _, body := exchange(dial(t, address), plainRequest)
		is.Equal(status, http.StatusOK)
		is.Equal(body, "hello")
	}
}

// TestRefusedBodiesMakeWay guards against connections that net/http keeps open for half a second after a refusal, so that each new one waits for one of them.
func TestRefusedBodiesMakeWay(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const limit = 16
	account := newAccount(64<<20, limit)
	address := serve(t, listener.Config{Holdings: account, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > 0 {
			_, _ = io.Copy(io.Discard, r.Body)
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		greet(w, r)
	})})
	const unfinished = "POST / HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1000000\r\n\r\n"
	start := time.Now()
	for range 4 * limit {
		_, _ = io.WriteString(dial(t, address), unfinished+strings.Repeat("b", 500))
	}
	status, _, _ := exchange(dial(t, address), plainRequest)
	is.Equal(status, http.StatusOK)
	is.True(time.Since(start) < limit*time.Second/2)
}

// TestBodyByteByByte guards against taking the pieces of a slow caller's body for bytes behind the request.
func TestBodyByteByByte(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	account := holdings.New(holdings.Config{Limits: holdings.NewLimits(8<<20, 0)})
	address := serve(t, listener.Config{Holdings: account, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	})})
	conn := dial(t, address)
	is.NoErr(conn.(*net.TCPConn).SetNoDelay(true))
	const body = "one byte after the other, as a caller with a slow link may send it"
	request := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h.example\r\nContent-Length: %d\r\n\r\n", 4*len(body))
	_, err := io.WriteString(conn, request)
	is.NoErr(err)
	for _, piece := range []byte(strings.Repeat(body, 4)) {
		_, err := conn.Write([]byte{piece})
		is.NoErr(err)
		time.Sleep(time.Millisecond)
		is.True(account.Bytes() < 64<<10)
	}
	status, _, echoed := exchange(conn, "")
	is.Equal(status, http.StatusOK)
	is.Equal(echoed, strings.Repeat(body, 4))
}

// TestHeadsAreBounded guards against unfinished heads that hold more than all callers may.
func TestHeadsAreBounded(t *testing.T) {
	t.Parallel()
	const allowed = 8 << 20
	for name, fields := range map[string]string{
		"one field": "X-Long: " + strings.Repeat("y", 30<<10), "short fields": strings.Repeat("a:\r\n", 2000), "empty": "",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			account := newAccount(allowed, 500)
			address := serve(t, listener.Config{Handler: greet, Holdings: account})
			for range 400 {
				conn := dial(t, address)
				_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h.example\r\n"+fields)
				is.True(account.Bytes() <= allowed)
			}
			status, _, body := exchange(dial(t, address), plainRequest)
			is.Equal(status, http.StatusOK)
			is.Equal(body, "hello")
		})
	}
}

// TestConfiguredHeaderLimit guards against reading 64 KiB of each head, whatever the limit in force.
func TestConfiguredHeaderLimit(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const limit = 4 << 10
	var refused atomic.Int64
	address := serve(t, listener.Config{
		Handler: greet, Limits: func() listener.Limits { return listener.Limits{HeaderBytes: limit} },
		OnHeadRefused: func(_ string, status, bytes int) {
			is.Equal(status, http.StatusRequestHeaderFieldsTooLarge)
			is.True(bytes < limit+20<<10)
			refused.Add(1)
		},
	})
	head := func(size int) string {
		return "GET / HTTP/1.1\r\nHost: h.example\r\nX-Long: " + strings.Repeat("y", size)
	}
	refusedConn := dial(t, address)
	status, _, _ := exchange(refusedConn, head(60<<10))
	is.Equal(status, http.StatusRequestHeaderFieldsTooLarge)
	is.True(!isOpen(refusedConn))
	is.Equal(refused.Load(), int64(1))
	status, _, _ = exchange(dial(t, address), head(limit-100)+"\r\n\r\n")
	is.Equal(status, http.StatusOK)
	// Each request of a connection has the whole limit.
	conn := dial(t, address)
	for range 10 {
		status, _, _ = exchange(conn, head(limit-100)+"\r\n\r\n")
		is.Equal(status, http.StatusOK)
	}
}

// TestNoRoomForHead checks the response while all room is taken by requests that run.
func TestNoRoomForHead(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const allowed, each = 4 << 20, 60 << 10
	account := newAccount(allowed, 10)
	address := serve(t, listener.Config{Handler: greet, Holdings: account})
	var bodies []*holdings.Holding
	for range allowed/each - 1 {
		body, err := account.Open(holdings.Body, "", each, func() {})
		is.NoErr(err)
		is.NoErr(body.Settle())
		bodies = append(bodies, body)
	}
	status, header, _ := exchange(dial(t, address), "GET / HTTP/1.1\r\nHost: h.example\r\nX-Long: "+strings.Repeat("y", 60<<10))
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(header.Get("Retry-After") != "")
	for _, body := range bodies {
		body.Close()
	}
	status, _, _ = exchange(dial(t, address), plainRequest)
	is.Equal(status, http.StatusOK)
}

// TestBytesBehindRequestAreHeld guards against bytes behind a request, which nobody reads while it runs and nobody counts.
func TestBytesBehindRequestAreHeld(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	account := holdings.New(holdings.Config{Limits: holdings.NewLimits(0, 0)})
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	address := serve(t, listener.Config{Holdings: account, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release })})
	conn := dial(t, address)
	is.NoErr(conn.(*net.TCPConn).SetWriteBuffer(4 << 10))
	_, err := io.WriteString(conn, plainRequest)
	is.NoErr(err)
	before := holdings.Bytes(0)
	eventually(t, "request runs", func() bool { before = account.Bytes(); return before > holdings.ConnectionBytes })
	_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
	sent, err := conn.Write(make([]byte, 1<<20))
	is.True(err != nil)
	is.True(sent < 256<<10)
	is.True(int64(account.Bytes()-before) >= 32<<10)
}

// TestRequestsWithBytesBehindMakeWay guards against connections that have to go, but whose requests run on unaware of that, so that each new connection waits
// for one of them.
func TestRequestsWithBytesBehindMakeWay(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const limit = 16
	var running atomic.Int64
	account := newAccount(64<<20, limit)
	address := serve(t, listener.Config{Holdings: account, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			running.Add(1)
			<-r.Context().Done()
		}
		greet(w, r)
	})})
	var conns []net.Conn
	for range limit {
		conns = append(conns, dial(t, address))
		_, _ = io.WriteString(conns[len(conns)-1], "GET /wait HTTP/1.1\r\nHost: h.example\r\n\r\n")
	}
	eventually(t, "all requests run", func() bool { return running.Load() == limit })
	for _, conn := range conns {
		_, _ = io.WriteString(conn, "GET /")
	}
	eventually(t, "bytes behind all requests are held", func() bool { return account.Bytes() >= limit*(holdings.ConnectionBytes+32<<10) })
	start := time.Now()
	for range limit {
		status, _, _ := exchange(dial(t, address), plainRequest)
		is.Equal(status, http.StatusOK)
	}
	is.True(time.Since(start) < limit*time.Second/2)
}

// TestUnreadBodyDoesNotKeepConnection guards against callers that keep a goroutine by a short body without its end, once its handler has returned.
func TestUnreadBodyDoesNotKeepConnection(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	address := serve(t, listener.Config{Handler: greet})
	conn := dial(t, address)
	status, _, _ := exchange(conn, "POST / HTTP/1.1\r\nHost: h.example\r\nContent-Length: 100\r\n\r\nshort")
	is.Equal(status, http.StatusOK)
	_, err := conn.Read(make([]byte, 1))
	is.True(err != nil && !strings.Contains(err.Error(), "timeout")) // The other side has closed it.
}

// TestLimitsHoldWithTLS guards against timeouts of the limits that hold for plain connections only.
func TestLimitsHoldWithTLS(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	files := newFiles(t)
	files.Authority = ""
	config, err := certificate.NewServerConfig(files, "http/1.1")
	is.NoErr(err)
	address := serve(t, listener.Config{Handler: greet, TLS: config, Limits: func() listener.Limits {
		return listener.Limits{HeaderTimeout: 300 * time.Millisecond, IdleTimeout: 400 * time.Millisecond}
	}})
	for name, request := range map[string]string{"header": "GET / HTTP/1.1\r\n", "idle": plainRequest} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn := tls.Client(dial(t, address), &tls.Config{InsecureSkipVerify: true})
			is.NoErr(conn.Handshake())
			start := time.Now()
			_, err := io.WriteString(conn, request)
			is.NoErr(err)
			_, _ = io.Copy(io.Discard, conn)
			is.True(time.Since(start) < 3*time.Second) // The listener's own are 5 s and two minutes.
		})
	}
}

// TestStreamsAreBounded checks that the heads of the requests of one HTTP/2 connection are bounded, and that a refused one is told when to come back.
func TestStreamsAreBounded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	files := newFiles(t)
	files.Authority = ""
	config, err := certificate.NewServerConfig(files, "h2")
	is.NoErr(err)
	const allowed = 4 << 20
	account := newAccount(allowed, 10)
	release := make(chan struct{})
	address := serve(t, listener.Config{TLS: config, Holdings: account, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/first" {
			<-release
		}
	})})
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}, ForceAttemptHTTP2: true}}
	t.Cleanup(client.CloseIdleConnections)
	// The others find an open connection.
	first, err := client.Get("https://" + address + "/first")
	is.NoErr(err)
	_ = first.Body.Close()
	statuses := make(chan string, 150)
	for range 150 {
		go func() {
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "https://"+address, nil)
			if err != nil {
				statuses <- err.Error()
				return
			}
			request.Header.Set("X-Long", strings.Repeat("y", 50<<10))
			response, err := client.Do(request)
			if err != nil {
				statuses <- err.Error()
				return
			}
			_ = response.Body.Close()
			statuses <- fmt.Sprint(response.StatusCode, response.Header.Get("Retry-After") != "")
		}()
	}
	// Some are refused at once; those that run end only then.
	is.Equal(<-statuses, "503 true")
	is.True(account.Bytes() <= allowed)
	close(release)
	counts := map[string]int{"503 true": 1}
	for range 149 {
		counts[<-statuses]++
	}
	is.True(counts["200 false"] >= 20)
	is.Equal(counts["200 false"]+counts["503 true"], 150)
}
