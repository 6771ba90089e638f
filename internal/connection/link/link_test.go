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

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"vanillapond/internal/connection/link"
	"vanillapond/pkg/ident"
)

// settle is long enough for a sender with credit to send more.
const settle = 100 * time.Millisecond

// handler is a function that implements link.Handler.
type handler func(stream *link.Incoming)

// ServeStream implements link.Handler.
func (h handler) ServeStream(stream *link.Incoming) { h(stream) }

func hello(least, greatest int, secret string) link.Hello {
	return link.Hello{MinVersion: least, MaxVersion: greatest, Process: "p", Incarnation: "i", Secret: secret}
}

// serve starts a sidecar's end and returns its address.
func serve(t *testing.T, own link.Hello, handle handler) string {
	t.Helper()
	server := httptest.NewServer(link.NewServer(link.ServerConfig{
		Hello: func() link.Hello { return own }, Handler: handle,
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

// body returns the same bytes for the same request, more than the credit for slow ones.
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

// echo answers each request with its own bytes, in parts of changing size.
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

// readAll returns a whole answer.
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

// TestThousandsOfStreams checks that every caller of one link gets its own whole answer while others read nothing.
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
		group.Go(func() error { return checkAnswer(stream, request) })
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	for index, stream := range slow {
		if err := checkAnswer(stream, ident.Request(fmt.Sprintf("slow-%d", index))); err != nil {
			t.Fatal(err)
		}
	}
}

func checkAnswer(stream *link.Stream, request ident.Request) error {
	defer stream.Close()
	content, err := readAll(stream)
	if err != nil {
		return err
	}
	if !bytes.Equal(content, body(request)) {
		return fmt.Errorf("%s: found another answer", request)
	}
	return nil
}

// TestLargeChunk checks that one part far beyond the credit neither ends the link nor is cut.
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

// TestCreditStopsSender checks that a sidecar runs ahead of a caller that reads nothing by a bounded amount.
func TestCreditStopsSender(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var sent atomic.Int64
	ended := make(chan error, 1)
	client := dial(t, func(stream *link.Incoming) {
		_ = stream.Accept(link.Load{})
		_ = stream.Head(http.StatusOK, nil)
		part := make([]byte, 1000)
		var err error
		for err == nil {
			var count int
			count, err = stream.Write(part)
			sent.Add(int64(count))
		}
		ended <- err
	})
	stream := open(t, client, "idle")
	for before := int64(-1); before != sent.Load() || before == 0; {
		before = sent.Load()
		time.Sleep(settle)
	}
	stream.Close()
	is.True(errors.Is(<-ended, link.ErrCancelled))
	is.True(sent.Load() <= 512<<10)
}

// TestVersions checks old and new processes side by side, and refusals of strangers.
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

// TestSecret checks that a peer without the secret gets no link and does not learn the secret.
func TestSecret(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	_, err := link.Dial(context.Background(), link.ClientConfig{URL: serve(t, hello(1, 1, "right"), echo), Hello: hello(1, 1, "wrong")})
	is.True(err != nil)
	is.True(!errors.Is(err, link.ErrSecret)) // The sidecar hung up before it sent its own hello.
}

// TestAliveAfterStop checks that a sidecar that was stopped asks its entry before it starts a request.
func TestAliveAfterStop(t *testing.T) {
	t.Parallel()
	for _, reading := range []bool{true, false} {
		is := is.New(t)
		verdict := make(chan bool, 1)
		url := serve(t, hello(1, 1, ""), func(stream *link.Incoming) {
			link.ExpireLastPing(stream)
			verdict <- stream.Alive(context.Background())
		})
		if reading {
			client, err := link.Dial(context.Background(), link.ClientConfig{URL: url, Hello: hello(1, 1, "")})
			is.NoErr(err)
			open(t, client, "r")
		} else {
			is.NoErr(link.OpenAndStall(url, hello(1, 1, "")))
		}
		is.Equal(<-verdict, reading)
	}
}
