package listener

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/samber/oops"
	"golang.org/x/sys/unix"

	"vanillapond/internal/process/holdings"
)

const (
	// headTolerance is how much more than a header's limit is read: the request line, and what arrives together with the end of the header.
	headTolerance = 8 << 10
	// minReceiveBuffer and maxReceiveBuffer bound the size of a connection's buffer for bytes that are not read yet, also before it is accepted, and
	// bodyBuffer is that of one that carries a larger body.
	minReceiveBuffer = 4 << 10
	maxReceiveBuffer = 16 << 10
	bodyBuffer       = 64 << 10
	// maxUnaccepted is how many connections Linux queues for a listener at most, by default.
	maxUnaccepted = 4096
	// unreadFactor is how much of the kernel's memory a buffer may use in relation to its size.
	unreadFactor = 2
	// tlsBytes is the memory of the state of a TLS connection.
	tlsBytes holdings.Bytes = 32 << 10
	// tlsHeadFactor is the memory per encrypted byte of a header, whose lines can't be counted: enough for fields of a few bytes each.
	tlsHeadFactor = 16
	// refusalTimeout limits how long a refused caller has to read the refusal.
	refusalTimeout = 500 * time.Millisecond
)

// errHeadRefused ends a connection whose header was refused.
var errHeadRefused = oops.Errorf("listener: header was refused")

// held is what a connection holds.
type held struct {
	account *holdings.Account
	holding *holdings.Holding
	// receiveBuffer is the size of the buffer while no larger body arrives, in bytes.
	receiveBuffer int
	// cancelRequest ends the context of the request that runs, nil if none does.
	cancelRequest atomic.Pointer[context.CancelFunc]
	// headBytes is how many bytes have been read of the header that arrives now.
	headBytes atomic.Int64
}

// receiveBuffer returns the size of a connection's buffer: those of the connections that are not accepted yet take together no more than what callers may hold.
func receiveBuffer(account *holdings.Account) int {
	if account == nil {
		return maxReceiveBuffer
	}
	return min(max(int(account.Limits().Bytes/maxUnaccepted), minReceiveBuffer), maxReceiveBuffer)
}

// setReceiveBuffer sets the size of the buffer of the connections that a socket accepts.
func setReceiveBuffer(socket net.Listener, bytes int) error {
	connections, ok := socket.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := connections.SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	if err := raw.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
	}); err != nil {
		return err
	}
	return optionErr
}

// hold opens the connection's holding; it returns false if there is no room.
func (c *deadlineConn) hold(account *holdings.Account) bool {
	c.receiveBuffer = receiveBuffer(account)
	if account == nil {
		return true
	}
	var err error
	c.account = account
	c.holding, err = account.Open(holdings.Connection, c.RemoteAddr().String(), c.baseBytes(), c.leave)
	return err == nil
}

// leave ends the connection and the request that it carries. net/http would not notice the end while bytes behind the request are unread.
func (c *deadlineConn) leave() {
	_ = c.Conn.Close()
	if cancel := c.cancelRequest.Load(); cancel != nil {
		(*cancel)()
	}
}

// baseBytes is what the connection holds without a request.
func (c *deadlineConn) baseBytes() holdings.Bytes {
	if c.encrypted {
		return holdings.ConnectionBytes + tlsBytes
	}
	return holdings.ConnectionBytes
}

// keepHeld keeps the connection from having to go while it carries a request.
func (c *deadlineConn) keepHeld() {
	// If it had to go just now, it is closed, which ends the context of the request.
	_ = c.holding.Settle()
}

// SetDismissible sets whether the connection of a request may have to go for others although it carries the request, as long as its handler does not know who
// the caller is. The error is holdings.ErrDismissed if it had to go before.
func SetDismissible(ctx context.Context, dismissible bool) error {
	conn := plainConn(ctx.Value(connKey{}))
	switch {
	case conn == nil:
		return nil
	case dismissible:
		return conn.holding.Unsettle()
	default:
		return conn.holding.Settle()
	}
}

// releaseHead releases the header of the request that has ended.
func (c *deadlineConn) releaseHead() {
	c.headBytes.Store(0)
	c.holding.Shrink(c.baseBytes())
	_ = c.holding.Unsettle()
}

// count counts the n bytes that were read into a buffer. The error ends the connection.
func (c *deadlineConn) count(buffer []byte, n int) error {
	switch phase(c.phase.Load()) {
	case awaitingHeader, idle:
		return c.countHead(buffer[:n])
	case handlingRequest:
		c.holding.Move(holdings.Bytes(n))
		// net/http reads into a buffer of one byte while a handler runs that has the whole request: the rest of what the caller sends stays unread.
		if len(buffer) == 1 && !c.encrypted {
			return c.holdUnread()
		}
	case hijacked:
	}
	return nil
}

func (c *deadlineConn) countHead(read []byte) error {
	before := c.headBytes.Load()
	c.headBytes.Store(before + int64(len(read)))
	c.holding.Move(holdings.Bytes(len(read)))
	if before > maxHeaderBytes+headTolerance {
		// The frames of an idle HTTP/2 connection, which net/http does not keep.
		return nil
	}
	memory := holdings.Bytes(len(read)) * tlsHeadFactor
	if !c.encrypted {
		memory = holdings.Bytes(len(read)) + holdings.LineBytes*holdings.Bytes(bytes.Count(read, []byte{'\n'}))
	}
	err := c.holding.Grow(memory)
	switch {
	case errors.Is(err, holdings.ErrDismissed):
		return err
	case err != nil:
		return c.refuseHead(http.StatusServiceUnavailable, err.Error(), c.account.RetryAfter())
	case !c.encrypted && c.headBytes.Load() > c.maxHead():
		return c.refuseHead(http.StatusRequestHeaderFieldsTooLarge, "head is larger than allowed", 0)
	default:
		return nil
	}
}

// maxHead returns the greatest number of bytes that are read of a header.
func (c *deadlineConn) maxHead() int64 {
	limit := maxHeaderBytes
	if c.limits != nil {
		if configured := c.limits().HeaderBytes; configured > 0 {
			limit = min(limit, configured)
		}
	}
	return int64(limit + headTolerance)
}

// holdUnread counts the bytes behind a request that runs. The connection may have to go then, although it carries a request.
func (c *deadlineConn) holdUnread() error {
	_ = c.holding.Unsettle()
	if c.holding.Grow(holdings.Bytes(unreadFactor*c.receiveBuffer)) != nil {
		return errHeadRefused
	}
	return nil
}

// refuseHead responds instead of net/http, which has not got the whole header, and discards what the caller goes on to send.
func (c *deadlineConn) refuseHead(status int, reason string, retryAfter time.Duration) error {
	failure := &net.OpError{Op: "read", Net: "tcp", Err: errHeadRefused}
	if c.onHeadRefused != nil {
		c.onHeadRefused(c.RemoteAddr().String(), status, int(c.headBytes.Load()))
	}
	if c.encrypted {
		return failure
	}
	fields := "Content-Type: text/plain; charset=utf-8\r\nConnection: close\r\n"
	if retryAfter > 0 {
		fields += "Retry-After: " + formatSeconds(retryAfter) + "\r\n"
	}
	end := time.Now().Add(refusalTimeout)
	_ = c.SetDeadline(end)
	if _, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s\n", status, http.StatusText(status), fields, len(reason)+1, reason); err != nil {
		return failure
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		_, _ = io.Copy(io.Discard, c.Conn)
	}
	return failure
}
