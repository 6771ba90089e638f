package forward_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"vanillapond/internal/connection/direct"
	"vanillapond/internal/connection/servers"
	"vanillapond/internal/process/clock"
	"vanillapond/internal/request/admission"
	"vanillapond/internal/request/forward"
	"vanillapond/internal/request/placement"
	"vanillapond/internal/request/repeat"
	"vanillapond/internal/version/routes"
	"vanillapond/pkg/ident"
	"vanillapond/platform"
)

const host = "svc.example"

// rig is a forwarder before stand-ins of servers.
type rig struct {
	current *routes.Current
	servers *servers.Registry
	// now is the reading that the forwarder sees; guarded by mu.
	now     clock.Reading
	began   map[ident.Customer]int
	records []forward.Record
	mu      sync.Mutex
	url     string
}

// tier returns a pointer to a tier.
func tier(t ident.Tier) *ident.Tier { return &t }

// configuration is what all cases run with.
func configuration(version ident.Version) platform.Configuration {
	return platform.Configuration{
		Version: version,
		Routes: []platform.Route{
			{Name: "idempotent", Host: host, PathPrefix: "/get/", Kind: platform.Idempotent, Timeout: 1000, Service: "plain", MaxServers: 2},
			{Name: "once", Host: host, PathPrefix: "/once/", Kind: platform.NonIdempotent, Timeout: 1000, Service: "plain", MaxServers: 2},
			{Name: "stream", Host: host, PathPrefix: "/stream/", Kind: platform.Streaming, Timeout: 2000, Service: "plain", MaxServers: 2},
			{Name: "resumable", Host: host, PathPrefix: "/resume/", Kind: platform.Streaming, Timeout: 2000, Service: "plain", MaxServers: 2, Resumable: true},
			{Name: "open", Host: host, PathPrefix: "/open/", Kind: platform.Idempotent, Timeout: 1000, Service: "plain", MaxServers: 1, Open: true},
		},
		Services:  []platform.Service{{Name: "plain", MaxConnections: 100}},
		Limits:    platform.Limits{HeaderBytes: 16384, BodyBytes: 1000},
		Customers: []platform.Customer{{Name: "school", Keys: []string{"right"}, Tier: tier(1)}},
	}
}

type suspects struct{}

func (suspects) Fatal(time.Time, uint64) bool           { return false }
func (suspects) Lost(time.Time, uint64, ident.Endpoint) {}
func (suspects) Served(uint64)                          {}
func (r *rig) Began(customer ident.Customer)            { r.mu.Lock(); defer r.mu.Unlock(); r.began[customer]++ }

func (r *rig) observe(record forward.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, record)
}
func (r *rig) reading() clock.Reading { r.mu.Lock(); defer r.mu.Unlock(); return r.now }
func (r *rig) pass(d time.Duration)   { r.mu.Lock(); defer r.mu.Unlock(); r.now = r.now.Add(d) }
func (r *rig) counted(customer ident.Customer) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.began[customer]
}

// start runs a forwarder before servers that behave as the handlers say; extra is the budget of repeats.
func start(t *testing.T, extra float64, handlers ...http.HandlerFunc) *rig {
	t.Helper()
	r := &rig{current: &routes.Current{}, began: make(map[ident.Customer]int), now: clock.Reading(time.Hour)}
	r.servers = servers.New(servers.Config{
		NewPool: func(server platform.Server) *direct.Pool {
			return direct.New(direct.Config{Address: server.Address, DialTimeout: time.Second})
		},
		ReturnTime: time.Second,
	})
	r.current.Advance(configuration(1))
	r.current.Confirm(r.now, 1)
	var entries []platform.Server
	for index, handler := range handlers {
		backend := httptest.NewServer(handler)
		t.Cleanup(backend.CloseClientConnections)
		entries = append(entries, platform.Server{
			ID: ident.Endpoint("i" + strconv.Itoa(index)), Service: "plain", Address: backend.Listener.Addr().String(),
			State: platform.ServerReady, Slots: 4,
		})
	}
	r.servers.Update(entries, nil, true)
	board, precedence := placement.New(1), &admission.Controller{}
	budget := repeat.New(repeat.Config{Ratio: 0, Extra: extra, Window: 10 * time.Second, Instances: func() int { return 0 }})
	forwarder := forward.New(forward.Config{
		Current: r.current, Servers: r.servers, Suspects: suspects{}, Usage: r, Observe: r.observe, Now: r.reading,
		Board:      func(ident.Pool) *placement.Balancer { return board },
		Precedence: func(ident.Pool) *admission.Controller { return precedence },
		Budget:     func(ident.Pool) *repeat.Budget { return budget },
		KeyAge:     func() time.Duration { return 4 * time.Second },
		DenyAge:    func() time.Duration { return 2 * time.Second },
	})
	front := httptest.NewServer(forwarder)
	t.Cleanup(front.Close)
	r.url = front.URL
	return r
}

// ask sends one request with a key and returns status, body and how the body ended.
func (r *rig) ask(t *testing.T, path string, change func(*http.Request)) (head, string, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, r.url+path, strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = host
	request.Header.Set(platform.HeaderRequest, "id-1")
	request.Header.Set(platform.HeaderDeadline, "1500")
	request.Header.Set("Authorization", platform.KeyScheme+"right")
	if change != nil {
		change(request)
	}
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return head{}, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return head{response.StatusCode, response.Header}, string(body), err
}

// head is the head of an answer.
type head struct {
	StatusCode int
	Header     http.Header
}

// good answers with a sealed body that names the handler.
func good(name string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		seal(w, r)
		_, _ = io.WriteString(w, name)
	}
}

func seal(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(platform.HeaderRequest, r.Header.Get(platform.HeaderRequest))
	w.Header().Set(platform.HeaderSeal, "seal")
}

func full(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(platform.HeaderRequest, r.Header.Get(platform.HeaderRequest))
	w.Header().Set(platform.HeaderNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func failing(w http.ResponseWriter, r *http.Request) {
	seal(w, r)
	w.WriteHeader(http.StatusInternalServerError)
}

func elsewhere(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }

func unsealed(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

// vanishing reads the request and closes the connection.
func vanishing(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// cutting closes the connection in the middle of its answer.
func cutting(w http.ResponseWriter, r *http.Request) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_, _ = buffer.WriteString("HTTP/1.1 200 OK\r\n" + platform.HeaderRequest + ": " + r.Header.Get(platform.HeaderRequest) + "\r\n" +
			platform.HeaderSeal + ": seal\r\nContent-Length: 100\r\n\r\nhalf")
		_ = buffer.Flush()
		_ = conn.Close()
	}
}
