package listener

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// writeTimeout bounds how long the other side may leave one write untaken.
const writeTimeout = 30 * time.Second

// contain keeps a panic within its request, whose connection is cut.
func contain(next http.Handler, onPanic func(reason string)) http.Handler {
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

// bounded is a socket whose connections give up on a write that is not taken, and keep to limits that may change.
type bounded struct {
	net.Listener
	timeout time.Duration
	limits  func() Limits
}

// Accept implements net.Listener.
func (b bounded) Accept() (net.Conn, error) {
	conn, err := b.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &boundedConn{Conn: conn, timeout: b.timeout, limits: b.limits}, nil
}

type boundedConn struct {
	net.Conn
	timeout time.Duration
	// limits is nil where the server's own limits hold.
	limits func() Limits
	// phase holds a phase.
	phase atomic.Int32
	// idleSince is since when the connection is unused, nil while it is used.
	idleSince atomic.Pointer[time.Time]
}

// Write implements net.Conn.
func (c *boundedConn) Write(part []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(part)
}
