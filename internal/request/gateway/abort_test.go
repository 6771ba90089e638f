package gateway_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/connection/fleet"
	"vanillapond/internal/connection/link"
	"vanillapond/internal/process/event"
	"vanillapond/internal/process/ledger"
	"vanillapond/internal/process/suspect"
	"vanillapond/internal/request/dispatch"
	"vanillapond/internal/request/gateway"
	"vanillapond/internal/version/snapshot"
	"vanillapond/pkg/api"
	"vanillapond/pkg/configuration"
	"vanillapond/pkg/ident"
)

// interruptedHandler is a sidecar whose backend fails after some bytes of an event stream.
type interruptedHandler struct{ body string }

// ServeStream implements link.Handler.
func (h interruptedHandler) ServeStream(stream *link.Incoming) {
	_ = stream.Accept(link.Load{Capacity: 1})
	_ = stream.Head(http.StatusOK, []link.Header{{Name: "Content-Type", Value: "text/event-stream"}})
	_, _ = io.WriteString(stream, h.body)
	_ = stream.Deny(link.Deny{Code: link.DenyFailed, Load: link.Load{Capacity: 1}})
}

// serveInterrupted starts an entry with one sidecar that interrupts a stream, and returns its address.
func serveInterrupted(t *testing.T, body string) string {
	t.Helper()
	return serveSidecar(t, interruptedHandler{body: body}, false)
}

// serveSidecar starts an entry with one sidecar, and returns its address. The requests of its only class may run twice if it is idempotent.
func serveSidecar(t *testing.T, handler link.Handler, idempotent bool, changes ...func(*gateway.Config)) string {
	t.Helper()
	hello := func() link.Hello {
		return link.Hello{
			MinVersion: link.VersionMin, MaxVersion: link.VersionMax, Process: "p", Incarnation: "i", Load: link.Load{Capacity: 1},
		}
	}
	sidecar := httptest.NewServer(link.NewServer(link.ServerConfig{Hello: hello, Handler: handler}))
	t.Cleanup(sidecar.Close)
	events, suspects := event.New(event.Config{Capacity: 16}), suspect.NewRegistry()
	endpoints := fleet.New(fleet.Config{Hello: hello(), Events: events, Suspects: suspects, Scheme: "ws"})
	t.Cleanup(endpoints.Close)
	var snapshots snapshot.Holder
	current := snapshot.New(configuration.Configuration{
		Version:   1,
		Customers: []configuration.Customer{{ID: "school", Weight: 1}},
		Classes: []configuration.Class{
			{ID: "plain", Pool: "pond", FirstTokenMS: 60000, DeadlineMS: 60000, Routes: []string{"/service/"}, Idempotent: idempotent},
		},
		Pools:     []configuration.Pool{{ID: "pond", Kind: configuration.KindService}},
		Keys:      []configuration.Key{{Digest: ident.DigestKey("key"), Customer: "school", Classes: []ident.Class{"plain"}}},
		Endpoints: []configuration.Endpoint{{ID: "e", Pool: "pond", Domain: "d", Sidecar: strings.TrimPrefix(sidecar.URL, "http://")}},
	})
	snapshots.Advance(current)
	endpoints.Update(current)
	for deadline := time.Now().Add(5 * time.Second); len(endpoints.Candidates("pond")) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no link")
		}
	}
	config := gateway.Config{
		Snapshots: &snapshots, Events: events, Ledger: ledger.New(ledger.Config{Process: "p", Incarnation: "i", WindowLength: func() int64 { return 1 }}),
		Dispatcher: dispatch.New(dispatch.Config{Process: "p", Fleet: endpoints, Events: events, Suspects: suspects}),
	}
	for _, change := range changes {
		change(&config)
	}
	entry := httptest.NewServer(gateway.New(config))
	t.Cleanup(entry.Close)
	return entry.URL
}

// TestErrorEventInsideEvent verifies that the entry's error event does not complete an event of which the caller has got only a part:
// its blank line made the caller process both as one event.
func TestErrorEventInsideEvent(t *testing.T) {
	t.Parallel()
	const whole = "data: x\n\n"
	for _, c := range []struct {
		name, body string
		// reported means that the caller gets an error event.
		reported bool
	}{
		{name: "between events", body: whole, reported: true},
		{name: "inside a line", body: whole + `data: {"cho`},
		{name: "after a line", body: whole + "data: y\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, serveInterrupted(t, c.body)+"/service/", nil)
			is.NoErr(err)
			request.Header.Set(api.HeaderAPIKey, "key")
			response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
			if err != nil {
				is.True(!c.reported)
				return
			}
			defer func() { _ = response.Body.Close() }()
			body, err := io.ReadAll(response.Body)
			is.True(err != nil)
			is.Equal(response.StatusCode, http.StatusOK)
			complete, rest, _ := strings.Cut(string(body), whole)
			is.Equal(complete, "")
			is.Equal(strings.Contains(rest, "\n\n"), c.reported)
		})
	}
}

// TestErrorEventInErrorResponse guards against an error event behind a part of an error response that is declared as an event stream.
func TestErrorEventInErrorResponse(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const problem = "database is"
	address := serveSidecar(t, handlerFunc(func(stream *link.Incoming) {
		_ = stream.Accept(link.Load{Capacity: 1})
		_ = stream.Head(http.StatusInternalServerError, []link.Header{{Name: "Content-Type", Value: "text/event-stream"}})
		_, _ = io.WriteString(stream, problem+"\n\n")
		_ = stream.Deny(link.Deny{Code: link.DenyFailed, Load: link.Load{Capacity: 1}})
	}), false)
	status, _, body := sendToService(t, address)
	is.Equal(status, http.StatusBadGateway)
	is.True(!strings.Contains(body, problem))
}
