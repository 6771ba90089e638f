package gateway_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/connection/link"
	"vanillapond/internal/process/grace"
	"vanillapond/internal/request/gateway"
)

// TestRequestsInGrace guards against requests that end without an answer when an entry stops: one that runs at the end is told that it may have run, and one
// that came late, or whose body did, that it did not run and when to come back.
func TestRequestsInGrace(t *testing.T) {
	t.Parallel()
	const accepting, whole = 200 * time.Millisecond, time.Second
	for name, idempotent := range map[string]bool{"safe": true, "unsafe": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			period := grace.New()
			var ran atomic.Int64
			address := serveSidecar(t, handlerFunc(func(stream *link.Incoming) {
				ran.Add(1)
				_ = stream.Accept(link.Load{Capacity: 1})
				<-stream.Context().Done()
				_ = stream.Deny(link.Deny{Code: link.DenyCancelled, Load: link.Load{Capacity: 1}})
			}), idempotent, func(config *gateway.Config) { config.Grace = period })
			start := time.Now()
			period.Begin(start.Add(accepting), start.Add(whole))
			late := make(chan int, 1)
			reader, writer := io.Pipe()
			go func() {
				// The second half of this body comes after the end of accepting.
				_, _ = io.WriteString(writer, "half")
				time.Sleep(2 * accepting)
				_, _ = io.WriteString(writer, "half")
				_ = writer.Close()
			}()
			go func() {
				status, header, body := postToService(t, address, reader)
				if status == http.StatusServiceUnavailable && (header.Get("Retry-After") == "" || !strings.Contains(body, `"not_run":true`)) {
					t.Errorf("late request: got %v %s", header, body)
				}
				late <- status
			}()
			never, endless := io.Pipe()
			stalled := make(chan int, 1)
			go func() {
				_, _ = io.WriteString(endless, "half")
				status, _, _ := postToService(t, address, never)
				stalled <- status
			}()
			go func() {
				// This body never comes; the pipe is closed so that the test ends.
				time.Sleep(2 * whole)
				_ = endless.Close()
			}()
			status, _, body := postToService(t, address, strings.NewReader("body"))
			is.True(time.Since(start) < whole+500*time.Millisecond)
			is.True(status == http.StatusBadGateway || status == http.StatusGatewayTimeout)
			is.True(!strings.Contains(body, `"not_run":true`))
			is.Equal(<-late, http.StatusServiceUnavailable)
			is.Equal(<-stalled, http.StatusServiceUnavailable)
			is.Equal(ran.Load(), int64(1))
		})
	}
}
