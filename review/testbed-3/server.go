package main

import (
	"net/http"
	"sync"
	"time"

	"github.com/samber/oops"

	"vanillapond/platform/platformtest"
)

// run is one request that a server began to work on.
type run struct {
	at                      time.Time
	server, version, tenant string
	request, path           string
	lastEventID             string
}

// server is a stand-in for a server of the users' platform. It refuses requests for another instance with 421, records those that it runs, and
// leaves the response to its handler.
type server struct {
	bed     *bed
	id      string
	service string
	slots   int
	// respond writes the response of a request that runs.
	respond func(s *server, w http.ResponseWriter, request *http.Request)
	stand   *platformtest.Server
	mu      sync.Mutex
	// version is that of the server's software, and born the Unix millisecond of its start; guarded by mu.
	version string
	born    int64
	// sequence counts the server's writes to the store; guarded by mu.
	sequence int
	// runs are guarded by mu.
	runs []run
}

// firstVersion is the version of the servers' software at the start.
const firstVersion = "v1"

// addServer starts a server and registers it.
func (b *bed) addServer(id, service string, slots int, respond func(*server, http.ResponseWriter, *http.Request)) error {
	return b.addServerWith(id, service, firstVersion, slots, respond)
}

// addServerWith is like addServer, for a version of the software.
func (b *bed) addServerWith(id, service, version string, slots int, respond func(*server, http.ResponseWriter, *http.Request)) error {
	s := &server{bed: b, id: id, service: service, version: version, slots: slots, respond: respond, born: time.Now().UnixMilli()}
	stand, err := platformtest.NewServer(http.HandlerFunc(s.serve))
	if err != nil {
		return oops.Wrapf(err, "server %s", id)
	}
	s.stand = stand
	b.servers = append(b.servers, s)
	s.register()
	return nil
}

// register writes the server's entry into the store.
func (s *server) register() {
	s.mu.Lock()
	s.sequence++
	entry := map[string]any{
		"Service": s.service, "Address": s.stand.Address(), "Zone": zoneName, "Version": s.version, "Slots": s.slots, "State": "ready",
		"ColdRemainingMs": 0, "Sequence": s.sequence, "born": s.born,
	}
	s.mu.Unlock()
	s.bed.store.Put("servers", s.id, entry)
	s.bed.record.line("store: server %s of %s is registered, software %s", s.id, s.service, entry["Version"])
}

// crash ends the server with resets of its connections.
func (s *server) crash() {
	s.bed.record.line("server %s: crashes", s.id)
	s.stand.Crash(true)
}

// restart starts the server again under its id and at its address, with a version of its software.
func (s *server) restart(version string) error {
	s.mu.Lock()
	s.version, s.born, s.sequence = version, time.Now().UnixMilli(), 0
	s.mu.Unlock()
	if err := s.stand.Start(); err != nil {
		return oops.Wrapf(err, "server %s", s.id)
	}
	s.bed.record.line("server %s: starts again under its id, software %s", s.id, version)
	return nil
}

func (s *server) softwareVersion() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

func (s *server) serve(w http.ResponseWriter, request *http.Request) {
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	began := run{
		at: time.Now(), server: s.id, version: s.softwareVersion(), tenant: request.Header.Get("X-Tenant"),
		request: request.Header.Get("X-Attempt-Id"), path: request.URL.Path, lastEventID: request.Header.Get("Last-Event-Id"),
	}
	s.mu.Lock()
	s.runs = append(s.runs, began)
	s.mu.Unlock()
	s.bed.record.line("server %s: runs request %.40s, path %s, tenant %q, last event %q", s.id, began.request, began.path, began.tenant, began.lastEventID)
	w.Header().Set("X-Attempt-Id", began.request)
	w.Header().Set("X-Response-Seal", "seal-"+s.id)
	s.respond(s, w, request)
}

func (s *server) runCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runs)
}

// allRuns returns the runs at all servers.
func (b *bed) allRuns() []run {
	var runs []run
	for _, each := range b.servers {
		each.mu.Lock()
		runs = append(runs, each.runs...)
		each.mu.Unlock()
	}
	return runs
}
