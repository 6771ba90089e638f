package main

import (
	"net/http"
	"sync"
	"time"

	"github.com/samber/oops"

	"vanillapond/pkg/ident"
	"vanillapond/platform"
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
	service platform.Service
	slots   int
	// version is that of the server's software, and born the Unix millisecond of its start.
	version string
	born    int64
	// respond writes the response of a request that runs.
	respond func(s *server, w http.ResponseWriter, request *http.Request)
	stand   *platformtest.Server
	mu      sync.Mutex
	// runs are guarded by mu.
	runs []run
}

// addServer starts a server with a version of its software and registers it.
func (b *bed) addServer(id, version string, service platform.Service, slots int, respond func(*server, http.ResponseWriter, *http.Request)) error {
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

// registration is a server's entry in the store.
type registration struct {
	platform.Server
	// Sequence counts the server's writes; these servers write once, since nothing about them changes.
	Sequence int `json:"Sequence"`
}

// register writes the server's entry into the store.
func (s *server) register() {
	s.bed.store.Put(platform.ServersTable, s.id, registration{
		Server: platform.Server{
			Service: s.service.Name, Address: s.stand.Address(), Domain: zoneName, Software: ident.Software(s.version), Slots: s.slots,
			State: platform.ServerReady, StartedUnixMS: s.born,
		},
		Sequence: 1,
	})
	s.bed.record.line("store: server %s of %s is registered, software %s", s.id, s.service.Name, s.version)
}

func (s *server) serve(w http.ResponseWriter, request *http.Request) {
	if expected := request.Header.Get(platform.HeaderExpectedServer); expected != "" && expected != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	began := run{
		at: time.Now(), server: s.id, version: s.version, tenant: request.Header.Get(platform.HeaderCustomer),
		request: request.Header.Get(platform.HeaderRequestID), path: request.URL.Path, lastEventID: request.Header.Get(platform.HeaderLastEventID),
	}
	s.mu.Lock()
	s.runs = append(s.runs, began)
	s.mu.Unlock()
	if !s.bed.omitRuns {
		s.bed.record.line("server %s: runs request %.40s, path %s, tenant %q, last event %q", s.id, began.request, began.path, began.tenant, began.lastEventID)
	}
	w.Header().Set(platform.HeaderRequestID, began.request)
	w.Header().Set(platform.HeaderSignature, "seal-"+s.id)
	s.respond(s, w, request)
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
