package httpresponse

import (
	"context"
	"math"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// acknowledgeTimeout bounds how long the peer may acknowledge no further byte of a request once it has ended its response. It is longer than the time after
	// which the kernel gives up connections to servers, so that only the peer's pace counts.
	acknowledgeTimeout = 2 * time.Second
	// acknowledgeInterval is the time between two checks.
	acknowledgeInterval = time.Millisecond
)

// EndedInOrder reports, once an end of file was read from a connection, whether the peer ended it in order and has all that was written to it. Otherwise the
// end proves nothing about a response without a length.
//
// The end of file alone does not show this: a reset is reported once per socket, and if a write gets the error, reads get an end of file. A write that
// succeeded may also have left its bytes in the socket. It waits while the peer takes more of them, until the context is done. Connections that are no sockets
// count as ended in order.
func EndedInOrder(ctx context.Context, conn net.Conn) bool {
	for {
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		conn = wrapper.NetConn()
	}
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	var stalledAt time.Time
	for least := math.MaxInt; ; time.Sleep(acknowledgeInterval) {
		reset, unacknowledged, err := inspect(raw)
		now := time.Now()
		switch {
		case err != nil || reset:
			return false
		case unacknowledged == 0:
			return true
		case unacknowledged < least:
			least, stalledAt = unacknowledged, now.Add(acknowledgeTimeout)
		case now.After(stalledAt) || ctx.Err() != nil:
			return false
		}
	}
}

// inspect reports whether a socket was reset, and how many of its bytes the peer has not acknowledged.
func inspect(raw syscall.RawConn) (reset bool, unacknowledged int, err error) {
	var inspectErr error
	if err := raw.Control(func(descriptor uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			inspectErr = err
			return
		}
		reset = info.State == unix.BPF_TCP_CLOSE
		unacknowledged, inspectErr = unix.IoctlGetInt(int(descriptor), unix.SIOCOUTQ)
	}); err != nil {
		return false, 0, err
	}
	return reset, unacknowledged, inspectErr
}
