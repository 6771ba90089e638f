package soak_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"vanillapond/internal/testport"
	"vanillapond/pkg/ident"
	"vanillapond/platform"
	"vanillapond/platform/platformtest"
)

// Settings of the routers, and sizes and timing of the test.
const (
	host             = "soak.example"
	revocationBound  = 2500 * time.Millisecond
	drainTimeout     = 1500 * time.Millisecond
	gracePeriod      = 5 * time.Second
	recoveryBound    = 2 * time.Second
	readyTimeout     = 8 * time.Second
	usageReportDelay = 8 * time.Second
	usageWindow      = 2 * time.Second
	backendCount     = 3
	eventCount       = 12
	eventInterval    = 15 * time.Millisecond
	responseDelay    = 60 * time.Millisecond
	callerCount      = 12
	callerTimeoutMS  = 2500
)

// executionRecord is one execution of a request by a backend.
type executionRecord struct {
	server   ident.Endpoint
	customer ident.Customer
	path     string
}

// callerRequest is a request as its caller sees it.
type callerRequest struct {
	sentAt     time.Time
	router     int
	atMostOnce bool
	status     int
	key        string
}

// environment holds the routers and all that surrounds them: the store, the duty service, the backends and the callers' records.
type environment struct {
	t        *testing.T
	random   *rand.Rand
	store    *platformtest.Store
	duties   *platformtest.Duties
	binary   string
	routers  []*routerProcess
	backends []*backend

	mu sync.Mutex
	// executions holds the executions of each request ID, requests the callers' records of them; guarded by mu.
	executions map[string][]executionRecord
	requests   map[string]callerRequest
	// withdrawn holds the time of withdrawal of each withdrawn key; guarded by mu.
	withdrawn map[string]time.Time
	// drained holds the time at which the store acknowledged that a server drains or is gone; guarded by mu.
	drained  map[ident.Endpoint]time.Time
	version  ident.Version
	keys     []string
	served   int
	failures []string
	killed   bool
	// lastFault is the last of the store's faults that the random choice includes.
	lastFault platformtest.Fault
}

// routerProcess is one router instance and the proxy between it and the store.
type routerProcess struct {
	index         int
	settings      string
	callerAddress string
	readyAddress  string
	store         *proxy
	mu            sync.Mutex
	// process is the last process that was started, nil before the first; guarded by mu.
	process *exec.Cmd
	done    chan struct{}
	// lastFaultAt is the time of the last fault that could affect this router instance, or of its repair; guarded by mu.
	lastFaultAt time.Time
}

// backend is one server behind a proxy.
type backend struct {
	id    ident.Endpoint
	proxy *proxy
}

func (w *environment) failf(format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failures = append(w.failures, fmt.Sprintf(format, values...))
}

func newEnvironment(t *testing.T, binary string, seed uint64) *environment {
	t.Helper()
	w := &environment{
		t: t, random: rand.New(rand.NewPCG(seed, seed)), store: platformtest.NewStore(), duties: platformtest.NewDuties(), binary: binary,
		executions: make(map[string][]executionRecord), requests: make(map[string]callerRequest), withdrawn: make(map[string]time.Time),
		drained: make(map[ident.Endpoint]time.Time), keys: []string{"k0", "k1", "k2"},
	}
	w.lastFault = platformtest.Corrupt
	if seed >= firstLateSeed {
		w.lastFault = platformtest.Slow
	}
	t.Cleanup(w.store.Close)
	t.Cleanup(w.duties.Close)
	w.configure()
	for index := range backendCount {
		w.addBackend(ident.Endpoint("i-" + strconv.Itoa(index)))
	}
	for index := range *routerCount {
		w.routers = append(w.routers, w.newRouter(index))
		w.routers[index].start(w)
	}
	return w
}

// configure writes a new version of the configuration with the current keys.
func (w *environment) configure() {
	w.version++
	configuration := platform.Configuration{Version: w.version, Services: []platform.Service{{Name: "s", MaxConnections: 60}}}
	for _, route := range []platform.Route{
		{Name: "safe", PathPrefix: "/safe/", Kind: platform.Idempotent},
		{Name: "once", PathPrefix: "/once/", Kind: platform.NonIdempotent},
		{Name: "flow", PathPrefix: "/flow/", Kind: platform.Streaming},
		{Name: "again", PathPrefix: "/again/", Kind: platform.Streaming, Resumable: true},
	} {
		route.Host, route.Timeout, route.Service, route.MaxServers = host, 2000, "s", 2
		configuration.Routes = append(configuration.Routes, route)
	}
	for _, key := range w.keys {
		configuration.Customers = append(configuration.Customers, platform.Customer{Name: ident.Customer("c-" + key), Keys: []string{key}})
	}
	w.store.Put(platform.OperatorTable, platform.ConfigurationKey, configuration)
}

// withdrawKey withdraws the oldest key and adds a new one.
func (w *environment) withdrawKey() {
	w.mu.Lock()
	defer w.mu.Unlock()
	oldest := w.keys[0]
	w.keys = append(w.keys[1:], "k"+strconv.Itoa(int(w.version)+100))
	w.configure()
	w.withdrawn[oldest] = time.Now()
}

func (w *environment) addBackend(id ident.Endpoint) {
	server := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, r *http.Request) { w.serve(id, wr, r) }))
	w.t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	b := &backend{id: id, proxy: newProxy(w.t, server.Listener.Addr().String())}
	w.backends = append(w.backends, b)
	w.register(b, platform.ServerReady)
}

func (w *environment) register(b *backend, state platform.ServerState) {
	w.store.Put(platform.ServersTable, string(b.id), platform.Server{Service: "s", Address: b.proxy.address(), Domain: "a", State: state, Slots: 20, StartedUnixMS: 1})
}

// drainBackend replaces a server by a new one. If announced, the server is draining before its registration is deleted; otherwise
// the registration is deleted at once.
func (w *environment) drainBackend(index int, announced bool, repairLater func(func())) {
	b := w.backends[index]
	remove := func() { w.store.Delete(platform.ServersTable, string(b.id)) }
	if announced {
		w.register(b, platform.ServerDraining)
		repairLater(remove)
	} else {
		remove()
	}
	w.mu.Lock()
	w.drained[b.id] = time.Now()
	next := ident.Endpoint("i-" + strconv.Itoa(len(w.drained)+backendCount-1))
	w.mu.Unlock()
	w.addBackend(next)
	last := len(w.backends) - 1
	w.backends[index], w.backends = w.backends[last], w.backends[:last]
}

// serve is the handler of a backend: it records the execution and sends a response that contains the request ID.
func (w *environment) serve(id ident.Endpoint, wr http.ResponseWriter, r *http.Request) {
	request := r.Header.Get(platform.HeaderRequestID)
	if expected := r.Header.Get(platform.HeaderExpectedServer); expected != string(id) {
		wr.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.Header.Get("Authorization") != "" {
		w.failf("server %s received a customer's key", id)
	}
	w.mu.Lock()
	w.executions[request] = append(w.executions[request],
		executionRecord{id, ident.Customer(r.Header.Get(platform.HeaderCustomer)), r.URL.Path})
	w.mu.Unlock()
	wr.Header().Set(platform.HeaderRequestID, request)
	wr.Header().Set(platform.HeaderSignature, "seal")
	if !strings.HasPrefix(r.URL.Path, "/flow/") && !strings.HasPrefix(r.URL.Path, "/again/") {
		time.Sleep(responseDelay)
		_, _ = io.WriteString(wr, "whole "+request)
		return
	}
	after, _ := strconv.Atoi(r.Header.Get(platform.HeaderLastEventID))
	for eventID := after + 1; eventID <= eventCount; eventID++ {
		_, _ = fmt.Fprintf(wr, "id: %d\ndata: %s\n\n", eventID, request)
		_ = http.NewResponseController(wr).Flush()
		time.Sleep(eventInterval)
	}
}

func (w *environment) newRouter(index int) *routerProcess {
	n := &routerProcess{index: index, store: newProxy(w.t, w.store.Address())}
	var ports []string
	for range 3 {
		free, err := testport.Address()
		if err != nil {
			w.t.Fatal(err)
		}
		ports = append(ports, free)
	}
	n.callerAddress, n.readyAddress = ports[0], ports[1]
	_, peer, _ := strings.Cut(ports[2], ":")
	n.settings = filepath.Join(w.t.TempDir(), "boot.conf")
	content := platformtest.Settings(platformtest.SettingsConfig{
		Process: "front-" + strconv.Itoa(index), CallersAddress: n.callerAddress, ReadyAddress: n.readyAddress, PeerPort: peer,
		StoreAddress: n.store.address(), DutiesAddress: w.duties.Address(),
		Revoke: revocationBound, Drain: drainTimeout, Grace: gracePeriod, Contact: recoveryBound,
		UsageWindow: usageWindow, UsageLate: usageReportDelay,
	})
	if err := os.WriteFile(n.settings, []byte(content), 0o600); err != nil {
		w.t.Fatal(err)
	}
	return n
}

// start starts the router instance's process.
func (n *routerProcess) start(w *environment) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastFaultAt = time.Now()
	process := exec.CommandContext(context.Background(), w.binary, "router", "--settings", n.settings)
	if log := n.log(w); log != nil {
		process.Stdout, process.Stderr = log, log
		defer func() { _ = log.Close() }()
	}
	if err := process.Start(); err != nil {
		w.t.Fatal(err)
	}
	done := make(chan struct{})
	n.process, n.done = process, done
	go func() {
		_ = process.Wait()
		close(done)
	}()
}

// log returns the file for the process's log, or nil if SOAK_LOGS is not set.
func (n *routerProcess) log(w *environment) *os.File {
	folder := os.Getenv("SOAK_LOGS")
	if folder == "" {
		return nil
	}
	seed := w.t.Name()[strings.LastIndex(w.t.Name(), "/")+1:]
	file, err := os.OpenFile(filepath.Join(folder, fmt.Sprintf("%s-%d.log", seed, n.index)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		w.t.Logf("open log file of router %d: %v", n.index, err)
		return nil
	}
	return file
}

// signal sends a signal to the router's process, and records it as a fault.
func (n *routerProcess) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastFaultAt = time.Now()
	_ = n.process.Process.Signal(s)
}

// wait waits for the end of the process and reports whether it ended within the timeout.
func (n *routerProcess) wait(timeout time.Duration) bool {
	select {
	case <-n.done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// hadNoRecentFault reports whether the last fault was longer than the recovery bound before a time.
func (n *routerProcess) hadNoRecentFault(at time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return at.Sub(n.lastFaultAt) > recoveryBound
}

func (n *routerProcess) recordFault() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastFaultAt = time.Now()
}

// describe returns a value as JSON, to compare it and to show it in a failure.
func describe(value any) string {
	text, _ := json.Marshal(value)
	return string(text)
}
