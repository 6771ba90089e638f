package listener

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// writeTimeout limits the time of one write, in case the other side does not read.
const writeTimeout = 30 * time.Second

// recoverPanics limits a panic to its request: it reports the panic and has the connection aborted.
func recoverPanics(next http.Handler, onPanic func(reason string)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			reason := recover()
			if reason == nil {
				return
			}
			if err, ok := reason.(error); (!ok || !errors.Is(err, http.ErrAbortHandler)) && onPanic != nil {
				onPanic(fmt.Sprint(reason))
			}
			panic(http.ErrAbortHandler)
		}()
		next.ServeHTTP(w, r)
	})
}

// deadlineListener is a net.Listener whose connections have a write timeout and read timeouts that may change at run time, and are counted in an
// account.
type deadlineListener struct {
	net.Listener
	config Config
	// incomplete is shared by all connections.
	incomplete *incompleteResponses
	// unused counts the connections on which nothing has arrived yet.
	unused *atomic.Int64
}

// Accept implements net.Listener. It closes connections for which there is no room.
func (l deadlineListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		accepted := &deadlineConn{
			Conn: conn, timeout: l.config.WriteTimeout, limits: l.config.Limits, incomplete: l.incomplete, encrypted: l.config.TLS != nil,
			onHeadRefused: l.config.OnHeadRefused,
		}
		if accepted.hold(l.config.Holdings) {
			l.unused.Add(1)
			accepted.use = sync.OnceFunc(func() { l.unused.Add(-1) })
			return accepted, nil
		}
		_ = conn.Close()
	}
}

type deadlineConn struct {
	net.Conn
	timeout time.Duration
	// limits is nil if the server's own limits apply.
	limits func() Limits
	// encrypted means that the bytes of the connection are those of TLS.
	encrypted bool
	// onHeadRefused is Config.OnHeadRefused.
	onHeadRefused func(peer string, status, bytes int)
	// phase holds a value of type phase.
	phase atomic.Int32
	// idleSince is when the connection became idle; nil while it is in use.
	idleSince atomic.Pointer[time.Time]
	// use is called when something has arrived on the connection, and at its end; may be nil.
	use func()
	// writeFailed is set by the first failed write and never cleared.
	writeFailed atomic.Bool
	// incomplete is nil if responses are not tracked.
	incomplete *incompleteResponses
	held
	// handlerReturned means that the handler of the last request without chunks returned; net/http may still have bytes to write.
	handlerReturned atomic.Bool
}

func (c *deadlineConn) setLinger(seconds int) {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		// An error means that the connection is closed already.
		_ = tcp.SetLinger(seconds)
	}
}

// markUsed records that something has arrived on the connection, or that it ends.
func (c *deadlineConn) markUsed() {
	if c.use != nil {
		c.use()
	}
}

// Close implements net.Conn. Once the handler has returned, net/http calls it after it has written the whole response.
func (c *deadlineConn) Close() error {
	c.endResponse()
	c.holding.Close()
	c.markUsed()
	return c.Conn.Close()
}

// CloseWrite ends the sending side. net/http calls it when it has written the last response, and then keeps the connection open for a short time, so that the
// caller can read the response although it still sends.
func (c *deadlineConn) CloseWrite() error {
	c.holding.End()
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || c.writeFailed.Load() {
		return nil
	}
	return half.CloseWrite()
}

func (c *deadlineConn) endResponse() {
	if c.incomplete != nil {
		c.incomplete.end(c)
	}
}

// Write implements net.Conn.
func (c *deadlineConn) Write(data []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(data)
	if err != nil {
		c.writeFailed.Store(true)
		c.setLinger(lingerReset)
	}
	return n, err
}
