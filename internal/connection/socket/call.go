package socket

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// Call opens the connection of one call that must not reach its peer after it was given up. Closing the connection resets it.
type Call struct {
	// Gate is called immediately before each write; nothing is written if it returns an error.
	Gate func() error
	// UnackedTimeout bounds how long sent bytes may stay unacknowledged, also while this process is suspended; 0 means the constant of this name.
	UnackedTimeout time.Duration
	// written is set before the first write to the network and never cleared.
	written atomic.Bool
}

// Dial opens the connection.
func (c *Call) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	timeout := c.UnackedTimeout
	if timeout == 0 {
		timeout = UnackedTimeout
	}
	conn, err := dialReset(ctx, network, address, timeout)
	if err != nil {
		return nil, err
	}
	return &gatedConn{Conn: conn, call: c}, nil
}

// Written reports whether the peer may have got any part of the call.
func (c *Call) Written() bool { return c.written.Load() }

// gatedConn is a connection whose writes fail while the gate of its call returns an error.
type gatedConn struct {
	net.Conn
	call *Call
}

// NetConn returns the connection below.
func (c *gatedConn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *gatedConn) Write(data []byte) (int, error) {
	if err := c.call.Gate(); err != nil {
		return 0, err
	}
	c.call.written.Store(true)
	return c.Conn.Write(data)
}
