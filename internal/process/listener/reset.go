package listener

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// Values of net.TCPConn.SetLinger.
const (
	lingerReset   = 0
	lingerDefault = -1
)

// incompleteResponses makes each end of a connection a reset while a response without chunks is written: the regular end of the
// connection is the end of such a response, so a truncated one would look complete.
//
// A response is complete when net/http, which writes the last bytes after the handler has returned, closes the connection or makes
// it idle.
type incompleteResponses struct {
	mu sync.Mutex
	// conns holds the connections with an incomplete response; their ends are resets. Guarded by mu.
	conns map[*deadlineConn]struct{}
	// closed is set by closeAll and never cleared; guarded by mu.
	closed bool
}

// begin adds a connection at the start of a response; it closes the connection if closeAll was called.
func (r *incompleteResponses) begin(conn *deadlineConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	conn.handlerReturned.Store(false)
	conn.setLinger(lingerReset)
	if r.closed {
		_ = conn.Conn.Close()
		return
	}
	r.conns[conn] = struct{}{}
}

// end removes a connection, whose end is a regular one again if its response is complete.
func (r *incompleteResponses) end(conn *deadlineConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, found := r.conns[conn]; !found {
		return
	}
	delete(r.conns, conn)
	if conn.handlerReturned.Load() && !conn.writeFailed.Load() {
		conn.setLinger(lingerDefault)
	}
}

// closeAll resets the connections with an incomplete response, below TLS: closing a TLS connection sends the alert that marks a
// regular end.
func (r *incompleteResponses) closeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for conn := range r.conns {
		_ = conn.Conn.Close()
	}
	clear(r.conns)
}

// track wraps a handler whose responses are tracked.
func (r *incompleteResponses) track(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		conn := plainConn(request.Context().Value(connKey{}))
		if request.ProtoAtLeast(1, 1) || conn == nil {
			next.ServeHTTP(w, request)
			return
		}
		r.begin(conn)
		defer func() {
			if !conn.handlerReturned.Load() || conn.writeFailed.Load() {
				// Closing the TLS connection would send the alert that marks a regular end.
				_ = conn.Close()
			}
		}()
		next.ServeHTTP(w, request)
		conn.handlerReturned.Store(true)
	})
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// plainConn returns the connection below TLS, or nil if conn is none of the listener's connections.
func plainConn(conn any) *deadlineConn {
	if encrypted, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = encrypted.NetConn()
	}
	plain, _ := conn.(*deadlineConn)
	return plain
}
