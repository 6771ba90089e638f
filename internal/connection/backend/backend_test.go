package backend_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"vanillapond/internal/connection/backend"
	"vanillapond/internal/connection/link"
	"vanillapond/pkg/configuration"
)

// capture keeps the body of a response.
type capture struct{ body strings.Builder }

func (c *capture) Head(int, []link.Header) error     { return nil }
func (c *capture) Write(content []byte) (int, error) { return c.body.Write(content) }

// runHandler sends a request to a backend that handles it, and returns the body that was passed on.
func runHandler(t *testing.T, kind configuration.Kind, handler http.HandlerFunc) (string, error) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	var captured capture
	open := &link.Open{Method: http.MethodPost, Path: "/v1/chat/completions", Body: []byte(`{"stream":true}`), Request: "r1"}
	_, err := backend.New(backend.Config{BaseURL: server.URL, Kind: kind}).Run(context.Background(), open, &captured)
	return captured.body.String(), err
}

// unframed returns a handler that sends a response that ends with its connection.
func unframed(contentType, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, buffer, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func(conn net.Conn) { _ = conn.Close() }(conn)
		_, _ = buffer.WriteString("HTTP/1.1 200 OK\r\nContent-Type: " + contentType + "\r\n\r\n" + body)
		_ = buffer.Flush()
	}
}

// TestStreamEndsInsideEvent verifies that a stream which ends inside an event is not complete, and that no part of this event is passed on,
// behind which the entry would write another one.
func TestStreamEndsInsideEvent(t *testing.T) {
	t.Parallel()
	const event = "data: {\"choices\":[]}\n\n"
	for _, c := range []struct {
		name     string
		kind     configuration.Kind
		body     string
		passed   string
		complete bool
	}{
		{name: "engine, whole", kind: configuration.KindEngine, body: event + "data: [DONE]\n\n", passed: event + "data: [DONE]\n\n", complete: true},
		{name: "engine, broken off", kind: configuration.KindEngine, body: event + "data: {\"cho", passed: event},
		{name: "engine, end mark broken off", kind: configuration.KindEngine, body: event + "data: [DONE]", passed: event},
		{name: "service, whole", kind: configuration.KindService, body: event, passed: event, complete: true},
		{name: "service, broken off", kind: configuration.KindService, body: event + "data: {\"cho", passed: event},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			passed, err := runHandler(t, c.kind, unframed("text/event-stream", c.body))
			is.Equal(err == nil, c.complete)
			is.Equal(errors.Is(err, backend.ErrInterrupted), !c.complete)
			if c.kind == configuration.KindEngine {
				is.Equal(passed, c.passed)
			}
		})
	}
}
