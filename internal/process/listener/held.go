package listener

import (
	"net/http"
	"time"
)

// limitDrain wraps a handler whose callers can't keep a connection by an unfinished body once it has returned.
func limitDrain(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := plainConn(r.Context().Value(connKey{}))
		defer func() {
			if conn != nil && r.ProtoMajor == 1 && phase(conn.phase.Load()) != hijacked {
				_ = conn.Conn.SetReadDeadline(time.Now().Add(drainTimeout))
			}
		}()
		next.ServeHTTP(w, r)
	})
}
