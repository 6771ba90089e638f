// Package direct sends requests to a server over HTTP/1.1 and reports for each failed request whether it may have run.
//
// A connection carries one request at a time. It is reused only if its last request was sent and its response read completely.
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

// Error is the failure of an attempt that got no response.
type Error struct {
	// Outcome is NotRun or Unknown.
	Outcome outcome.Outcome
	// ConnectionFailed means that the server, the network or the connection limit caused the failure, not the end of the request's
	// context.
	ConnectionFailed bool
	// Unreachable means that no connection could be established.
	Unreachable bool
	// OpenedAt is when the connection was opened on which the request was sent; zero if it was not sent.
	OpenedAt time.Time
	Cause    error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("direct: %s: %v", e.Outcome, e.Cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Causes of an Error.
var (
	// ErrNoConnection is returned if the connections in use have reached the configured maximum.
	ErrNoConnection = errors.New("all connections to the server are in use")
	// ErrNotConfirmed is returned if Request.Confirm returned false.
	ErrNotConfirmed = errors.New("request was withdrawn before it was sent")
)

// Request is one request to a server.
type Request struct {
	Method string
	// Target is the path with its query, unchanged from the caller's request.
	Target string
	Host   string
	Header http.Header
	// Body holds the blocks of the body in order; they are not modified.
	Body [][]byte
	// ID is the request id, which the server returns in the response header IDHeader.
	ID       string
	IDHeader string
	// RefusalHeaders are headers that mark a response which may lack the ID, because the server did not run the request.
	RefusalHeaders []string
	// Confirm is called when a connection is available, which may take a while, and before anything is sent; the request is given up
	// if it returns false. nil means that the request is always sent.
	Confirm func() bool
	// Reserve is called before more memory than usual is kept for the heads of the response, with all that it takes in bytes; its error ends the request. nil
	// is not called.
	Reserve func(bytes int) error
	// AtMostOnce means that the request must not run twice. It gets a new connection or one that was idle for at most
	// atMostOnceIdleTimeout.
	AtMostOnce bool
	// IdleSince is the earliest time at which a connection may have become idle to be reused. Those that became idle before are closed, because the
	// server is known to have broken or refused connections since. Zero means any time.
	IdleSince time.Time
}

// Config configures a pool.
type Config struct {
	// Address is the server's host:port.
	Address string
	// MaxConnections returns how many connections may be open at a time; nil means any number.
	MaxConnections func() int
	// DialTimeout bounds how long a new connection takes.
	DialTimeout time.Duration
	// Dial opens connections; nil means socket.Dial.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnDial is called for each new connection.
	OnDial func()
}

// Idle times of connections.
const (
	// defaultIdleTimeout is how long an idle connection is kept if the server states no timeout.
	defaultIdleTimeout = 4 * time.Second
	// atMostOnceIdleTimeout is how long a connection may have been idle to carry a request that must not run twice: servers may
	// drop idle connections without notice.
	atMostOnceIdleTimeout = 250 * time.Millisecond
	// idleTimeoutFraction is the fraction of the server's stated timeout during which an idle connection is reused.
	idleTimeoutFraction = 0.75
)

// Pool holds the connections to one server.
type Pool struct {
	config Config
	mu     sync.Mutex
	// idle holds the connections without a request, the most recently used last; guarded by mu.
	idle []*conn
	// open is the number of connections, busy and idle; guarded by mu.
	open int
	// closed is set by Close and never cleared; guarded by mu.
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

// Close closes the idle connections; those in use are closed after their requests.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		p.discard(c)
	}
}

// Trim closes connections that have been idle too long to be reused.
func (p *Pool) Trim(now time.Time) {
	p.mu.Lock()
	var expired []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.idleSince) > c.idleTimeout {
			expired = append(expired, c)
		} else {
			kept = append(kept, c)
		}
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range expired {
		p.discard(c)
	}
}

// takeIdle returns an idle connection that the server has neither closed nor sent bytes on, and that has not carried a request with the same id, or
// nil.
func (p *Pool) takeIdle(request *Request) *conn {
	now := time.Now()
	for {
		p.mu.Lock()
		if len(p.idle) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := p.idle[len(p.idle)-1]
		limit := c.idleTimeout
		if request.AtMostOnce {
			limit = min(limit, atMostOnceIdleTimeout)
		}
		age := now.Sub(c.idleSince)
		outdated := c.idleSince.Before(request.IdleSince)
		if request.AtMostOnce && !outdated && age > limit && age <= c.idleTimeout {
			p.mu.Unlock()
			return nil
		}
		p.idle = p.idle[:len(p.idle)-1]
		p.mu.Unlock()
		if !outdated && age <= limit && !c.hasCarried(request.ID) && socket.IsIdle(c.Conn) {
			c.reused = true
			return c
		}
		p.discard(c)
	}
}

// connect returns an idle or a new connection.
func (p *Pool) connect(ctx context.Context, request *Request) (*conn, error) {
	if c := p.takeIdle(request); c != nil {
		return c, nil
	}
	p.mu.Lock()
	if p.config.MaxConnections != nil && p.open >= p.config.MaxConnections() {
		if len(p.idle) == 0 {
			p.mu.Unlock()
			return nil, ErrNoConnection
		}
		// The remaining idle connections are too old for this request: replace the oldest one by a new connection.
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
