package link_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"vanillapond/internal/connection/link"
	"vanillapond/internal/process/holdings"
	"vanillapond/pkg/ident"
)

// settleInterval is long enough for a handler that still has credit to send more.
const settleInterval = 100 * time.Millisecond

// handler is a function that implements link.Handler.
type handler func(stream *link.Incoming)

// ServeStream implements link.Handler.
func (h handler) ServeStream(stream *link.Incoming) { h(stream) }

func hello(minVersion, maxVersion int, secret string) link.Hello {
	return link.Hello{MinVersion: minVersion, MaxVersion: maxVersion, Process: "p", Incarnation: "i", Secret: secret}
}

// serve starts a sidecar's link server and returns its address.
func serve(t *testing.T, local link.Hello, handle handler) string {
	t.Helper()
	server := httptest.NewServer(link.NewServer(link.ServerConfig{
		Hello: func() link.Hello { return local }, Handler: handle,
	}))
	t.Cleanup(server.Close)
	return "ws" + strings.TrimPrefix(server.URL, "http")
}

func dial(t *testing.T, handle handler) *link.Client {
	t.Helper()
	url := serve(t, hello(1, 1, ""), handle)
	client, err := link.Dial(context.Background(), link.ClientConfig{URL: url, Hello: hello(1, 1, "")})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return client
}

// body returns a body derived from the request id; for ids that start with "slow" it is larger than the credit.
func body(request ident.Request) []byte {
	var seed [32]byte
	copy(seed[:], request)
	random := rand.NewChaCha8(seed)
	size := random.Uint64() % (16 << 10)
	if strings.HasPrefix(string(request), "slow") {
		size += 512 << 10
	}
	content := make([]byte, size)
	_, _ = random.Read(content)
	return content
}

// echo sends the body for the request, in chunks of varying size.
func echo(stream *link.Incoming) {
	_ = stream.Accept(link.Load{})
	_ = stream.Head(http.StatusOK, nil)
	for rest := body(stream.Open.Request); len(rest) > 0; {
		size := min(len(rest), 1+len(rest)%(40<<10))
		if _, err := stream.Write(rest[:size]); err != nil {
			return
		}
		rest = rest[size:]
	}
	_ = stream.End(link.Usage{}, link.Load{})
}

func open(t *testing.T, client *link.Client, request ident.Request) *link.Stream {
	t.Helper()
	stream, err := client.Open(context.Background(), &link.Open{Request: request, Method: "GET", Path: "/"})
	if err != nil {
		t.Fatal(err)
	}
	return stream
}

// readAll returns the body of a complete response.
func readAll(stream *link.Stream) ([]byte, error) {
	var content []byte
	for {
		frame, err := stream.Next(context.Background())
		if err != nil {
			return nil, err
		}
		switch frame := frame.(type) {
		case *link.Data:
			content = append(content, frame.Bytes...)
		case *link.Deny:
			return nil, errors.New(frame.Reason)
		case *link.End:
			return content, nil
		}
	}
}

// TestThousandsOfStreams checks that each stream of a link receives its own complete response while others are not read.
func TestThousandsOfStreams(t *testing.T) {
	t.Parallel()
	const streams = 3000
	const idle = 50
	client := dial(t, echo)
	slow := make([]*link.Stream, idle)
	for index := range slow {
		slow[index] = open(t, client, ident.Request(fmt.Sprintf("slow-%d", index)))
	}
	var group errgroup.Group
	for index := range streams {
		request := ident.Request(fmt.Sprintf("fast-%d", index))
		stream := open(t, client, request)
		group.Go(func() error { return checkResponse(stream, request) })
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	for index, stream := range slow {
		if err := checkResponse(stream, ident.Request(fmt.Sprintf("slow-%d", index))); err != nil {
			t.Fatal(err)
		}
	}
}

func checkResponse(stream *link.Stream, request ident.Request) error {
	defer stream.Close()
	content, err := readAll(stream)
	if err != nil {
		return err
	}
	if !bytes.Equal(content, body(request)) {
		return fmt.Errorf("%s: found the body of another response", request)
	}
	return nil
}

// TestLargeChunk checks that a chunk much larger than the credit neither ends the link nor is truncated.
func TestLargeChunk(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	large := bytes.Repeat([]byte("x"), 3<<20)
	client := dial(t, func(stream *link.Incoming) {
		_ = stream.Accept(link.Load{})
		_ = stream.Head(http.StatusOK, nil)
		_, _ = stream.Write(large)
		_ = stream.End(link.Usage{}, link.Load{})
	})
	content, err := readAll(open(t, client, "large"))
	is.NoErr(err)
	is.Equal(len(content), len(large))
}

// TestCreditStopsSender checks that a sidecar sends only a bounded number of bytes on a stream that is not read.
func TestCreditStopsSender(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var sent atomic.Int64
	ended := make(chan error, 1)
	client := dial(t, func(stream *link.Incoming) {
		_ = stream.Accept(link.Load{})
		_ = stream.Head(http.StatusOK, nil)
		chunk := make([]byte, 1000)
		var err error
		for err == nil {
			var count int
			count, err = stream.Write(chunk)
			sent.Add(int64(count))
		}
		ended <- err
	})
	stream := open(t, client, "idle")
	for before := int64(-1); before != sent.Load() || before == 0; {
		before = sent.Load()
		time.Sleep(settleInterval)
	}
	stream.Close()
	is.True(errors.Is(<-ended, link.ErrCancelled))
	is.True(sent.Load() <= 512<<10)
}

// TestVersions checks which protocol version old and new processes agree on, and that a link needs a common one.
func TestVersions(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name              string
		entry, sidecar    link.Hello
		version           int
		entryErr, refused error
	}{
		{name: "same", entry: hello(1, 1, "s"), sidecar: hello(1, 1, "s"), version: 1},
		{name: "new entry", entry: hello(1, 3, "s"), sidecar: hello(1, 1, "s"), version: 1},
		{name: "new sidecar", entry: hello(1, 2, "s"), sidecar: hello(2, 5, "s"), version: 2},
		{name: "no common version", entry: hello(1, 1, "s"), sidecar: hello(2, 3, "s"), entryErr: link.ErrVersion},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			client, err := link.Dial(context.Background(), link.ClientConfig{URL: serve(t, test.sidecar, echo), Hello: test.entry})
			if test.entryErr != nil {
				is.True(errors.Is(err, test.entryErr))
				return
			}
			is.NoErr(err)
			defer client.Close()
			is.Equal(client.Version(), test.version)
		})
	}
}

// TestSecret checks that a peer with the wrong secret gets no link and does not learn the secret.
func TestSecret(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	_, err := link.Dial(context.Background(), link.ClientConfig{URL: serve(t, hello(1, 1, "right"), echo), Hello: hello(1, 1, "wrong")})
	is.True(err != nil)
	is.True(!errors.Is(err, link.ErrSecret)) // The sidecar closed the connection before it sent its own hello.
}

// TestLongHello guards against reading a long message of a peer that is not known yet.
func TestLongHello(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	url := serve(t, hello(1, 1, ""), echo)
	socket, response, err := websocket.Dial(t.Context(), url, nil)
	is.NoErr(err)
	if response.Body != nil {
		_ = response.Body.Close()
	}
	socket.SetReadLimit(-1)
	_ = socket.Write(t.Context(), websocket.MessageBinary, make([]byte, 1<<20))
	_, _, err = socket.Read(t.Context())
	is.Equal(websocket.CloseStatus(err), websocket.StatusMessageTooBig)
}

// TestNoRoomForRequest checks that a request for whose body there is no room is denied as not run, and that the link goes on.
func TestNoRoomForRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	account := holdings.New(holdings.Config{Limits: holdings.Limits{Bytes: 1 << 20, Largest: 1 << 20, Connections: 10}})
	local := hello(1, 1, "")
	local.Load = link.Load{Capacity: 1}
	server := httptest.NewServer(link.NewServer(link.ServerConfig{Hello: func() link.Hello { return local }, Handler: handler(echo), Holdings: account}))
	t.Cleanup(server.Close)
	client, err := link.Dial(t.Context(), link.ClientConfig{URL: "ws" + strings.TrimPrefix(server.URL, "http"), Hello: hello(1, 1, "")})
	is.NoErr(err)
	t.Cleanup(client.Close)
	for _, size := range []int{500 << 10, 1000} {
		stream, err := client.Open(t.Context(), &link.Open{Request: "r", Method: "GET", Path: "/", Body: make([]byte, size)})
		is.NoErr(err)
		frame, err := stream.Next(t.Context())
		is.NoErr(err)
		deny, denied := frame.(*link.Deny)
		is.Equal(denied, size > 1000)
		if denied {
			is.True(deny.NotRun)
			is.True(deny.RetryAfterMS > 0)
		}
	}
}

// TestAliveAfterPause checks that Alive, after a pause of this process, pings the entry and is false if the entry does not respond:
// a sidecar would otherwise run requests of entries that have given them up.
func TestAliveAfterPause(t *testing.T) {
	t.Parallel()
	for _, responsive := range []bool{true, false} {
		is := is.New(t)
		alive := make(chan bool, 1)
		url := serve(t, hello(1, 1, ""), func(stream *link.Incoming) {
			link.ExpireLastPing(stream)
			alive <- stream.Alive(context.Background())
		})
		if responsive {
			client, err := link.Dial(context.Background(), link.ClientConfig{URL: url, Hello: hello(1, 1, "")})
			is.NoErr(err)
			open(t, client, "r")
		} else {
			is.NoErr(link.OpenAndStall(url, hello(1, 1, "")))
		}
		is.Equal(<-alive, responsive)
	}
}
