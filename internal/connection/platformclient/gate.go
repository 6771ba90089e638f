package platformclient

import (
	"context"
	"net"
	"sync/atomic"

	"vanillapond/internal/process/platform"
)

// gatedDialer dials connections that consult a gate immediately before each write.
type gatedDialer struct {
	gate platform.Gate
	// written is set before the first write to the network and never cleared.
	written atomic.Bool
}

func (d *gatedDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &gatedConn{Conn: conn, dialer: d}, nil
}

// gatedConn is a connection whose writes fail while the gate returns an error.
type gatedConn struct {
	net.Conn
	dialer *gatedDialer
}

// Write implements net.Conn.
func (c *gatedConn) Write(data []byte) (int, error) {
	if err := c.dialer.gate(); err != nil {
		return 0, err
	}
	c.dialer.written.Store(true)
	return c.Conn.Write(data)
}
