package listener

import (
	"context"
	"net"
	"net/http"
)

// Values of net.TCPConn.SetLinger.
const (
	lingerReset   = 0
	lingerDefault = -1
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// plainConn returns the connection below TLS of a request, or nil if its context holds none.
func plainConn(ctx context.Context) *deadlineConn {
	conn := ctx.Value(connKey{})
	if encrypted, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = encrypted.NetConn()
	}
	plain, _ := conn.(*deadlineConn)
	return plain
}

// resetIncomplete makes each end of the connection a reset while a response without chunks is written: the regular end of the
// connection is the end of such a response, so a truncated one would look complete.
func resetIncomplete(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := plainConn(r.Context())
		if r.ProtoAtLeast(1, 1) || conn == nil {
			next.ServeHTTP(w, r)
			return
		}
		conn.setLinger(lingerReset)
		complete := false
		defer func() {
			if complete && !conn.writeFailed.Load() {
				conn.setLinger(lingerDefault)
				return
			}
			// Closing the TLS connection would send the alert that marks a regular end.
			_ = conn.Close()
		}()
		next.ServeHTTP(w, r)
		complete = true
	})
}
