package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"vanillapond/platform"
	"vanillapond/platform/platformtest"
)

// server is an application server or a model server. It registers itself in the store, and may crash and start again under its id.
type server struct {
	deployment *deployment
	id         string
	service    string
	zone       string
	slots      int
	http       *platformtest.Server
	// handle answers a request that is meant for this server; it holds a slot meanwhile.
	handle func(s *server, w http.ResponseWriter, r *http.Request)

	mu sync.Mutex
	// version is the version of the server's software, born its start in Unix milliseconds, and sequence counts its registrations; guarded by mu.
	version  string
	born     int64
	sequence int
	up       bool
	// held counts the requests that run or wait, and free has room for those that run; guarded by mu.
	held int
	free chan struct{}
	// stop ends the heartbeats of the current start.
	stop  chan struct{}
	state platform.ServerState
	// arrive is called for each request that is meant for this server, also for one that it rejects; may be nil.
	arrive func(request, server string)
}

// registration is what a server writes into the store.
type registration struct {
	Service, Address, Zone, Version string
	Slots                           int
	State                           string
	ColdRemainingMs                 float64
	Stage                           string `json:",omitempty"`
	Sequence                        int
	Born                            int64 `json:"born"`
}

func (d *deployment) newServer(id, service, zone, version string, slots int, handle func(*server, http.ResponseWriter, *http.Request)) (*server, error) {
	s := &server{deployment: d, arrive: d.arrive, state: platform.ServerReady, id: id, service: service, zone: zone, version: version, slots: slots, handle: handle}
	listening, err := platformtest.NewServer(s)
	if err != nil {
		return nil, fmt.Errorf("start server %s: %w", id, err)
	}
	s.http = listening
	s.begin()
	return s, nil
}

// begin registers the server after a start, and from then on once per heartbeat.
func (s *server) begin() {
	s.mu.Lock()
	s.born, s.sequence, s.held, s.up = time.Now().UnixMilli(), 0, 0, true
	s.free = make(chan struct{}, s.slots)
	stop := make(chan struct{})
	s.stop = stop
	s.deployment.record.writef("server %s of %s starts at %s, software %s", s.id, s.service, s.http.Address(), s.version)
	s.mu.Unlock()
	s.register(stop)
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				s.register(stop)
			case <-stop:
				return
			}
		}
	}()
}

// register writes the server's registration, unless that start of the server has ended.
func (s *server) register(stop chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stop != stop || !s.up {
		return
	}
	s.sequence++
	value, err := json.Marshal(registration{
		Service: s.service, Address: s.http.Address(), Zone: s.zone, Version: s.version, Slots: s.slots, State: string(s.state),
		Sequence: s.sequence, Born: s.born,
	})
	if err == nil {
		s.deployment.store.Put(platform.ServersTable, s.id, value)
	}
}

// crash resets all connections and refuses new ones. It reports whether the server was running. A server that crashes writes nothing.
func (s *server) crash() bool {
	s.mu.Lock()
	if !s.up {
		s.mu.Unlock()
		return false
	}
	s.up = false
	close(s.stop)
	s.mu.Unlock()
	s.http.Crash(true)
	return true
}

// restart starts the server again under its id, at its address, with the given software.
func (s *server) restart(version string) error {
	s.mu.Lock()
	s.version = version
	s.mu.Unlock()
	if err := s.http.Start(); err != nil {
		return err
	}
	s.begin()
	return nil
}

// drain registers the server as draining, has it serve for the time of the drain and a little longer, and ends it.
func (s *server) drain() {
	s.mu.Lock()
	s.state = platform.ServerDraining
	stop := s.stop
	s.mu.Unlock()
	s.register(stop)
	s.deployment.record.writef("server %s drains", s.id)
	time.AfterFunc(drainTime+drainMargin, func() {
		s.deployment.store.Delete(platform.ServersTable, s.id)
		s.close()
	})
}

// close ends the server.
func (s *server) close() {
	if s.crash() {
		s.http.Close()
	}
}

// ServeHTTP implements http.Handler by the rules for servers: another server's request gets 421, and a full server 503.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(networkDelay)
	id := r.Header.Get(platform.HeaderRequestID)
	if id != "" {
		w.Header().Set(platform.HeaderRequestID, id)
	}
	if expected := r.Header.Get(platform.HeaderExpectedServer); expected != "" && expected != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == healthPath {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	if s.arrive != nil {
		s.arrive(id, s.id)
	}
	s.mu.Lock()
	full := s.held >= s.slots+queuePerSlot*s.slots
	if !full {
		s.held++
	}
	held, version, free := s.held, s.version, s.free
	s.mu.Unlock()
	w.Header().Set(platform.HeaderServerLoad, fmt.Sprintf("%d,%d,%d", min(held, s.slots), max(held-s.slots, 0), s.slots))
	if full {
		w.Header().Set(platform.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.held = max(s.held-1, 0)
	}()
	select {
	case free <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-free }()
	w.Header().Set(platform.HeaderSignature, "seal."+s.id+"."+version+"."+strconv.Itoa(len(id)))
	s.handle(s, w, r)
}

const (
	healthPath = "/healthz"
	// networkDelay is the time from one zone to another and back: loopback has none.
	networkDelay = 2800 * time.Microsecond
	// queuePerSlot is how many requests a server queues for each of its slots.
	queuePerSlot = 2
)

// software returns the version of the server's software now.
func (s *server) software() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}
