package testbed

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// retransmissions are the times after which the kernel sends unacknowledged bytes again, after a first timeout of 200 ms that doubles.
var retransmissions = []time.Duration{
	200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond, 3000 * time.Millisecond, 6200 * time.Millisecond,
	12600 * time.Millisecond,
}

// Partition is the way from one machine to the platform's duty interface. While it is cut, bytes on open connections are held up, and new
// connections do not come about. Held bytes arrive with their first retransmission after the cut, unless their sender has reset the connection.
type Partition struct {
	bed      *Bed
	listener net.Listener
	target   string
	mu       sync.Mutex
	// onCall is called with the first bytes of a call; nil is not called. Guarded by mu.
	onCall func()
	// healed is closed at the end of a cut; nil while there is none. Guarded by mu.
	healed chan struct{}
}

// AddPartition starts a way to an address.
func (b *Bed) AddPartition(target string) (*Partition, error) {
	var listen net.ListenConfig
	listener, err := listen.Listen(b.ctx, "tcp", b.Host()+":0")
	if err != nil {
		return nil, err
	}
	p := &Partition{bed: b, listener: listener, target: target}
	b.onClose(func() { _ = listener.Close() })
	go p.accept()
	return p, nil
}

// Address returns the address for the machine.
func (p *Partition) Address() string { return p.listener.Addr().String() }

// OnCall sets the function that is called with the first bytes of each call, before they are passed on.
func (p *Partition) OnCall(onCall func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onCall = onCall
}

// Cut begins a cut.
func (p *Partition) Cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.healed = make(chan struct{})
}

// Heal ends a cut.
func (p *Partition) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.healed)
	p.healed = nil
}

// cut returns a channel that is closed at the end of the present cut, nil if there is none.
func (p *Partition) cut() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.healed
}

func (p *Partition) accept() {
	for {
		machine, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.cut() != nil {
			// The connection does not come about: nothing that the machine sends on it arrives, now or later.
			go func() {
				_, _ = io.Copy(io.Discard, machine)
				_ = machine.Close()
			}()
			continue
		}
		go p.carry(machine)
	}
}

// carry carries one connection, which has one call.
func (p *Partition) carry(machine net.Conn) {
	defer func() { _ = machine.Close() }()
	duties, err := dial(p.target)
	if err != nil {
		return
	}
	defer func() { _ = duties.Close() }()
	const maxCall = 64 << 10
	call := make([]byte, maxCall)
	size, err := machine.Read(call)
	if err != nil {
		return
	}
	sent := time.Now()
	p.mu.Lock()
	onCall := p.onCall
	p.mu.Unlock()
	if onCall != nil {
		onCall()
	}
	if healed := p.cut(); healed != nil && !p.hold(machine, sent, healed) {
		return
	}
	if _, err := duties.Write(call[:size]); err != nil {
		return
	}
	_, _ = io.Copy(machine, duties)
}

// hold waits until the bytes that a machine sent arrive after a cut. It returns false if the machine has reset the connection.
func (p *Partition) hold(machine net.Conn, sent time.Time, healed <-chan struct{}) bool {
	p.bed.Record("network: a call is held up")
	reset := make(chan struct{})
	go func() {
		if _, err := io.Copy(io.Discard, machine); err != nil && !errors.Is(err, net.ErrClosed) {
			close(reset)
		}
	}()
	<-healed
	for _, again := range retransmissions {
		if wait := time.Until(sent.Add(again)); wait > 0 {
			time.Sleep(wait)
			break
		}
	}
	select {
	case <-reset:
		p.bed.Record("network: the call is lost, since its sender reset the connection")
		return false
	default:
		p.bed.Record("network: the call arrives %.1f s after it was sent", time.Since(sent).Seconds())
		return true
	}
}
