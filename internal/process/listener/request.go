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
		switch {
		case conn == nil:
			next.ServeHTTP(w, r)
		case r.ProtoMajor > 1:
			conn.holding.Shrink(conn.baseBytes())
			serveStream(account, next, w, r)
		default:
			conn.serve(next, w, r)
		}
	})
}

// serveStream serves a request that shares its connection with others.
func serveStream(account *holdings.Account, next http.Handler, w http.ResponseWriter, r *http.Request) {
	holding, err := account.Open(holdings.Stream, r.RemoteAddr, headMemory(r), func() {})
	if err != nil {
		w.Header().Set("Retry-After", formatSeconds(account.RetryAfter()))
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_ = holding.Settle()
	defer holding.Close()
	next.ServeHTTP(w, r)
}

// serve serves a request that has the connection for itself.
func (c *deadlineConn) serve(next http.Handler, w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	c.cancelRequest.Store(&cancel)
	defer c.cancelRequest.Store(nil)
	r = r.WithContext(ctx)
	if c.encrypted {
		c.holding.Shrink(c.baseBytes() + headMemory(r))
	}
	if r.ContentLength != 0 {
		c.receiveBody(r)
	}
	defer func() {
		if phase(c.phase.Load()) != hijacked {
			c.handlerEnded()
		}
	}()
	next.ServeHTTP(w, r)
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

// formatSeconds returns the value of Retry-After.
func formatSeconds(after time.Duration) string {
	return strconv.FormatFloat(after.Seconds(), 'f', 2, 64)
}
