package httpresponse

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/samber/oops"
)

// Transport is a net/http transport that refuses broken responses: RoundTrip, or reading the body, fails with ErrBroken.
type Transport struct{ base *http.Transport }

// NewTransport returns a Transport that takes over base, which must not have been used.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: conn}, nil
	}
	return &Transport{base: base}
}

// NewClient returns a client whose Transport takes over base; nil means a copy of http.DefaultTransport.
func NewClient(base *http.Transport) *http.Client {
	if base == nil {
		base = &http.Transport{}
		if standard, ok := http.DefaultTransport.(*http.Transport); ok {
			base = standard.Clone()
		}
	}
	return &http.Client{Transport: NewTransport(base)}
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	written := &requestWrite{done: make(chan struct{})}
	trace := &httptrace.ClientTrace{WroteRequest: written.record}
	response, err := t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	if endsWithConnection(response) {
		response.Body = &unframedBody{ReadCloser: response.Body, ctx: request.Context(), written: written}
	}
	return response, nil
}

// endsWithConnection reports whether the body of a response has neither a length nor chunks. That of a compressed response has an end of its own.
func endsWithConnection(response *http.Response) bool {
	return response.ProtoMajor == 1 && response.StatusCode != http.StatusSwitchingProtocols && response.Body != http.NoBody && !response.Uncompressed &&
		response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// checkedConn is a connection on which an end of file is an error unless the peer ended it in order.
type checkedConn struct{ net.Conn }

// NetConn returns the connection below.
func (c *checkedConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *checkedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if errors.Is(err, io.EOF) && !EndedInOrder(c.Conn) {
		return n, oops.Wrapf(ErrBroken, "connection was reset")
	}
	return n, err
}

// requestWrite is the writing of a request, which may be repeated on another connection.
type requestWrite struct {
	once sync.Once
	// done is closed when writing has ended once.
	done chan struct{}
	mu   sync.Mutex
	// err is the result of the last try; guarded by mu.
	err error
}

func (w *requestWrite) record(info httptrace.WroteRequestInfo) {
	w.mu.Lock()
	w.err = info.Err
	w.mu.Unlock()
	w.once.Do(func() { close(w.done) })
}

// await waits until writing has ended and returns its result.
func (w *requestWrite) await(ctx context.Context) error {
	// net/http closes the connection at the end of its response, which ends writing.
	timer := time.NewTimer(acknowledgeTimeout)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return oops.Errorf("request is still being written")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// unframedBody is a body that ends with its connection. Its end is certain only once the request was written completely.
type unframedBody struct {
	io.ReadCloser
	ctx     context.Context //nolint:containedctx // The body has the lifetime of the request.
	written *requestWrite
}

// Read implements io.Reader.
func (b *unframedBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if err != io.EOF {
		return n, err
	}
	if writeErr := b.written.await(b.ctx); writeErr != nil {
		return n, oops.Wrapf(ErrBroken, "connection ended before the request was sent completely: %v", writeErr)
	}
	return n, io.EOF
}
