package gateway_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"vanillapond/internal/connection/link"
	"vanillapond/pkg/api"
)

// handlerFunc is a function that handles the streams of a link.
type handlerFunc func(*link.Incoming)

func (f handlerFunc) ServeStream(stream *link.Incoming) { f(stream) }

// sendToService sends one request and returns its response with the body.
func sendToService(t *testing.T, address string) (status int, header http.Header, body string) {
	t.Helper()
	return postToService(t, address, nil)
}

// postToService does the same with a body; any goroutine may call it. The status is 0 if there is no whole response.
func postToService(t *testing.T, address string, content io.Reader) (status int, header http.Header, body string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, address+"/service/", content)
	if err != nil {
		t.Error(err)
		return 0, nil, ""
	}
	request.Header.Set(api.HeaderAPIKey, "key")
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		t.Errorf("ended without a response: %v", err)
		return 0, nil, ""
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Errorf("ended without a whole response: %v", err)
		return 0, nil, ""
	}
	return response.StatusCode, response.Header, string(text)
}

// TestUnprovenRefusalOfEndpoint guards against requests that run twice: an endpoint runs a request of a class that is not idempotent and responds with a
// status by which callers are told that it did not run.
func TestUnprovenRefusalOfEndpoint(t *testing.T) {
	t.Parallel()
	const problem = "database is unavailable"
	for _, status := range []int{
		http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusInternalServerError,
	} {
		for name, idempotent := range map[string]bool{"once": false, "idempotent": true} {
			t.Run(name+"/"+http.StatusText(status), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				address := serveSidecar(t, handlerFunc(func(stream *link.Incoming) {
					_ = stream.Accept(link.Load{Capacity: 1})
					_ = stream.Head(status, []link.Header{{Name: "Retry-After", Value: "1"}})
					_, _ = io.WriteString(stream, problem)
					_ = stream.End(link.Usage{Requests: 1}, link.Load{Capacity: 1})
				}), idempotent)
				got, header, body := sendToService(t, address)
				is.Equal(body, problem)
				want := status
				if !idempotent && status != http.StatusInternalServerError {
					want = http.StatusBadGateway
					is.Equal(header.Get("Retry-After"), "")
				}
				is.Equal(got, want)
			})
		}
	}
}

// TestRefusalAfterInterruptedResponse guards against a false statement that a request did not run: its response is interrupted, so that it is sent again,
// and then no endpoint takes it.
func TestRefusalAfterInterruptedResponse(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	address := serveSidecar(t, handlerFunc(func(stream *link.Incoming) {
		_ = stream.Accept(link.Load{Capacity: 1})
		_ = stream.Head(http.StatusOK, nil)
		_, _ = io.WriteString(stream, "half")
		_ = stream.Deny(link.Deny{Code: link.DenyFailed, Load: link.Load{Capacity: 1}})
	}), true)
	status, _, body := sendToService(t, address)
	is.Equal(status, http.StatusBadGateway)
	var failure api.Error
	is.NoErr(json.NewDecoder(strings.NewReader(body)).Decode(&failure))
	is.True(!failure.Error.NotRun)
}
