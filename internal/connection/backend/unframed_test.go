package backend_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"vanillapond/internal/connection/backend"
	"vanillapond/internal/connection/link"
	"vanillapond/pkg/configuration"
)

// TestUnframedCompletionBrokenOff verifies that a completion which ends with its connection inside its JSON value is not complete.
func TestUnframedCompletionBrokenOff(t *testing.T) {
	t.Parallel()
	const whole = `{"choices":[{"message":{"content":"hello"}}],"usage":{"prompt_tokens":1,"completion_tokens":1}}`
	for _, c := range []struct {
		name, body string
		complete   bool
	}{
		{name: "whole", body: whole, complete: true},
		{name: "broken off", body: whole[:len(whole)/2]},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			server := httptest.NewServer(unframed("application/json", c.body))
			t.Cleanup(server.Close)
			open := &link.Open{Method: http.MethodPost, Path: "/v1/chat/completions", Body: []byte(`{}`), Request: "r1"}
			_, err := backend.New(backend.Config{BaseURL: server.URL, Kind: configuration.KindEngine}).Run(t.Context(), open, &discardResponse{})
			is.Equal(err == nil, c.complete)
			is.Equal(errors.Is(err, backend.ErrInterrupted), !c.complete)
		})
	}
}

// TestFailureDeclaredAsStream verifies that a complete error response is passed on although its content is not the event stream that its
// header declares.
func TestFailureDeclaredAsStream(t *testing.T) {
	t.Parallel()
	for _, kind := range []configuration.Kind{configuration.KindEngine, configuration.KindService} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			const problem = `{"error":"prompt is too long"}`
			passed, err := runHandler(t, kind, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				w.Header().Set("Content-Type", "text/event-stream")
				w.WriteHeader(http.StatusBadRequest)
				_, _ = io.WriteString(w, problem)
			})
			is.NoErr(err)
			is.Equal(passed, problem)
		})
	}
}
