package gateway_test

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/event"
	"vanillapond/internal/process/scaling"
	"vanillapond/internal/request/dispatch"
	"vanillapond/internal/request/gateway"
	"vanillapond/internal/request/refusal"
	"vanillapond/internal/version/snapshot"
	"vanillapond/pkg/api"
	"vanillapond/pkg/configuration"
	"vanillapond/pkg/ident"
)

// fixture is a gateway whose dispatcher blocks until the context of its request is done.
type fixture struct {
	server    *httptest.Server
	snapshots snapshot.Holder
	// fresh is the return value of Open.
	fresh atomic.Bool
	// dispatched receives one value for each request that reaches the dispatcher.
	dispatched chan struct{}
}

// Open implements gateway.Freshness.
func (f *fixture) Open() bool { return f.fresh.Load() }

// Send implements gateway.Dispatcher.
func (f *fixture) Send(ctx context.Context, _ dispatch.Call) (*dispatch.Response, *refusal.Error) {
	f.dispatched <- struct{}{}
	<-ctx.Done()
	return nil, refusal.New(http.StatusServiceUnavailable, api.CodeNoEndpoint, "cancelled before the start")
}

// TakeRetry implements gateway.Dispatcher.
func (*fixture) TakeRetry(dispatch.Call) bool { return false }

// RecordSuccess implements gateway.Dispatcher.
func (*fixture) RecordSuccess() {}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{dispatched: make(chan struct{}, 8)}
	f.fresh.Store(true)
	f.activate(1, "drafting")
	f.server = httptest.NewServer(gateway.New(gateway.Config{
		Snapshots: &f.snapshots, Dispatcher: f, Freshness: f, Events: event.New(event.Config{Capacity: 16}),
		Meter: scaling.NewMeter(), BodyReadTimeout: 50 * time.Millisecond,
	}))
	t.Cleanup(f.server.Close)
	return f
}

// activate makes a configuration version current whose only key may use the classes; without classes it has no key.
func (f *fixture) activate(version ident.Version, classes ...ident.Class) {
	next := configuration.Configuration{
		Version:   version,
		Customers: []configuration.Customer{{ID: "school", Weight: 1}},
		Classes:   []configuration.Class{{ID: "drafting", Pool: "pond", FirstTokenMS: 60000, DeadlineMS: 60000, Idempotent: true}},
		Pools:     []configuration.Pool{{ID: "pond", Kind: configuration.KindEngine, Models: []ident.Model{"small"}}},
	}
	if len(classes) > 0 {
		next.Keys = []configuration.Key{{Digest: ident.DigestKey("key"), Customer: "school", Classes: classes}}
	}
	f.snapshots.Advance(snapshot.New(next))
}

// post sends a completion request and returns the status and the error of the response.
func (f *fixture) post(t *testing.T) (int, api.ErrorDetail) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.server.URL+api.PathChat,
		strings.NewReader(`{"model":"small","messages":[{"role":"user","content":"Draft."}]}`))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(api.HeaderAPIKey, "key")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var body api.Error
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, body.Error
}

// TestNotFresh verifies that a valid key is refused while the configuration may be stale.
func TestNotFresh(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture(t)
	f.fresh.Store(false)
	status, failure := f.post(t)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(failure.Code, api.CodeConfigurationStale)
	is.True(failure.NotRun)
	is.True(failure.RetryAfterMS > 0)
}

// TestWithdrawnWhileWaiting verifies that the withdrawal of a key ends a waiting request at once, reported as not run.
func TestWithdrawnWhileWaiting(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture(t)
	go func() {
		<-f.dispatched
		f.activate(2, "drafting") // A version that keeps the key cancels no request.
		f.activate(3)
	}()
	status, failure := f.post(t)
	is.Equal(status, http.StatusUnauthorized)
	is.Equal(failure.Code, api.CodeKeyWithdrawn)
	is.True(failure.NotRun)
	status, failure = f.post(t)
	is.Equal(status, http.StatusUnauthorized)
	is.Equal(failure.Code, api.CodeUnauthorized)
}

// TestSlowBody verifies that a request whose body stays incomplete is refused after the timeout.
func TestSlowBody(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture(t)
	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte("POST " + api.PathChat + " HTTP/1.1\r\nHost: a\r\nX-Api-Key: key\r\nContent-Length: 100\r\n\r\n{"))
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	_ = response.Body.Close()
	is.Equal(response.StatusCode, http.StatusRequestTimeout)
}
