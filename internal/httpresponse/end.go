package httpresponse

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// acknowledgeTimeout bounds how long the peer may take to acknowledge the last bytes of a request once it has ended its response: several round trips
	// within a region, or a retransmission.
	acknowledgeTimeout = 500 * time.Millisecond
	// acknowledgeInterval is the time between two checks.
	acknowledgeInterval = time.Millisecond
)

// EndedInOrder reports, once an end of file was read from a connection, whether the peer ended it in order and has all that was written to it. Otherwise the
// end proves nothing about a response without a length.
//
// The end of file alone does not show this: a reset is reported once per socket, and if a write gets the error, reads get an end of file. A write that
// succeeded may also have left its bytes in the socket. Connections that are no sockets count as ended in order.
func EndedInOrder(conn net.Conn) bool {
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
	for deadline := time.Now().Add(acknowledgeTimeout); ; time.Sleep(acknowledgeInterval) {
		reset, unacknowledged, err := inspect(raw)
		switch {
		case err != nil || reset:
			return false
		case unacknowledged == 0:
			return true
		case time.Now().After(deadline):
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
