package backend_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/connection/backend"
	"vanillapond/internal/connection/link"
	"vanillapond/internal/process/holdings"
	"vanillapond/internal/stub/rawstub"
	"vanillapond/pkg/configuration"
)

// TestResponsesAreBoundedInSum guards against a backend whose responses, each within the limits, together take the memory of the sidecar: heads of many
// lines, and events that do not end, have to go, while copies of completions are dropped and the completions passed on whole.
func TestResponsesAreBoundedInSum(t *testing.T) {
	t.Parallel()
	const (
		limit    holdings.Bytes = 1 << 20
		requests                = 20
	)
	completion := `{"choices":[],"text":"` + strings.Repeat("x", 300<<10) + `"}`
	for _, c := range []struct {
		name, body, response string
		whole                bool
	}{
		{"head", `{}`, "HTTP/1.1 200 OK\r\n" + strings.Repeat("X:\r\n", 3000) + "\r\n", false},
		{"event", `{"stream":true}`, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: " + strings.Repeat("x", 200<<10), false},
		{"completion", `{}`, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n" + completion, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var ended atomic.Int64
			account := holdings.New(holdings.Config{Limits: holdings.NewResponseLimits(8 * limit), Observe: func(holdings.Event) { ended.Add(1) }})
			address := rawstub.Start(t, func(conn *net.TCPConn) {
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(conn, c.response)
				if !c.whole {
					_, _ = io.Copy(io.Discard, conn)
				}
			})
			server := backend.New(backend.Config{BaseURL: "http://" + address, Kind: configuration.KindEngine, Holdings: account})
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			if c.whole {
				ctx = t.Context()
			}
			var running sync.WaitGroup
			for range requests {
				running.Go(func() {
					got := &discardResponse{}
					_, err := server.Run(ctx, &link.Open{Method: http.MethodPost, Path: "/", Body: []byte(c.body), Request: "r1"}, got)
					if c.whole && (err != nil || got.length != int64(len(completion))) {
						t.Errorf("got %d bytes, %v", got.length, err)
					}
					if !c.whole && !errors.Is(err, backend.ErrInterrupted) {
						t.Errorf("got %v, want ErrInterrupted", err)
					}
				})
			}
			done := make(chan struct{})
			go func() {
				running.Wait()
				close(done)
			}()
			most := holdings.Bytes(0)
			for watching := true; watching; {
				most = max(most, account.Bytes())
				select {
				case <-done:
					watching = false
				case <-time.After(time.Millisecond):
				}
			}
			is.Equal(ended.Load() > 0, !c.whole)
			is.True(most <= limit)
			is.Equal(account.Bytes(), holdings.Bytes(0))
		})
	}
}
