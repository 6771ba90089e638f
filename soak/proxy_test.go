package soak_test

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// mode is how a proxy treats connections.
type mode int

const (
	// forwardAll forwards all bytes.
	forwardAll mode = iota
	// slow forwards bytes after slowDelay.
	slow
	// reset closes each connection, with a TCP reset if it was open.
	reset
	// blackhole reads bytes and forwards none.
	blackhole
	// dropResponses forwards what the client sends and drops what the server sends.
	dropResponses
	modeCount
)

// String returns the mode's name.
func (m mode) String() string { return [...]string{"pass", "slow", "reset", "silent", "deaf"}[m] }

// slowDelay is the delay that a slow proxy adds in each direction.
const slowDelay = 150 * time.Millisecond

// proxy is a TCP proxy for one address on loopback that injects network faults.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	// mode is guarded by mu.
	mode  mode
	conns map[net.Conn]struct{}
	// changes are the changes of the mode, in order; guarded by mu.
	changes []modeChange
}

// modeChange is a change of a proxy's mode.
type modeChange struct {
	at   time.Time
	mode mode
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: listener, target: target, conns: make(map[net.Conn]struct{})}
	t.Cleanup(func() { _ = listener.Close(); p.setMode(reset) })
	go p.accept()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// setMode sets the mode of open and new connections.
func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	p.changes = append(p.changes, modeChange{time.Now(), m})
	if m != reset {
		return
	}
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// faultyBetween reports whether the mode was another than forwardAll at any time in the interval.
func (p *proxy) faultyBetween(from, until time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	faulty := false
	for _, change := range p.changes {
		if change.at.After(until) {
			break
		}
		faulty = change.mode != forwardAll || faulty && change.at.After(from)
	}
	return faulty
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == reset {
			_ = client.Close()
			continue
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		p.mu.Lock()
		p.conns[client], p.conns[server] = struct{}{}, struct{}{}
		p.mu.Unlock()
		go p.copy(server, client, blackhole)
		go p.copy(client, server, dropResponses)
	}
}

// copy forwards bytes of one direction, unless the mode is blackhole or dropping. It closes the connections in order only after the end
// of what it forwarded: after missing bytes, an orderly close could pass for the end of a response.
func (p *proxy) copy(to, from net.Conn, dropping mode) {
	complete := false
	defer func() {
		for _, conn := range []net.Conn{to, from} {
			if tcp, ok := conn.(*net.TCPConn); ok && !complete {
				_ = tcp.SetLinger(0)
			}
			_ = conn.Close()
		}
		p.mu.Lock()
		delete(p.conns, to)
		delete(p.conns, from)
		p.mu.Unlock()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		switch p.currentMode() {
		case blackhole, dropping:
			// A gap in the stream must not be followed by more bytes: they could pass for a valid response.
			_, _ = io.Copy(io.Discard, from)
			return
		case slow:
			time.Sleep(slowDelay)
		default:
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			complete = errors.Is(err, io.EOF)
			return
		}
	}
}
