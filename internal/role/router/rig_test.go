package router_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"vanillapond/internal/role/router"
	"vanillapond/internal/testport"
	"vanillapond/pkg/ident"
	"vanillapond/platform"
	"vanillapond/platform/platformtest"
)

// rig is a platform with one or more routers.
type rig struct {
	settings []platform.Settings
	store    *platformtest.Store
	duties   *platformtest.Duties
	routers  []*router.Router
	urls     []string
	ready    []string
	metrics  []string
	logs     []*logs
}

// logs keeps the lines of one router.
type logs struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logs) Write(content []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(content)
}

func (l *logs) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

const (
	host    = "svc.example"
	windows = time.Second
	revoke  = 2 * time.Second
)

func configuration(version ident.Version, keys ...string) platform.Configuration {
	return platform.Configuration{
		Version: version,
		Routes: []platform.Route{
			{Name: "plain", Host: host, PathPrefix: "/p/", Kind: platform.Idempotent, Timeout: 3000, Service: "s", MaxServers: 2},
			{Name: "open", Host: host, PathPrefix: "/o/", Kind: platform.Idempotent, Timeout: 3000, Service: "s", MaxServers: 2, Open: true},
		},
		Services:  []platform.Service{{Name: "s", MaxConnections: 50}},
		Customers: []platform.Customer{{Name: "school", Keys: keys}},
	}
}

// start runs routers before one server that answers with its name, after the time that the path's last part states.
func start(t *testing.T, count int) *rig {
	t.Helper()
	r := &rig{store: platformtest.NewStore(), duties: platformtest.NewDuties()}
	t.Cleanup(r.store.Close)
	t.Cleanup(r.duties.Close)
	r.store.Put(platform.OperatorTable, platform.ConfigurationKey, configuration(1, "right"))
	r.serve(t, "i-1")
	for index := range count {
		settings := platform.Settings{
			Process: ident.Process("front-" + string(rune('a'+index))), Address: "127.0.0.1", Domain: "a",
			CallersAddress: address(t), ReadyAddress: address(t), PeerPort: netip.MustParseAddrPort(address(t)).Port(),
			Store:  platform.StoreSettings{Address: r.store.Address()},
			Duties: platform.DutySettings{Address: r.duties.Address()},
			Bounds: platform.Bounds{
				Grace: 6 * time.Second, ConfigApply: time.Second, Revoke: revoke, RetryRatio: 0.2, RetryExtra: 20, RetryWindow: 10 * time.Second,
				LeaseTerm: time.Second, UsageWindow: windows, UsageLate: 6 * time.Second,
			},
		}
		log := &logs{}
		t.Cleanup(func() {
			if t.Failed() {
				t.Log(log.String())
			}
		})
		metrics := netip.MustParseAddrPort(address(t))
		started, err := router.Start(t.Context(), router.Config{Settings: settings, Log: log, MetricsPort: int(metrics.Port()), Build: "test"})
		if err != nil {
			t.Fatal(err)
		}
		r.settings = append(r.settings, settings)
		r.metrics = append(r.metrics, "http://"+metrics.String())
		r.routers = append(r.routers, started)
		r.urls = append(r.urls, "http://"+settings.CallersAddress)
		r.ready = append(r.ready, "http://"+settings.ReadyAddress)
		r.logs = append(r.logs, log)
	}
	for _, url := range r.ready {
		eventually(t, "ready", func() bool { return status(url) == http.StatusOK })
	}
	return r
}

// address returns a free address.
func address(t *testing.T) string {
	t.Helper()
	free, err := testport.Address()
	if err != nil {
		t.Fatal(err)
	}
	return free
}

// serve starts a server and enters it.
func (r *rig) serve(t *testing.T, id ident.Endpoint) *httptest.Server {
	t.Helper()
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if strings.HasSuffix(q.URL.Path, "/vanish") {
			panic(http.ErrAbortHandler)
		}
		if wait, err := time.ParseDuration(q.URL.Path[strings.LastIndex(q.URL.Path, "/")+1:]); err == nil {
			time.Sleep(wait)
		}
		w.Header().Set(platform.HeaderRequest, q.Header.Get(platform.HeaderRequest))
		w.Header().Set(platform.HeaderSeal, "seal")
		_, _ = io.WriteString(w, string(id))
	}))
	t.Cleanup(backend.Close)
	r.enter(id, backend, platform.ServerReady)
	return backend
}

func (r *rig) enter(id ident.Endpoint, backend *httptest.Server, state platform.ServerState) {
	r.store.Put(platform.ServersTable, string(id), platform.Server{
		Service: "s", Address: backend.Listener.Addr().String(), Domain: "a", State: state, Slots: 4, Born: 1,
	})
}

// ask sends a request and returns status and body.
func (r *rig) ask(entry int, path, key string) (int, string) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, r.urls[entry]+path, http.NoBody)
	if err != nil {
		return 0, err.Error()
	}
	request.Host = host
	request.Header.Set(platform.HeaderRequest, "id-"+strings.ReplaceAll(path, "/", "-"))
	request.Header.Set(platform.HeaderDeadline, "4000")
	if key != "" {
		request.Header.Set("Authorization", platform.KeyScheme+key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(body)
}

func status(url string) int {
	response, err := http.Get(url)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("not so after ten seconds: %s", what)
}

func (r *rig) stop() {
	var all sync.WaitGroup
	for _, each := range r.routers {
		all.Go(func() { each.Stop(context.Background()) })
	}
	all.Wait()
}
