package forward_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"vanillapond/internal/connection/direct"
	"vanillapond/internal/connection/servers"
	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/holdings"
	"vanillapond/internal/process/listener"
	"vanillapond/internal/process/origin"
	"vanillapond/internal/process/quarantine"
	"vanillapond/internal/request/admission"
	"vanillapond/internal/request/fairshare"
	"vanillapond/internal/request/forward"
	"vanillapond/internal/request/placement"
	"vanillapond/internal/request/retry"
	"vanillapond/internal/request/servermodel"
	"vanillapond/internal/version/routes"
	"vanillapond/pkg/ident"
	"vanillapond/platform"
)

const host = "svc.example"

// harness is a forwarder with test servers behind it.
type harness struct {
	current *routes.Current
	servers *servers.Registry
	// registered are the servers.
	registered []platform.Server
	// origin is what the forwarder learns of each stream that is taken up.
	origin fixedOrigin
	// now is the forwarder's clock; guarded by mu.
	now     clock.Reading
	started map[ident.Customer]int
	records []forward.Record
	// invalid counts the responses that asked for an invalid pause; guarded by mu.
	invalid int
	// peersCurrent is what the forwarder learns of the other instances; guarded by mu.
	peersCurrent bool
	// balancer is that of all services.
	balancer *placement.Balancer
	// findings counts the false load headers, and invalidLoads the errors of unreadable ones; guarded by mu.
	findings     map[servermodel.Finding]int
	invalidLoads int
	shares       *fairshare.Controller
	// onDial is called for each connection to a server, when the request is about to be sent on it.
	onDial func()
	// holdings bounds what the callers hold, and responses what is kept of responses.
	holdings, responses *holdings.Account
	// tooLong counts the responses that did not end.
	tooLong atomic.Int64
	mu      sync.Mutex
	url     string
}

// tier returns a pointer to a tier.
func tier(t ident.Tier) *ident.Tier { return &t }

// configuration is the configuration of all tests.
func configuration(version ident.Version) platform.Configuration {
	return platform.Configuration{
		Version: version,
		Routes: []platform.Route{
			{Name: "idempotent", Host: host, PathPrefix: "/get/", Kind: platform.Idempotent, Timeout: 1000, Service: "plain", MaxServers: 2},
			{Name: "once", Host: host, PathPrefix: "/once/", Kind: platform.NonIdempotent, Timeout: 1000, Service: "plain", MaxServers: 2},
			{Name: "stream", Host: host, PathPrefix: "/stream/", Kind: platform.Streaming, Timeout: 2000, Service: "plain", MaxServers: 2},
			{
				Name: "resumable", Host: host, PathPrefix: "/resume/", Kind: platform.Streaming, Timeout: 2000, Service: "plain",
				MaxServers: 2, Resumable: true,
			},
			{
				Name: "open", Host: host, PathPrefix: "/open/", Kind: platform.Idempotent, Timeout: 1000, Service: "plain",
				MaxServers: 1, AuthExempt: true,
			},
			{
				Name: "engine", Host: host, PathPrefix: "/engine/", Kind: platform.Streaming, Timeout: 2000, Service: "engine",
				MaxServers: 2, Resumable: true,
			},
		},
		Services: []platform.Service{
			{Name: "plain", MaxConnections: 100},
			{Name: "engine", MaxConnections: 100, Engine: &platform.Engine{KVCacheTokens: 200_000}},
		},
		Limits:    platform.Limits{HeaderBytes: 16384, BodyBytes: 1000},
		Customers: []platform.Customer{{Name: "school", Keys: []string{"right"}, Tier: tier(1)}},
	}
}

type noSuspects struct{}

func (noSuspects) Blocked(time.Time, uint64) bool              { return false }
func (noSuspects) RecordLoss(time.Time, uint64, forward.Crash) {}
func (noSuspects) Clear(uint64)                                {}
func (h *harness) RequestStarted(customer ident.Customer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.started[customer]++
}

func (h *harness) observe(record forward.Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.records = append(h.records, record)
}

func (h *harness) recordInvalidPause(ident.Endpoint, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.invalid++
}

func (h *harness) invalidPauses() int          { h.mu.Lock(); defer h.mu.Unlock(); return h.invalid }
func (h *harness) clockReading() clock.Reading { h.mu.Lock(); defer h.mu.Unlock(); return h.now }
func (h *harness) advanceClock(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.now = h.now.Add(d)
}

func (h *harness) setPeersCurrent(current bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.peersCurrent = current
}

func (h *harness) arePeersCurrent() bool { h.mu.Lock(); defer h.mu.Unlock(); return h.peersCurrent }

func (h *harness) startCount(customer ident.Customer) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.started[customer]
}

// fixedOrigin says the same of each stream. The zero value says that it began at the given service, at servers without a software version, as
// those of most tests are.
type fixedOrigin struct {
	origin.Origin
	unstored []ident.Software
}

func (*fixedOrigin) Begin(origin.Origin)                    {}
func (o *fixedOrigin) Unstored(ident.Pool) []ident.Software { return o.unstored }
func (o *fixedOrigin) Find(_ context.Context, stream ident.Request, service ident.Pool) (origin.Origin, bool) {
	began := o.Origin
	began.Stream = stream
	if began.Service == "" {
		began.Service = service
	}
	return began, true
}

// harnessStart is the reading of a harness's clock at its start.
const harnessStart = clock.Reading(time.Hour)

// newBudget returns a budget that allows a number of retries.
func newBudget(retries float64) *retry.Budget {
	const window = 10 * time.Second
	// The instance earned half of the retries in the window before, and a little is lost where that begins inside a bucket.
	extra := 2*retries + 0.2*retries
	return retry.New(retry.Config{
		Extra: extra, Window: window, Share: func() float64 { return 1 }, Start: harnessStart.Add(-4 * window),
	})
}

// newHarness starts a forwarder and one server for each handler; extra is the number of retries that the budget allows.
func newHarness(t *testing.T, extra float64, handlers ...http.HandlerFunc) *harness {
	t.Helper()
	h := &harness{current: &routes.Current{}, started: make(map[ident.Customer]int), now: harnessStart, shares: fairshare.New()}
	h.onDial = func() {}
	h.holdings = holdings.New(holdings.Config{Limits: holdings.NewLimits(8<<20, 0)})
	h.responses = holdings.New(holdings.Config{Limits: holdings.NewResponseLimits(8 << 20)})
	h.servers = servers.New(servers.Config{
		NewPool: func(server platform.Server) *direct.Pool {
			return direct.New(direct.Config{Address: server.Address, DialTimeout: time.Second, OnDial: func() { h.onDial() }})
		},
		ReregistrationTimeout: time.Second,
	})
	h.current.Advance(configuration(1))
	h.current.Confirm(h.now, 1)
	for index, handler := range handlers {
		backend := httptest.NewServer(handler)
		t.Cleanup(backend.CloseClientConnections)
		h.registered = append(h.registered, platform.Server{
			ID: ident.Endpoint("i" + strconv.Itoa(index)), Service: "plain", Address: backend.Listener.Addr().String(),
			State: platform.ServerReady, Slots: 4,
		})
	}
	h.servers.Update(h.registered, nil, true)
	balancer, controller := placement.New(1), &admission.Controller{}
	h.balancer, h.findings = balancer, make(map[servermodel.Finding]int)
	budget := newBudget(extra)
	var crashes servers.CrashDetector
	forwarder := forward.New(forward.Config{
		Current: h.current, Servers: h.servers, Suspects: noSuspects{}, Quarantine: quarantine.New(quarantine.Config{}), HasCrashed: crashes.HasCrashed, Usage: h, Observe: h.observe, Now: h.clockReading,
		PeersCurrent: h.arePeersCurrent, Holdings: h.holdings, Responses: h.responses, OnTooLong: func(ident.Endpoint) { h.tooLong.Add(1) },
		OnInvalidPause: h.recordInvalidPause, OnInvalidLoad: h.recordInvalidLoad, OnFalseLoad: h.recordFalseLoad, Origins: &h.origin,
		Balancer:   func(ident.Pool) *placement.Balancer { return balancer },
		Admission:  func(ident.Pool) *admission.Controller { return controller },
		Shares:     func(ident.Pool) *fairshare.Controller { return h.shares },
		Budget:     func(ident.Pool) *retry.Budget { return budget },
		MaxKeyAge:  func() time.Duration { return 4 * time.Second },
		MaxDenyAge: func() time.Duration { return 2 * time.Second },
	})
	front, err := listener.Start(t.Context(), listener.Config{Address: "127.0.0.1:0", Handler: forwarder})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { front.Drain(t.Context()) })
	h.url = "http://" + front.Address()
	return h
}

// send sends one request with a key and returns the head and body of the response, and the error of reading the body.
func (h *harness) send(t *testing.T, path string, change func(*http.Request)) (responseHead, string, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, h.url+path, strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = host
	request.Header.Set(platform.HeaderRequestID, "id-1")
	request.Header.Set(platform.HeaderDeadline, "1500")
	request.Header.Set("Authorization", platform.KeyScheme+"right")
	if change != nil {
		change(request)
	}
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return responseHead{}, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return responseHead{response.StatusCode, response.Header}, string(body), err
}

// responseHead is the status and header of a response.
type responseHead struct {
	StatusCode int
	Header     http.Header
}

// respondOK returns a handler that responds with the signature header, and with name as the body.
func respondOK(name string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		setSignature(w, r)
		_, _ = io.WriteString(w, name)
	}
}

func setSignature(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
	w.Header().Set(platform.HeaderSignature, "seal")
}

func refuseNotRun(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
	w.Header().Set(platform.HeaderNotExecuted, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func respondError(w http.ResponseWriter, r *http.Request) {
	setSignature(w, r)
	w.WriteHeader(http.StatusInternalServerError)
}

func respondMisdirected(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusMisdirectedRequest)
}

func respondUnsigned(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

// closeWithoutResponse closes the connection instead of responding.
func closeWithoutResponse(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// truncateResponse closes the connection in the middle of the response body.
func truncateResponse(w http.ResponseWriter, r *http.Request) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_, _ = buffer.WriteString("HTTP/1.1 200 OK\r\n" +
			platform.HeaderRequestID + ": " + r.Header.Get(platform.HeaderRequestID) + "\r\n" +
			platform.HeaderSignature + ": seal\r\nContent-Length: 100\r\n\r\nhalf")
		_ = buffer.Flush()
		_ = conn.Close()
	}
}
