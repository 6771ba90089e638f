package body

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/holdings"
)

// result is what Read returned in a handler.
type result struct {
	content string
	err     error
}

// serve starts a server whose handler reads the body. Each value received from the returned channel is a result.
func serve(t *testing.T, config Config) (address string, results chan result) {
	t.Helper()
	results = make(chan result, 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		each := config
		each.Deadline = time.Now().Add(config.Deadline.Sub(time.Time{}))
		read, err := Read(w, r, each)
		length := read.Len()
		content := string(read.Join())
		if len(content) != length {
			err = fmt.Errorf("found length %d, want %d", length, len(content))
		}
		read.Release()
		results <- result{content: content, err: err}
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), results
}

// after returns a deadline for serve: so long after the request arrived.
func after(timeout time.Duration) time.Time { return time.Time{}.Add(timeout) }

func send(t *testing.T, address, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

const (
	sized   = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s"
	chunked = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%s"
)

func chunks(text string, size int) string {
	var all strings.Builder
	for len(text) > 0 {
		piece := text[:min(size, len(text))]
		fmt.Fprintf(&all, "%x\r\n%s\r\n", len(piece), piece)
		text = text[len(piece):]
	}
	return all.String() + "0\r\n\r\n"
}

// TestRead checks bodies around the sizes of blocks and the limit, with a length and in chunks.
func TestRead(t *testing.T) {
	const limit = 200 << 10
	account := holdings.New(holdings.Config{Limits: holdings.NewLimits(8<<20, 0)})
	address, results := serve(t, Config{Limit: limit, Deadline: after(10 * time.Second), Account: account})
	for _, length := range []int{0, 1, firstBlock - 1, firstBlock, firstBlock + 1, 3 * firstBlock, 100_000, limit, limit + 1} {
		for _, chunk := range []int{0, 16, 1000, 64 << 10} {
			t.Run(fmt.Sprintf("%d_in_%d", length, chunk), func(t *testing.T) {
				is := is.New(t)
				text := strings.Repeat("0123456789", length/10+1)[:length]
				request := fmt.Sprintf(sized, length, text)
				if chunk > 0 {
					request = fmt.Sprintf(chunked, chunks(text, chunk))
				}
				conn := send(t, address, request)
				got := <-results
				if length > limit {
					is.True(errors.Is(got.err, ErrTooLarge))
				} else {
					is.NoErr(got.err)
					is.Equal(got.content, text)
					response, err := http.ReadResponse(bufio.NewReader(conn), nil)
					is.NoErr(err)
					_ = response.Body.Close()
				}
				is.Equal(account.Bytes(), holdings.Bytes(0))
			})
		}
	}
}

// TestUnfinishedBodies checks why bodies that don't end are given up, and that nothing is held for them then.
func TestUnfinishedBodies(t *testing.T) {
	account := holdings.New(holdings.Config{Limits: holdings.NewLimits(8<<20, 0)})
	address, results := serve(t, Config{Limit: 1 << 20, Deadline: after(300 * time.Millisecond), Account: account})
	t.Run("late", func(t *testing.T) {
		is := is.New(t)
		send(t, address, fmt.Sprintf(sized, 10, "123"))
		got := <-results
		is.True(errors.Is(got.err, ErrLate))
	})
	t.Run("broken off", func(t *testing.T) {
		is := is.New(t)
		_ = send(t, address, fmt.Sprintf(sized, 10, "123")).Close()
		got := <-results
		is.True(errors.Is(got.err, ErrIncomplete))
	})
	t.Run("more than this process can hold", func(t *testing.T) {
		is := is.New(t)
		address, results := serve(t, Config{Limit: 1 << 40, Deadline: after(time.Second), Account: account})
		send(t, address, fmt.Sprintf(sized, 5<<20, ""))
		got := <-results
		is.True(errors.Is(got.err, ErrTooLarge))
	})
	is.New(t).Equal(account.Bytes(), holdings.Bytes(0))
}

// TestStillBodiesMakeRoom guards against bodies that stop just short of their end and keep the room from those that go on.
func TestStillBodiesMakeRoom(t *testing.T) {
	is := is.New(t)
	account := holdings.New(holdings.Config{Limits: holdings.Limits{Bytes: 1 << 20, Largest: 2 << 20, Connections: 10}})
	address, results := serve(t, Config{Limit: 1 << 20, Deadline: after(20 * time.Second), Account: account})
	text := strings.Repeat("b", 500<<10)
	send(t, address, fmt.Sprintf(sized, len(text)+1, text))
	for account.Bytes() < 500<<10 {
		time.Sleep(time.Millisecond)
	}
	// Long enough for the pace of the first body to decay.
	time.Sleep(2 * time.Second)
	send(t, address, fmt.Sprintf(sized, len(text), text))
	// The moving body goes on once the room of the other one is free, and its handler may return first.
	still, moving := <-results, <-results
	if still.err == nil {
		still, moving = moving, still
	}
	is.True(errors.Is(still.err, holdings.ErrNoRoom))
	is.NoErr(moving.err)
	is.Equal(moving.content, text)
}

// TestCompleteBodiesStay guards against giving up a request that was read for one that was not.
func TestCompleteBodiesStay(t *testing.T) {
	is := is.New(t)
	account := holdings.New(holdings.Config{Limits: holdings.Limits{Bytes: 1 << 20, Largest: 2 << 20, Connections: 10}})
	complete, err := account.Open(holdings.Body, "", 700<<10, func() { t.Error("a complete body had to go") })
	is.NoErr(err)
	is.NoErr(complete.Settle())
	address, results := serve(t, Config{Limit: 1 << 20, Deadline: after(20 * time.Second), Account: account})
	text := strings.Repeat("b", 500<<10)
	send(t, address, fmt.Sprintf(sized, len(text), text))
	got := <-results
	is.True(errors.Is(got.err, holdings.ErrNoRoom))
	complete.Close()
	is.Equal(account.Bytes(), holdings.Bytes(0))
}
