package testbed

import (
	"io"
	"net"
	"sync"
)

// Gate is the way from a router to the platform's store. While it is closed, it passes no bytes on, as when the router's machine is partitioned
// from the store.
type Gate struct {
	bed      *Bed
	listener net.Listener
	target   string
	mu       sync.Mutex
	// closed is set while the gate is closed; guarded by mu.
	closed bool
	conns  map[net.Conn]struct{}
}

// AddGate starts a gate to an address.
func (b *Bed) AddGate(target string) (*Gate, error) {
	var listen net.ListenConfig
	listener, err := listen.Listen(b.ctx, "tcp", b.Host()+":0")
	if err != nil {
		return nil, err
	}
	g := &Gate{bed: b, listener: listener, target: target, conns: make(map[net.Conn]struct{})}
	b.onClose(func() { _ = listener.Close() })
	go g.accept()
	return g, nil
}

// Address returns the gate's address for the router.
func (g *Gate) Address() string { return g.listener.Addr().String() }

// Close closes the gate: open and new connections go silent.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	g.bed.Record("the way to the store goes silent")
}

// Open opens the gate; the connections that went silent are reset.
func (g *Gate) Open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = false
	for conn := range g.conns {
		_ = conn.Close()
	}
	clear(g.conns)
	g.bed.Record("the way to the store is open again")
}

func (g *Gate) isClosed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.closed
}

func (g *Gate) accept() {
	for {
		router, err := g.listener.Accept()
		if err != nil {
			return
		}
		store, err := dial(g.target)
		if err != nil {
			_ = router.Close()
			continue
		}
		g.mu.Lock()
		g.conns[router], g.conns[store] = struct{}{}, struct{}{}
		g.mu.Unlock()
		go g.forward(store, router)
		go g.forward(router, store)
	}
}

// forward forwards one direction. After bytes that it has not passed on it passes on no others.
func (g *Gate) forward(to, from net.Conn) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	const bufferBytes = 32 << 10
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if g.isClosed() {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
