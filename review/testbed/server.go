package testbed

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"vanillapond/pkg/ident"
	"vanillapond/platform"
)

// Run is one run of a request at a server.
type Run struct {
	Server  ident.Endpoint
	Request string
	Path    string
	Body    string
}

// Runs records the runs at all servers.
type Runs struct {
	mu   sync.Mutex
	runs []Run
}

func (r *Runs) add(run Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run)
}

// Of returns the runs of an attempt.
func (r *Runs) Of(request string) []Run {
	return r.where(func(run Run) bool { return run.Request == request })
}

// At returns the runs with a path.
func (r *Runs) At(path string) []Run {
	return r.where(func(run Run) bool { return run.Path == path })
}

func (r *Runs) where(match func(Run) bool) []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Run
	for _, run := range r.runs {
		if match(run) {
			found = append(found, run)
		}
	}
	return found
}

// Server is a stand-in of a server of a plain service. It runs requests that name it, and writes its registration every Heartbeat.
type Server struct {
	bed          *Bed
	registration platform.Server
	runs         *Runs
	// Work is how long a request runs.
	work time.Duration
	// Respond writes the response to a request that has run; nil writes a success.
	respond func(w http.ResponseWriter, r *http.Request)
}

// ServerConfig configures a server.
type ServerConfig struct {
	ID      ident.Endpoint
	Service ident.Pool
	Slots   int
	Runs    *Runs
	Work    time.Duration
	Respond func(w http.ResponseWriter, r *http.Request)
}

// AddServer starts and registers a server.
func (b *Bed) AddServer(config ServerConfig) error {
	s := &Server{bed: b, runs: config.Runs, work: config.Work, respond: config.Respond}
	if s.respond == nil {
		s.respond = func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, strings.Repeat("x", responseBytes))
		}
	}
	var listen net.ListenConfig
	listener, err := listen.Listen(b.ctx, "tcp", b.Host()+":0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: Grace}
	b.onClose(func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	s.registration = platform.Server{
		ID: config.ID, Service: config.Service, Address: listener.Addr().String(), Domain: Zone, State: platform.ServerReady, Software: "v1",
		Slots: config.Slots, StartedUnixMS: time.Now().UnixMilli(),
	}
	b.Register(s.registration)
	return nil
}

// responseBytes is the mean size of the answers of the plain service on the sheet.
const responseBytes = 800

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	id := s.registration.ID
	if expected := r.Header.Get(platform.HeaderExpectedServer); expected != "" && expected != string(id) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	run := Run{Server: id, Request: r.Header.Get(platform.HeaderRequestID), Path: r.URL.Path, Body: string(body)}
	s.runs.add(run)
	s.bed.Record("%s runs %s %s %s (%d bytes of body)", id, run.Request, r.Method, run.Path, len(body))
	time.Sleep(s.work)
	header := w.Header()
	header.Set(platform.HeaderRequestID, run.Request)
	header.Set(platform.HeaderSignature, "seal-"+strconv.Itoa(len(body)))
	s.respond(w, r)
}
