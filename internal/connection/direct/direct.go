// Package direct sends requests straight to a server over HTTP/1.1 and says of each what became of it.
//
// A connection carries one request at a time and is used again only where nothing was left unread or unsent on it.
package direct

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"vanillapond/internal/connection/socket"
	"vanillapond/internal/process/outcome"
)

// Error is an attempt without an answer.
type Error struct {
	// Outcome is NotRun or Unknown.
	Outcome outcome.Outcome
	// ConnectionFailed says that the server or the path broke the connection, rather than the caller's time running out.
	ConnectionFailed bool
	// Unreachable says that no connection was made.
	Unreachable bool
	Cause       error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("direct: %s: %v", e.Outcome, e.Cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Causes of errors.
var (
	// ErrNoConnection says that the server's share of connections is used up.
	ErrNoConnection = errors.New("no connection left")
	// ErrMalformed says that what came is no answer to the request.
	ErrMalformed = errors.New("no answer in the protocol")
)

// Request is one request to a server.
type Request struct {
	Method string
	// Target is the path with its query, as it came.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID is repeated by the server in IDHeader.
	ID       string
	IDHeader string
	// RefusalHeaders are headers that mark an answer which may lack the ID, because the server did not run the request.
	RefusalHeaders []string
	// AtMostOnce says that the request must not run twice, so that it wants a connection of which the server is surely aware.
	AtMostOnce bool
}

// Config says where a pool's server is.
type Config struct {
	// Address is host:port.
	Address string
	// MaxConnections returns how many connections may be open at a time; nil means any number.
	MaxConnections func() int
	// DialTimeout bounds how long a new connection takes.
	DialTimeout time.Duration
	// Dial opens connections; nil means socket.Dial.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnDial is told of each new connection.
	OnDial func()
}

// Ages of idle connections.
const (
	// defaultIdle is how long an unused connection is kept where the server states no timeout.
	defaultIdle = 4 * time.Second
	// onceIdle is how long a connection may be unused for a request that must not run twice: servers may drop idle
	// connections without notice.
	onceIdle = 250 * time.Millisecond
	// idleShare is the part of the server's stated timeout during which a connection is used again.
	idleShare = 0.75
)

// Pool holds the connections to one server.
type Pool struct {
	config Config
	mu     sync.Mutex
	// idle connections carry no request, the last used at the end; guarded by mu.
	idle []*conn
	// open counts all connections, busy and idle; guarded by mu.
	open int
	// closed is never cleared; guarded by mu.
	closed bool
}

// New returns a pool without connections.
func New(config Config) *Pool {
	if config.Dial == nil {
		config.Dial = socket.Dial
	}
	if config.OnDial == nil {
		config.OnDial = func() {}
	}
	return &Pool{config: config}
}

// Address returns the server's address.
func (p *Pool) Address() string { return p.config.Address }

// Close closes the idle connections; those in use end with their requests.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		p.discard(c)
	}
}

// Trim closes connections that have been idle too long to be used again.
func (p *Pool) Trim(now time.Time) {
	p.mu.Lock()
	var old []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.idleSince) > c.idleLimit {
			old = append(old, c)
		} else {
			kept = append(kept, c)
		}
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range old {
		p.discard(c)
	}
}

// take returns an idle connection that is still sound, or nil.
func (p *Pool) take(once bool) *conn {
	now := time.Now()
	for {
		p.mu.Lock()
		if len(p.idle) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := p.idle[len(p.idle)-1]
		limit := c.idleLimit
		if once {
			limit = min(limit, onceIdle)
		}
		age := now.Sub(c.idleSince)
		if once && age > limit && age <= c.idleLimit {
			p.mu.Unlock()
			return nil
		}
		p.idle = p.idle[:len(p.idle)-1]
		p.mu.Unlock()
		if age <= limit && socket.IsIdle(c.Conn) {
			c.reused = true
			return c
		}
		p.discard(c)
	}
}

// connect returns an idle or a new connection.
func (p *Pool) connect(ctx context.Context, once bool) (*conn, error) {
	if c := p.take(once); c != nil {
		return c, nil
	}
	p.mu.Lock()
	if p.config.MaxConnections != nil && p.open >= p.config.MaxConnections() {
		if len(p.idle) == 0 {
			p.mu.Unlock()
			return nil, ErrNoConnection
		}
		// The oldest idle connection makes room for one that this request may use.
		oldest := p.idle[0]
		p.idle = p.idle[1:]
		p.mu.Unlock()
		p.discard(oldest)
		p.mu.Lock()
	}
	p.open++
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, p.config.DialTimeout)
	defer cancel()
	raw, err := p.config.Dial(ctx, "tcp", p.config.Address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	p.config.OnDial()
	return newConn(raw), nil
}

func (p *Pool) release(c *conn) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	c.idleSince = time.Now()
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

func (p *Pool) discard(c *conn) {
	_ = c.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}
