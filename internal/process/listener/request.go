package listener

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"vanillapond/internal/process/holdings"
)

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
		if conn != nil {
			ctx, cancel := context.WithCancel(r.Context())
			defer cancel()
			conn.cancelRequest.Store(&cancel)
			defer conn.cancelRequest.Store(nil)
			r = r.WithContext(ctx)
		}
		if conn != nil && conn.encrypted {
			conn.holding.Shrink(conn.baseBytes() + headMemory(r))
		}
		if conn != nil && r.ContentLength != 0 {
			conn.receiveBody(r)
		}
		defer func() {
			if conn != nil && phase(conn.phase.Load()) != hijacked {
				conn.handlerEnded()
			}
		}()
		next.ServeHTTP(w, r)
	})
}

// handlerEnded limits how long net/http reads the rest of the body, and frees what the request held if its connection had to go.
func (c *deadlineConn) handlerEnded() {
	_ = c.Conn.SetReadDeadline(time.Now().Add(drainTimeout))
	if c.holding.IsDismissed() {
		c.holding.Close()
	}
}

// receiveBody lets the connection go for others until the body has been read. Its buffer is larger meanwhile, if the body is large and there is room for that.
func (c *deadlineConn) receiveBody(r *http.Request) {
	more := holdings.Bytes(unreadFactor * (bodyBuffer - c.receiveBuffer))
	sized, ok := c.Conn.(interface{ SetReadBuffer(bytes int) error })
	isLarge := r.ContentLength < 0 || r.ContentLength > int64(c.receiveBuffer)
	enlarged := ok && isLarge && c.holding.TryGrow(more) && sized.SetReadBuffer(bodyBuffer) == nil
	_ = c.holding.Unsettle()
	r.Body = &receivedBody{ReadCloser: r.Body, onEnd: func(err error) {
		if enlarged {
			// An error means that the connection is closed already.
			_ = sized.SetReadBuffer(c.receiveBuffer)
			c.holding.Release(more)
		}
		if errors.Is(err, io.EOF) {
			c.keepHeld()
		}
	}}
}

// receivedBody calls a function once the body ends.
type receivedBody struct {
	io.ReadCloser
	// onEnd is nil once it was called.
	onEnd func(err error)
}

// Read implements io.Reader.
func (b *receivedBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if err != nil && b.onEnd != nil {
		b.onEnd(err)
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
