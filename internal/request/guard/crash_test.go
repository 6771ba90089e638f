package guard_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/connection/backend"
	"vanillapond/internal/connection/link"
	"vanillapond/internal/process/event"
	"vanillapond/internal/process/ledger"
	"vanillapond/internal/request/guard"
	"vanillapond/pkg/configuration"
	"vanillapond/pkg/ident"
)

// Paths of the requests to a crashingBackend.
const (
	pathWarm     = "/warm"
	pathFatal    = "/fatal"
	pathInnocent = "/innocent"
)

// crashingBackend is a backend whose process ends when it runs a request for pathFatal. Connections that were idle at that moment
// stay open on the client's side, as they do until the client has handled their end; a request on one of them gets no response.
type crashingBackend struct {
	listener net.Listener
	// warm holds back the responses to pathWarm, so that each of them needs a connection of its own.
	warm sync.WaitGroup
	// fatal receives the connection of the fatal request; the process ends when crash is called.
	fatal chan net.Conn
	mu    sync.Mutex
	conns []net.Conn
}

// newCrashingBackend starts a backend that responds to warmUps requests for pathWarm once all of them have arrived.
func newCrashingBackend(t *testing.T, warmUps int) *crashingBackend {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &crashingBackend{listener: listener, fatal: make(chan net.Conn, 1)}
	b.warm.Add(warmUps)
	go b.accept()
	t.Cleanup(func() {
		_ = listener.Close()
		b.mu.Lock()
		defer b.mu.Unlock()
		for _, conn := range b.conns {
			_ = conn.Close()
		}
	})
	return b
}

func (b *crashingBackend) accept() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns = append(b.conns, conn)
		b.mu.Unlock()
		go b.serve(conn)
	}
}

func (b *crashingBackend) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		switch request.URL.Path {
		case pathWarm:
			b.warm.Done()
			b.warm.Wait()
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		case pathFatal:
			b.fatal <- conn
		default:
			_ = conn.Close()
			return
		}
	}
}

// crash ends the process while it runs the fatal request.
func (b *crashingBackend) crash(conn net.Conn) {
	_ = b.listener.Close()
	_ = conn.Close()
}

// newGuard returns a client of a sidecar with a guard in front of the backend.
func newGuard(t *testing.T, b *crashingBackend) *link.Client {
	t.Helper()
	events := event.New(event.Config{})
	g := guard.New(guard.Config{
		Endpoint: "engine-1", Incarnation: "i", Concurrency: 8, Events: events, RecordBuffer: ledger.NewRecordBuffer(ledger.RecordBufferConfig{}),
		Backend: backend.New(backend.Config{BaseURL: "http://" + b.listener.Addr().String(), Kind: configuration.KindService}),
	})
	hello := link.Hello{MinVersion: 1, MaxVersion: 1, Process: "p", Incarnation: "i"}
	server := httptest.NewServer(link.NewServer(link.ServerConfig{Hello: func() link.Hello { return hello }, Handler: g}))
	t.Cleanup(server.Close)
	client, err := link.Dial(t.Context(), link.ClientConfig{URL: "ws" + strings.TrimPrefix(server.URL, "http"), Hello: hello})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return client
}

func send(t *testing.T, client *link.Client, path string, suspected bool) *link.Stream {
	t.Helper()
	stream, err := client.Open(t.Context(), &link.Open{
		Request: ident.Request(path), Method: http.MethodPost, Path: path, Idempotent: true, Suspect: suspected, Body: []byte("body"),
		Customer: "school", Class: "drafting", Weight: 1, BudgetMS: 10_000, DeadlineMS: 10_000,
	})
	if err != nil {
		t.Fatal(err)
	}
	return stream
}

// end returns the denial that ends the stream, or nil if the response is complete.
func end(t *testing.T, stream *link.Stream) *link.Deny {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	for {
		frame, err := stream.Next(ctx)
		if err != nil {
			t.Fatal(err)
		}
		switch frame := frame.(type) {
		case *link.Deny:
			return frame
		case *link.End:
			return nil
		}
	}
}

// TestSuspectAfterCrash verifies that a suspect whose turn comes after another one has crashed the backend is neither sent to the
// backend's old connections nor recorded as lost with it. It was recorded if it got an idle connection whose end the sidecar had not
// handled yet; a second loss then condemned a request that had only waited.
func TestSuspectAfterCrash(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b := newCrashingBackend(t, 2)
	client := newGuard(t, b)
	first, second := send(t, client, pathWarm, false), send(t, client, pathWarm, false)
	is.True(end(t, first) == nil)
	is.True(end(t, second) == nil)

	fatal := send(t, client, pathFatal, true)
	conn := <-b.fatal
	innocent := send(t, client, pathInnocent, true)
	b.crash(conn)
	denied := end(t, fatal)
	is.Equal(denied.Code, link.DenyCrashed)
	is.True(denied.Loss != "")
	denied = end(t, innocent)
	is.Equal(string(denied.Loss), "")
	is.True(denied.NotRun)
	is.Equal(denied.Code, link.DenyDown)
}
