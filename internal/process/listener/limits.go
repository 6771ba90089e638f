package listener

import (
	"errors"
	"net"
	"net/http"
	"os"
	"time"
)

// Limits are limits for callers; 0 means the listener's own.
type Limits struct {
	// HeaderBytes limits the size of the header of a request. Headers that exceed it by no more than headTolerance are left to the handler.
	HeaderBytes int
	// HeaderTimeout limits the time to read the header of a request.
	HeaderTimeout time.Duration
	// IdleTimeout limits how long a connection may stay idle between two requests.
	IdleTimeout time.Duration
}

// phase is the phase of a connection, which determines what its next read deadline is for.
type phase int32

// Phases of a connection, in order. Once the first bytes of a request have arrived, handlers set deadlines of their own.
const (
	awaitingHeader phase = iota
	handlingRequest
	idle
	// hijacked means that the handler uses the connection for another protocol.
	hijacked
)

// trackState updates the phase of a connection and what it holds; it is the server's ConnState hook.
func trackState(conn net.Conn, state http.ConnState) {
	tracked := plainConn(conn)
	if tracked == nil {
		return
	}
	switch state {
	case http.StateActive:
		tracked.markUsed()
		tracked.phase.Store(int32(handlingRequest))
		tracked.keepHeld()
	case http.StateIdle:
		tracked.endResponse()
		tracked.phase.Store(int32(idle))
		tracked.releaseHead()
	case http.StateHijacked:
		tracked.phase.Store(int32(hijacked))
	default:
	}
}

// SetReadDeadline implements net.Conn; it replaces the server's fixed timeouts by the limits in force now.
func (c *deadlineConn) SetReadDeadline(deadline time.Time) error {
	c.idleSince.Store(nil)
	if c.limits == nil || deadline.IsZero() {
		return c.Conn.SetReadDeadline(deadline)
	}
	now, limit := time.Now(), time.Duration(0)
	switch phase(c.phase.Load()) {
	case awaitingHeader:
		limit = c.limits().HeaderTimeout
	case idle:
		limit = c.limits().IdleTimeout
		c.idleSince.Store(&now)
		c.phase.Store(int32(awaitingHeader))
	case handlingRequest, hijacked:
	}
	if limit > 0 {
		deadline = now.Add(limit)
	}
	return c.Conn.SetReadDeadline(deadline)
}

// Read implements net.Conn; an idle connection stays open if its idle timeout was raised in the meantime.
func (c *deadlineConn) Read(buffer []byte) (int, error) {
	for {
		n, err := c.Conn.Read(buffer)
		if n > 0 {
			if refused := c.count(buffer, n); refused != nil {
				return 0, refused
			}
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.extendIdle() {
			return n, err
		}
	}
}

// extendIdle sets the read deadline of an idle connection by the current idle timeout. It reports whether the new deadline is in
// the future.
func (c *deadlineConn) extendIdle() bool {
	since := c.idleSince.Load()
	if since == nil {
		return false
	}
	deadline := since.Add(c.limits().IdleTimeout)
	return time.Now().Before(deadline) && c.Conn.SetReadDeadline(deadline) == nil
}
