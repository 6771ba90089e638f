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
	"slices"
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
	// maxPause is the longest time between the signals that pause and resume a process.
	maxPause = 2700 * time.Millisecond
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
	drained map[ident.Endpoint]time.Time
	version ident.Version
	// keys holds the keys in force, the oldest first; guarded by mu.
	keys []string
	// served is the number of complete responses, failures describes the failed checks; guarded by mu.
	served   int
	failures []string
	// interrupted holds the indices of the routers that were killed, paused or stopped, which happens once to each. It is used only by
	// the goroutine that injects faults.
	interrupted map[int]bool
	// killed is set once a router was killed; usage that it had not reported may then be missing.
	killed bool
	// restored is set once the store came back from an older copy; usage of the time before may then be missing.
	restored bool
	// registrations holds what the servers have last written; guarded by mu.
	registrations map[ident.Endpoint]platform.Server
	// lastFault is the last of the store's faults that the random choice includes.
	lastFault platformtest.Fault
	// faults are the faults of the backends; withBackendFaults says whether any are injected.
	faults *backendFaults
	// proxies holds the proxies of all servers, also of those that are gone.
	proxies           map[ident.Endpoint]*proxy
	withBackendFaults bool
	unframed          *unframedResponses
	limits            *rateLimits
	versions          *softwareVersions
	loads             *loadHeaders
	restarts          *restarts
	// part is nil for seeds without engines.
	part  *crashingPart
	turns *turns
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
	// done is closed when the process has ended.
	done chan struct{}
	// faultTimes are the times of the faults that could affect this router instance, and of their repairs, in order; guarded by mu.
	faultTimes []time.Time
	// interruptions are the times of the signals to the process and of its starts, in order; guarded by mu.
	interruptions []time.Time
}

// backend is one server behind a proxy.
type backend struct {
	id    ident.Endpoint
	proxy *proxy
}

func (e *environment) failf(format string, values ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failures = append(e.failures, fmt.Sprintf(format, values...))
}

func newEnvironment(t *testing.T, binary string, seed uint64) *environment {
	t.Helper()
	e := &environment{
		t: t, random: rand.New(rand.NewPCG(seed, seed)), store: platformtest.NewStore(), duties: platformtest.NewDuties(), binary: binary,
		executions: make(map[string][]executionRecord), requests: make(map[string]callerRequest), withdrawn: make(map[string]time.Time),
		drained: make(map[ident.Endpoint]time.Time), keys: []string{"k0", "k1", "k2"},
		registrations: make(map[ident.Endpoint]platform.Server), faults: newBackendFaults(), interrupted: make(map[int]bool), proxies: make(map[ident.Endpoint]*proxy), withBackendFaults: seed >= firstBackendFaultSeed,
		unframed: newUnframedResponses(seed), limits: newRateLimits(seed), versions: newSoftwareVersions(seed), loads: newLoadHeaders(seed), restarts: newRestarts(seed), part: newCrashingPart(seed),
		turns: newTurns(seed),
	}
	e.lastFault = platformtest.Corrupt
	if seed >= firstLateSeed {
		e.lastFault = platformtest.Slow
	}
	t.Cleanup(e.store.Close)
	t.Cleanup(e.duties.Close)
	e.configure()
	e.turns.addServers(e)
	if e.part != nil {
		e.addEngines()
	} else {
		for range e.initialBackends() {
			e.addBackend()
		}
	}
	for index := range *routerCount {
		e.routers = append(e.routers, e.newRouter(index))
		e.routers[index].start(e)
	}
	return e
}

// configure writes a new version of the configuration with the current keys.
func (e *environment) configure() {
	e.version++
	e.writeConfiguration()
}

// writeConfiguration writes the current version of the configuration.
func (e *environment) writeConfiguration() {
	configuration := platform.Configuration{Version: e.version, Services: []platform.Service{{Name: "s", MaxConnections: 60}}}
	if e.part != nil {
		configuration.Services[0].Engine = &platform.Engine{BatchSize: engineSlots, KVCacheTokens: engineKVCacheTokens, TokensPerEvent: 1}
	}
	for _, route := range []platform.Route{
		{Name: "safe", PathPrefix: "/safe/", Kind: platform.Idempotent},
		{Name: "once", PathPrefix: "/once/", Kind: platform.NonIdempotent},
		{Name: "flow", PathPrefix: "/flow/", Kind: platform.Streaming},
		{Name: "again", PathPrefix: "/again/", Kind: platform.Streaming, Resumable: true},
	} {
		route.CarriesPrompts = e.part != nil
		route.Host, route.Timeout, route.Service, route.MaxServers = host, 2000, "s", 2
		configuration.Routes = append(configuration.Routes, route)
	}
	e.loads.configure(&configuration)
	e.turns.configure(&configuration)
	for _, key := range e.keys {
		configuration.Customers = append(configuration.Customers, platform.Customer{Name: ident.Customer("c-" + key), Keys: []string{key}})
	}
	if len(e.keys) == 0 {
		configuration.Customers = e.turns.remainingCustomers()
	}
	e.store.Put(platform.OperatorTable, platform.ConfigurationKey, configuration)
}

// withdrawKey withdraws the oldest key and adds a new one.
func (e *environment) withdrawKey() {
	e.mu.Lock()
	defer e.mu.Unlock()
	oldest := e.keys[0]
	e.keys = append(e.keys[1:], "k"+strconv.Itoa(int(e.version)+100))
	e.configure()
	e.withdrawn[oldest] = time.Now()
}

// initialBackends returns the number of servers at the start: with several software versions, backendCount of each.
func (e *environment) initialBackends() int {
	if e.versions.enabled {
		return 2 * backendCount
	}
	return backendCount
}

func (e *environment) addBackend() {
	id := ident.Endpoint("i-" + strconv.Itoa(len(e.proxies)))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.serve(id, w, r) }))
	e.t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	b := &backend{id: id, proxy: newProxy(e.t, server.Listener.Addr().String())}
	e.backends = append(e.backends, b)
	e.proxies[id] = b.proxy
	e.unframed.add(id, e.random)
	e.versions.add(id, e.random)
	e.register(b, platform.ServerReady)
}

func (e *environment) register(b *backend, state platform.ServerState) {
	e.putRegistration(b.id, platform.Server{
		Service: "s", Address: b.proxy.address(), Domain: "a", State: state, Slots: 20, StartedUnixMS: 1,
		Software: e.versions.of(b.id),
	})
}

// putRegistration writes a server's registration.
func (e *environment) putRegistration(id ident.Endpoint, registration platform.Server) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.registrations[id] = registration
	e.store.Put(platform.ServersTable, string(id), registration)
}

// deregister deletes a server's registration.
func (e *environment) deregister(id ident.Endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.registrations, id)
	e.store.Delete(platform.ServersTable, string(id))
}

// rewrite writes the configuration and all registrations again, and deletes the registrations of servers that are gone.
func (e *environment) rewrite() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.writeConfiguration()
	for _, row := range e.store.Rows(platform.ServersTable) {
		if _, found := e.registrations[ident.Endpoint(row.Key.Key)]; !found {
			e.store.Delete(platform.ServersTable, row.Key.Key)
		}
	}
	for id, registration := range e.registrations {
		e.store.Put(platform.ServersTable, string(id), registration)
	}
}

// drainBackend replaces a server by a new one. If announced, the server is draining before its registration is deleted; otherwise
// the registration is deleted at once.
func (e *environment) drainBackend(index int, announced bool, repairLater func(func())) {
	b := e.backends[index]
	remove := func() { e.deregister(b.id) }
	if announced {
		e.register(b, platform.ServerDraining)
		repairLater(remove)
	} else {
		remove()
	}
	e.mu.Lock()
	e.drained[b.id] = time.Now()
	e.mu.Unlock()
	e.addBackend()
	last := len(e.backends) - 1
	e.backends[index], e.backends = e.backends[last], e.backends[:last]
}

// recordExecution records that a server executes a request.
func (e *environment) recordExecution(id ident.Endpoint, request string, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.executions[request] = append(e.executions[request],
		executionRecord{id, ident.Customer(r.Header.Get(platform.HeaderCustomer)), r.URL.Path})
}

// serve is the handler of a backend: it records the execution and sends a response that contains the request ID.
func (e *environment) serve(id ident.Endpoint, w http.ResponseWriter, r *http.Request) {
	request := r.Header.Get(platform.HeaderRequestID)
	if e.restarts.arrive(request, w) {
		return
	}
	if expected := r.Header.Get(platform.HeaderExpectedServer); expected != string(id) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.Header.Get("Authorization") != "" {
		e.failf("server %s received a customer's key", id)
	}
	e.mu.Lock()
	router := e.requests[request].router
	e.mu.Unlock()
	e.limits.recordArrival(id, router, w.Header())
	e.loads.write(w.Header())
	if e.faults.refuse(id, router, w) {
		return
	}
	e.recordExecution(id, request, r)
	setResponseHeader(w, request)
	stream := strings.HasPrefix(r.URL.Path, "/flow/") || strings.HasPrefix(r.URL.Path, "/again/")
	after, _ := strconv.Atoi(r.Header.Get(platform.HeaderLastEventID))
	content := request
	if stream {
		content = e.versions.label(id, request)
		w.Header().Set("Content-Type", "text/event-stream")
		if e.faults.interfere(w, content, after) {
			return
		}
	}
	if e.unframed.sends(id) {
		// A connection that is closed before its request was read sends a reset.
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if err := e.unframed.respond(w, content, stream, after); err != nil {
			e.failf("server %s sends no unframed response: %v", id, err)
		}
		return
	}
	if stream {
		writeEvents(w, content, after, eventCount)
		return
	}
	time.Sleep(responseDelay)
	_, _ = io.WriteString(w, "whole "+request)
}

// setResponseHeader sets the headers that mark a response as a server's response to the request.
func setResponseHeader(w http.ResponseWriter, request string) {
	w.Header().Set(platform.HeaderRequestID, request)
	w.Header().Set(platform.HeaderSignature, "seal")
}

func (e *environment) newRouter(index int) *routerProcess {
	router := &routerProcess{index: index, store: newProxy(e.t, e.store.Address())}
	var addresses []string
	for range 3 {
		address, err := testport.Address()
		if err != nil {
			e.t.Fatal(err)
		}
		addresses = append(addresses, address)
	}
	router.callerAddress, router.readyAddress = addresses[0], addresses[1]
	_, peerPort, _ := strings.Cut(addresses[2], ":")
	router.settings = filepath.Join(e.t.TempDir(), "boot.conf")
	content := platformtest.Settings(platformtest.SettingsConfig{
		Process: "front-" + strconv.Itoa(index), CallersAddress: router.callerAddress, ReadyAddress: router.readyAddress, PeerPort: peerPort,
		StoreAddress: router.store.address(), DutiesAddress: e.duties.Address(),
		Revoke: revocationBound, Drain: drainTimeout, Grace: gracePeriod, Contact: recoveryBound,
		UsageWindow: usageWindow, UsageLate: usageReportDelay, RetryRatio: e.restarts.retryRatio(),
	})
	if err := os.WriteFile(router.settings, []byte(content), 0o600); err != nil {
		e.t.Fatal(err)
	}
	return router
}

// start starts the router instance's process.
func (r *routerProcess) start(e *environment) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordInterruption()
	process := exec.CommandContext(context.Background(), e.binary, "router", "--settings", r.settings)
	if log := r.log(e); log != nil {
		process.Stdout, process.Stderr = log, log
		defer func() { _ = log.Close() }()
	}
	if err := process.Start(); err != nil {
		e.t.Fatal(err)
	}
	done := make(chan struct{})
	r.process, r.done = process, done
	go func() {
		_ = process.Wait()
		close(done)
	}()
}

// log returns the file for the process's log, or nil if SOAK_LOGS is not set.
func (r *routerProcess) log(e *environment) *os.File {
	folder := os.Getenv("SOAK_LOGS")
	if folder == "" {
		return nil
	}
	seed := e.t.Name()[strings.LastIndex(e.t.Name(), "/")+1:]
	file, err := os.OpenFile(filepath.Join(folder, fmt.Sprintf("%s-%d.log", seed, r.index)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		e.t.Logf("open log file of router %d: %v", r.index, err)
		return nil
	}
	return file
}

// signal sends a signal to the router's process, and records it as a fault.
func (r *routerProcess) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordInterruption()
	_ = r.process.Process.Signal(s)
}

// recordInterruption records a signal or a start as a fault; the caller holds mu.
func (r *routerProcess) recordInterruption() {
	now := time.Now()
	r.faultTimes, r.interruptions = append(r.faultTimes, now), append(r.interruptions, now)
}

// wait waits for the end of the process and reports whether it ended within the timeout.
func (r *routerProcess) wait(timeout time.Duration) bool {
	select {
	case <-r.done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// hadNoRecentFault reports whether the last fault was longer than the recovery bound before a time.
func (r *routerProcess) hadNoRecentFault(at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return at.Sub(r.faultTimes[len(r.faultTimes)-1]) > recoveryBound
}

// interruptedBetween reports whether the process got a signal or was started in the interval, or was paused at its beginning.
func (r *routerProcess) interruptedBetween(from, until time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.interruptions, func(at time.Time) bool { return at.After(from.Add(-maxPause)) && at.Before(until) })
}

func (r *routerProcess) recordFault() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faultTimes = append(r.faultTimes, time.Now())
}

// toJSON returns a value as JSON, to compare it and to show it in a failure.
func toJSON(value any) string {
	text, _ := json.Marshal(value)
	return string(text)
}
