// Package socket opens and accepts TCP connections that fail within seconds if their peer stops responding.
package socket

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timeouts after which a connection to an unresponsive peer fails.
const (
	// UnackedTimeout bounds how long sent bytes may stay unacknowledged: several round trips within a region.
	UnackedTimeout = 1500 * time.Millisecond
	// probeInterval and probeCount close an idle connection whose peer does not answer keep-alive probes.
	probeInterval = time.Second
	probeCount    = 2
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount}

// Dial opens a connection that fails if the peer stops responding.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return dialer.DialContext(ctx, network, address)
}

// DialReset is like Dial, but closing the connection resets it. The kernel then discards the bytes that it has not sent yet, which it would otherwise
// go on sending for as long as the link is down.
func DialReset(ctx context.Context, network, address string) (net.Conn, error) {
	return dialReset(ctx, network, address, UnackedTimeout)
}

func dialReset(ctx context.Context, network, address string, unackedTimeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: keepAlive, Control: func(_, _ string, raw syscall.RawConn) error {
		return setOptions(raw, func(descriptor int) error {
			if err := unix.SetsockoptLinger(descriptor, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1, Linger: 0}); err != nil {
				return err
			}
			return setUnackedTimeout(descriptor, unackedTimeout)
		})
	}}
	return dialer.DialContext(ctx, network, address)
}

// Listen opens a listener whose connections fail if the peer stops responding.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return config.Listen(ctx, "tcp", address)
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return setOptions(raw, func(descriptor int) error { return setUnackedTimeout(descriptor, UnackedTimeout) })
}

func setUnackedTimeout(descriptor int, timeout time.Duration) error {
	return unix.SetsockoptInt(descriptor, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
}

// setOptions calls set with the descriptor of a socket.
func setOptions(raw syscall.RawConn, set func(descriptor int) error) error {
	var optionErr error
	if err := raw.Control(func(descriptor uintptr) { optionErr = set(int(descriptor)) }); err != nil {
		return err
	}
	return optionErr
}

// IsIdle reports whether a connection is open and has no bytes to read. It is meant for connections on which no response is due.
func IsIdle(connection net.Conn) bool {
	syscallConn, ok := connection.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	if err := raw.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		_, _, recvErr := unix.Recvfrom(int(descriptor), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = recvErr == unix.EAGAIN
		return true
	}); err != nil {
		return false
	}
	return idle
}
