package testbed

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Link is the way from clients to a router. It forwards bytes at once, except where it holds back a segment, as a link does that loses the
// segment and its first retransmissions.
type Link struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	// holds says, for the local port of a client's connection, which segments are held back, counted from 0; guarded by mu.
	holds map[int]map[int]time.Duration
	// segments is the number of segments of all connections; guarded by mu.
	segments, held int
}

// AddLink starts a link to an address.
func (b *Bed) AddLink(target string) (*Link, error) {
	var listen net.ListenConfig
	listener, err := listen.Listen(b.ctx, "tcp", b.Host()+":0")
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, target: target, holds: make(map[int]map[int]time.Duration)}
	b.onClose(func() { _ = listener.Close() })
	go l.accept()
	return l, nil
}

// Address returns the link's address for clients.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Hold makes the link hold back a segment that a client sends, counted from 0 for its connection.
func (l *Link) Hold(client *Conn, segment int, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	port := portOf(client.LocalAddr())
	if l.holds[port] == nil {
		l.holds[port] = make(map[int]time.Duration)
	}
	l.holds[port][segment] = delay
}

// Segments returns the number of segments that the link forwarded, and how many of them it held back.
func (l *Link) Segments() (all, held int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.segments, l.held
}

func portOf(address net.Addr) int {
	if tcp, ok := address.(*net.TCPAddr); ok {
		return tcp.Port
	}
	return 0
}

func (l *Link) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		server, err := dial(l.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		go l.forward(server, client, portOf(client.RemoteAddr()))
		go l.forward(client, server, 0)
	}
}

// delay counts a segment and returns for how long it is held back.
func (l *Link) delay(port, segment int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.segments++
	delay := l.holds[port][segment]
	if delay > 0 {
		l.held++
	}
	return delay
}

// forward forwards one direction, with the end of the sender's bytes as such.
func (l *Link) forward(to, from net.Conn, port int) {
	const maxSegment = 1448
	buffer := make([]byte, maxSegment)
	for segment := 0; ; segment++ {
		n, err := from.Read(buffer)
		if n > 0 {
			time.Sleep(l.delay(port, segment))
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if errors.Is(err, io.EOF) {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}
