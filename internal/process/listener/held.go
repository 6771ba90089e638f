package listener

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
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
	// receiveBuffer is the size of a connection's buffer for bytes that are not read yet, also before it is accepted, and bodyBuffer that of one that
	// carries a larger body.
	receiveBuffer = 16 << 10
	bodyBuffer    = 64 << 10
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
	// headBytes is how many bytes have been read of the header that arrives now.
	headBytes atomic.Int64
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
	if account == nil {
		return true
	}
	var err error
	c.account = account
	c.holding, err = account.Open(holdings.Connection, c.RemoteAddr().String(), c.baseBytes(), func() { _ = c.Conn.Close() })
	return err == nil
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
// the caller is. The error is holdings.ErrNoRoom if it had to go before.
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

// count counts bytes that were read. The error ends the connection.
func (c *deadlineConn) count(read []byte) error {
	switch phase(c.phase.Load()) {
	case awaitingHeader, idle:
		return c.countHead(read)
	case handlingRequest:
		// net/http reads a single byte while a handler runs that has the whole request: the rest of what the caller sends stays in the buffer.
		if len(read) == 1 && !c.encrypted {
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
	switch {
	case c.holding.Grow(memory) != nil:
		return c.refuseHead(http.StatusServiceUnavailable, holdings.ErrNoRoom.Error(), c.account.RetryAfter())
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
	if c.holding.Grow(unreadFactor*receiveBuffer) != nil {
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
		fields += "Retry-After: " + strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64) + "\r\n"
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

// holdRequest wraps a handler whose requests hold their headers while it runs, and whose callers can't keep a connection by an unfinished body.
func holdRequest(account *holdings.Account, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := plainConn(r.Context().Value(connKey{}))
		if r.ProtoMajor > 1 {
			if conn != nil {
				conn.holding.Shrink(conn.baseBytes())
			}
			holding, err := account.Open(holdings.Stream, r.RemoteAddr, headMemory(r), func() {})
			if err != nil {
				refuseStream(w, account.RetryAfter())
				return
			}
			_ = holding.Settle()
			defer holding.Close()
			next.ServeHTTP(w, r)
			return
		}
		if conn != nil && conn.encrypted {
			conn.holding.Shrink(conn.baseBytes() + headMemory(r))
		}
		if conn != nil && (r.ContentLength < 0 || r.ContentLength > receiveBuffer) {
			conn.receiveBody(r)
		}
		defer func() {
			if conn != nil && phase(conn.phase.Load()) != hijacked {
				_ = conn.Conn.SetReadDeadline(time.Now().Add(drainTimeout))
			}
		}()
		next.ServeHTTP(w, r)
	})
}

// receiveBody enlarges the connection's buffer until the body has been read, if there is room for that.
func (c *deadlineConn) receiveBody(r *http.Request) {
	const more = unreadFactor * (bodyBuffer - receiveBuffer)
	sized, ok := c.Conn.(interface{ SetReadBuffer(bytes int) error })
	if !ok || !c.holding.TryGrow(more) || sized.SetReadBuffer(bodyBuffer) != nil {
		return
	}
	r.Body = &receivedBody{ReadCloser: r.Body, onEnd: func() {
		// An error means that the connection is closed already.
		_ = sized.SetReadBuffer(receiveBuffer)
		c.holding.Release(more)
	}}
}

// receivedBody calls a function once the body ends.
type receivedBody struct {
	io.ReadCloser
	// onEnd is nil once it was called.
	onEnd func()
}

// Read implements io.Reader.
func (b *receivedBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if err != nil && b.onEnd != nil {
		b.onEnd()
		b.onEnd = nil
	}
	return n, err
}

// headMemory returns the memory of a request's header.
func headMemory(r *http.Request) holdings.Bytes {
	memory := holdings.Bytes(len(r.RequestURI) + len(r.Host))
	for name, values := range r.Header {
		for _, value := range values {
			memory += holdings.Bytes(len(name)+len(value)) + holdings.LineBytes
		}
	}
	return memory
}

// refuseStream responds to a request for whose header there is no room.
func refuseStream(w http.ResponseWriter, retryAfter time.Duration) {
	w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	http.Error(w, holdings.ErrNoRoom.Error(), http.StatusServiceUnavailable)
}
