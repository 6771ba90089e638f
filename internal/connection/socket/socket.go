// Package socket opens and accepts TCP connections that find out when their peer has gone silent.
package socket

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Times after which a silent peer is given up.
const (
	// unackedTimeout bounds how long sent bytes stay unacknowledged: several round trips within a region.
	unackedTimeout = 1500 * time.Millisecond
	// probeInterval and probeCount end an idle connection whose peer does not answer.
	probeInterval = time.Second
	probeCount    = 2
)

var probes = net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount}

// Dial opens a connection that breaks when the peer falls silent.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: probes, Control: control}
	return dialer.DialContext(ctx, network, address)
}

// Listen opens a listener whose connections break when the peer falls silent.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: probes, Control: control}
	return config.Listen(ctx, "tcp", address)
}

func control(_, _ string, raw syscall.RawConn) error {
	var failed error
	if err := raw.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	}); err != nil {
		return err
	}
	return failed
}

// IsIdle reports whether a connection on which nothing is due is open and has nothing to read.
func IsIdle(connection net.Conn) bool {
	withRaw, ok := connection.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := withRaw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	if err := raw.Read(func(descriptor uintptr) bool {
		var peeked [1]byte
		_, _, failed := unix.Recvfrom(int(descriptor), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = failed == unix.EAGAIN
		return true
	}); err != nil {
		return false
	}
	return quiet
}
