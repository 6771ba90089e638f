package platformclient_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/connection/platformclient"
	"vanillapond/internal/process/platform"
	"vanillapond/internal/process/table"
)

func TestSend(t *testing.T) {
	t.Parallel()
	errGateClosed := errors.New("lease expired")
	abort := func(http.ResponseWriter) { panic(http.ErrAbortHandler) }
	status := func(code int) func(http.ResponseWriter) { return func(w http.ResponseWriter) { w.WriteHeader(code) } }
	for _, test := range []struct {
		name     string
		gate     error
		respond  func(http.ResponseWriter)
		want     error
		received int64
	}{
		{"order executed", nil, status(http.StatusOK), nil, 1},
		{"gate closed", errGateClosed, status(http.StatusOK), table.ErrRefused, 0},
		{"response lost", nil, abort, table.ErrOutcomeUnknown, 1},
		{"stale fencing number", nil, status(http.StatusPreconditionFailed), table.ErrConflict, 1},
		{"platform unavailable", nil, status(http.StatusServiceUnavailable), table.ErrRefused, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var received atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				received.Add(1)
				test.respond(w)
			}))
			defer server.Close()
			client := platformclient.New(platformclient.Config{Base: server.URL, Process: "p", Timeout: 10 * time.Second})
			err := client.Send(context.Background(), platform.Order{ID: "d1.1"}, func() error { return test.gate })
			is.True(errors.Is(err, test.want))
			is.Equal(received.Load(), test.received)
		})
	}
}

// TestSendConnectionRefused checks that an order that could not connect to the platform is known to have had no effect.
func TestSendConnectionRefused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	server := httptest.NewServer(http.NotFoundHandler())
	base := server.URL
	server.Close()
	client := platformclient.New(platformclient.Config{Base: base, Process: "p"})
	err := client.Send(context.Background(), platform.Order{ID: "d1.1"}, func() error { return nil })
	is.True(errors.Is(err, table.ErrRefused))
}
