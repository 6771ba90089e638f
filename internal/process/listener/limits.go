package listener

import (
	"errors"
	"net"
	"net/http"
	"os"
	"time"
)

// Limits bound a caller's time; 0 means the listener's own limit.
type Limits struct {
	// HeaderTimeout is how long the head of a request may take.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay unused between two requests.
	IdleTimeout time.Duration
}

// phase is what a connection's next read deadline is for.
type phase int32

// Phases, in the order of a connection's life; from a request's first bytes on, handlers set deadlines of their own.
const (
	awaitingHead phase = iota
	inRequest
	idle
)

// follow tells a connection what its next read deadline is for.
func follow(conn net.Conn, state http.ConnState) {
	bounded, ok := conn.(*boundedConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		bounded.phase.Store(int32(inRequest))
	case http.StateIdle:
		bounded.phase.Store(int32(idle))
	default:
	}
}

// SetReadDeadline implements net.Conn; it puts the limits that are in force now in the place of the server's fixed ones.
func (c *boundedConn) SetReadDeadline(deadline time.Time) error {
	c.idleSince.Store(nil)
	if c.limits == nil || deadline.IsZero() {
		return c.Conn.SetReadDeadline(deadline)
	}
	now, limit := time.Now(), time.Duration(0)
	switch phase(c.phase.Load()) {
	case awaitingHead:
		limit = c.limits().HeaderTimeout
	case idle:
		limit = c.limits().IdleTimeout
		c.idleSince.Store(&now)
		c.phase.Store(int32(awaitingHead))
	case inRequest:
	}
	if limit > 0 {
		deadline = now.Add(limit)
	}
	return c.Conn.SetReadDeadline(deadline)
}

// Read implements net.Conn; an unused connection is kept on where its limit has grown meanwhile.
func (c *boundedConn) Read(buffer []byte) (int, error) {
	for {
		n, err := c.Conn.Read(buffer)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.extend() {
			return n, err
		}
	}
}

// extend moves the deadline of an unused connection and reports whether it has time left.
func (c *boundedConn) extend() bool {
	since := c.idleSince.Load()
	if since == nil {
		return false
	}
	deadline := since.Add(c.limits().IdleTimeout)
	return time.Now().Before(deadline) && c.Conn.SetReadDeadline(deadline) == nil
}
