package testbed

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
)

// crashServer is an HTTP server that can crash and start again at the same address.
type crashServer struct {
	handler http.Handler
	address string
	mu      sync.Mutex
	// process is the running server, nil after a crash; guarded by mu.
	process *http.Server
	// conns holds the open connections of the running server; guarded by mu.
	conns map[net.Conn]struct{}
}

// newCrashServer starts a server at a free port of a host.
func newCrashServer(host string, handler http.Handler) (*crashServer, error) {
	s := &crashServer{handler: handler, address: net.JoinHostPort(host, "0")}
	return s, s.start()
}

// start starts the server again after a crash.
func (s *crashServer) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.process != nil {
		return nil
	}
	var listen net.ListenConfig
	listener, err := listen.Listen(context.Background(), "tcp", s.address)
	if err != nil {
		return err
	}
	s.address = listener.Addr().String()
	process := &http.Server{Handler: s.handler, ReadHeaderTimeout: Grace}
	process.ConnState = func(conn net.Conn, state http.ConnState) { s.track(process, conn, state) }
	s.process, s.conns = process, make(map[net.Conn]struct{})
	go func() {
		if err := process.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.crash()
		}
	}()
	return nil
}

// track records the open connections of a running process, and closes those of one that has crashed.
func (s *crashServer) track(process *http.Server, conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.process != process:
		_ = conn.Close()
	case state == http.StateNew:
		s.conns[conn] = struct{}{}
	case state == http.StateClosed:
		delete(s.conns, conn)
	}
}

// crash resets all connections and refuses new ones.
func (s *crashServer) crash() {
	s.mu.Lock()
	process, conns := s.process, s.conns
	s.process, s.conns = nil, nil
	s.mu.Unlock()
	if process == nil {
		return
	}
	for conn := range conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	_ = process.Close()
}
