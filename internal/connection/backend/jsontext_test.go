package backend_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/connection/backend"
	"vanillapond/internal/connection/link"
	"vanillapond/pkg/configuration"
)

// TestUnframedJSON verifies for each prefix of a JSON text that is sent without a length whether it is complete.
func TestUnframedJSON(t *testing.T) {
	t.Parallel()
	const text = ` {"a":["}\"",{"b":NaN},"\\"]}`
	for length := range len(text) + 1 {
		t.Run(text[:length], func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			server := httptest.NewServer(unframed("application/json; charset=utf-8", text[:length]))
			t.Cleanup(server.Close)
			_, err := run(t, server.URL, configuration.KindService, "", time.Second)
			is.Equal(err == nil, length == len(text))
			is.Equal(errors.Is(err, backend.ErrInterrupted), length < len(text))
		})
	}
}

// TestLongCompletionBrokenOff verifies that a completion that is too long to be searched for its usage is checked for its end all the same.
func TestLongCompletionBrokenOff(t *testing.T) {
	t.Parallel()
	long := `{"choices":["` + strings.Repeat("x", 65<<20)
	for end, complete := range map[string]bool{`"]}`: true, ``: false} {
		is := is.New(t)
		server := httptest.NewServer(unframed("application/json", long+end))
		_, err := run(t, server.URL, configuration.KindEngine, `{}`, time.Minute)
		server.Close()
		is.Equal(err == nil, complete)
		is.Equal(errors.Is(err, backend.ErrInterrupted), !complete)
	}
}

// TestNoJSONExpected verifies that responses of which no JSON text can be expected are passed on as they are.
func TestNoJSONExpected(t *testing.T) {
	t.Parallel()
	const (
		head  = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
		cutTo = `{"cut":`
	)
	for _, c := range []struct{ name, method, response string }{
		{name: "other form", response: "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n" + cutTo},
		{name: "no form", response: "HTTP/1.1 200 OK\r\n\r\n" + cutTo},
		{name: "length", response: head + "Content-Length: 7\r\n\r\n" + cutTo},
		{name: "chunked", response: head + "Transfer-Encoding: chunked\r\n\r\n7\r\n" + cutTo + "\r\n0\r\n\r\n"},
		{name: "encoded", response: head + "Content-Encoding: br\r\n\r\n" + cutTo},
		{name: "failure", response: "HTTP/1.1 500 Fault\r\nContent-Type: application/json\r\n\r\n" + cutTo},
		{name: "no content", response: "HTTP/1.1 204 No Content\r\nContent-Type: application/json\r\n\r\n"},
		{name: "head", method: http.MethodHead, response: head + "\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, c.response)
				_ = conn.Close()
			}))
			t.Cleanup(server.Close)
			if c.method == "" {
				c.method = http.MethodPost
			}
			open := &link.Open{Method: c.method, Path: "/", Body: []byte(`{}`), Request: "r1"}
			_, err := backend.New(backend.Config{BaseURL: server.URL, Kind: configuration.KindEngine}).Run(t.Context(), open, &discardResponse{})
			is.NoErr(err)
		})
	}
}
