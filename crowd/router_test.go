package crowd_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"vanillapond/platform"
	"vanillapond/platform/platformtest"
)

const (
	host = "crowd.example"
	// slowResponse is how long the server takes for requests of the route "slow".
	slowResponse = 2 * time.Second
	// largeResponse is the length in bytes of a response of the route "large".
	largeResponse = 16 << 20
	// readyTimeout bounds the start of the process, and ordinaryTimeout how long an ordinary caller goes on trying.
	readyTimeout    = 20 * time.Second
	ordinaryTimeout = 30 * time.Second
	watchInterval   = 20 * time.Millisecond
	// brokenServers is the number of servers of the service "broken".
	brokenServers = 8
)

// router is a router process.
type router struct {
	*process
	ready, metrics string
}

func routerConfiguration() platform.Configuration {
	return platform.Configuration{
		Version: 1,
		Routes: []platform.Route{
			{Name: "plain", Host: host, PathPrefix: "/p/", Kind: platform.Idempotent, Timeout: 5000, Service: "s", MaxServers: 2},
			{Name: "large", Host: host, PathPrefix: "/large/", Kind: platform.Idempotent, Timeout: 20_000, Service: "s", MaxServers: 2},
			{Name: "slow", Host: host, PathPrefix: "/slow/", Kind: platform.Idempotent, Timeout: 20_000, Service: "s", MaxServers: 2},
			{Name: "broken", Host: host, PathPrefix: "/broken/get/", Kind: platform.Idempotent, Timeout: 5000, Service: "broken", MaxServers: 2},
			{Name: "broken streams", Host: host, PathPrefix: "/broken/stream/", Kind: platform.Streaming, Timeout: 5000, Service: "broken", MaxServers: 2},
		},
		Services:  []platform.Service{{Name: "s", MaxConnections: 100}, {Name: "broken", MaxConnections: 1000}},
		Customers: []platform.Customer{{Name: "school", Keys: []string{"right"}}},
		Limits:    platform.Limits{HeaderBytes: maxHeaderBytes, BodyBytes: maxBodyBytes, HeaderTimeout: 3000, IdleTimeout: 15_000},
	}
}

// startRouter starts a process with so much memory, in MiB, and so many descriptors, and waits until it is ready.
func startRouter(t *testing.T, memory, descriptors int) *router {
	t.Helper()
	return startRouterWith(t, memory, descriptors, "")
}

// startRouterWith is like startRouter; unless it is empty, the address is that of the servers of the service "broken".
func startRouterWith(t *testing.T, memory, descriptors int, broken string) *router {
	t.Helper()
	store, duties, server := platformtest.NewStore(), platformtest.NewDuties(), httptest.NewServer(http.HandlerFunc(serve))
	t.Cleanup(store.Close)
	t.Cleanup(duties.Close)
	t.Cleanup(server.Close)
	store.Put(platform.OperatorTable, platform.ConfigurationKey, routerConfiguration())
	store.Put(platform.ServersTable, "i-1", platform.Server{
		Service: "s", Address: server.Listener.Addr().String(), Domain: "a", State: platform.ServerReady, Slots: 64, StartedUnixMS: 1,
	})
	for index := 0; broken != "" && index < brokenServers; index++ {
		store.Put(platform.ServersTable, "i-broken-"+strconv.Itoa(index), platform.Server{
			Service: "broken", Address: broken, Domain: "a", State: platform.ServerReady, Slots: 64, StartedUnixMS: 1,
		})
	}
	addresses := freeAddresses(t, 4)
	settings := filepath.Join(t.TempDir(), "settings")
	content := platformtest.Settings(platformtest.SettingsConfig{
		Process: "front-a", CallersAddress: addresses[0], ReadyAddress: addresses[1],
		PeerPort:     strconv.Itoa(int(netip.MustParseAddrPort(addresses[2]).Port())),
		StoreAddress: store.Address(), DutiesAddress: duties.Address(),
		Revoke: 5 * time.Second, Drain: 2 * time.Second, Grace: 6 * time.Second, Contact: 3 * time.Second,
		UsageWindow: 5 * time.Second, UsageLate: 10 * time.Second, MemoryMB: memory, MaxDescriptors: descriptors,
	}) + "Bootstrap=true\n"
	if err := os.WriteFile(settings, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	_, metricsPort, _ := strings.Cut(addresses[3], ":")
	r := &router{
		process: start(t, nil, addresses[0], "router", "--settings", settings, "--metrics-port", metricsPort),
		ready:   addresses[1], metrics: addresses[3],
	}
	r.servers = server.Listener.Addr().String()
	for end := time.Now().Add(readyTimeout); !r.isReady(); time.Sleep(watchInterval) {
		if time.Now().After(end) {
			t.Fatalf("not ready within %v", readyTimeout)
		}
	}
	return r
}

// serve responds with the digest of the request's body.
func serve(w http.ResponseWriter, request *http.Request) {
	digest := sha256.New()
	if _, err := io.Copy(digest, request.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if strings.HasPrefix(request.URL.Path, "/slow/") {
		time.Sleep(slowResponse)
	}
	w.Header().Set(platform.HeaderRequestID, request.Header.Get(platform.HeaderRequestID))
	w.Header().Set(platform.HeaderSignature, "seal")
	if strings.HasPrefix(request.URL.Path, "/large/") {
		w.Header().Set("Content-Length", strconv.Itoa(largeResponse))
		for piece := make([]byte, 64<<10); ; {
			if _, err := w.Write(piece); err != nil {
				return
			}
		}
	}
	_, _ = io.WriteString(w, hex.EncodeToString(digest.Sum(nil)))
}

func (r *router) isReady() bool {
	response, err := http.Get("http://" + r.ready)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// ordinaryRequest sends a small request.
func (r *router) ordinaryRequest() error {
	body := strings.Repeat("ordinary ", 200)
	return r.keepTrying(func(try int) (status int, got string, err error) {
		request := requestHead("POST", "/p/", "right", "ordinary-"+strconv.Itoa(try)) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
		return r.roundTrip(func(conn net.Conn) error { return write(conn, request) })
	}, digestOf(body))
}

// awaitNothingHeld waits until the router counts nothing that callers hold.
func (r *router) awaitNothingHeld() error {
	var found string
	for end := time.Now().Add(ordinaryTimeout); time.Now().Before(end); time.Sleep(watchInterval) {
		response, err := http.Get("http://" + r.metrics + "/metrics")
		if err != nil {
			return err
		}
		content, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			return err
		}
		found = strings.Join(heldMetric.FindAllString(string(content), -1), ", ")
		if found == "vanillapond_router_caller_bytes 0, vanillapond_router_caller_connections 0" {
			return nil
		}
	}
	return fmt.Errorf("after the crowd: found %s, want 0 bytes and 0 connections", found)
}

var heldMetric = regexp.MustCompile(`(?m)^vanillapond_router_caller_(?:bytes|connections) .*$`)

// serveLargest sends a request whose body is maxBodyBytes long.
func (r *router) serveLargest(send func(net.Conn, string) error) error {
	status, got, err := r.roundTrip(func(conn net.Conn) error { return send(conn, "largest") })
	if err != nil {
		return err
	}
	if want := digestOf(strings.Repeat("b", maxBodyBytes)); status != http.StatusOK || got != want {
		return fmt.Errorf("found status %d and body %q, want 200 and %q", status, got, want)
	}
	return nil
}
