package httpresponse

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
)

// Transport is a net/http transport that refuses broken responses: RoundTrip, or reading the body, fails with ErrBroken.
type Transport struct{ base *http.Transport }

// NewTransport returns a Transport that takes over base, which must not have been used.
func NewTransport(base *http.Transport) *Transport {
	if base.MaxResponseHeaderBytes == 0 {
		base.MaxResponseHeaderBytes = MaxHeadBytes
	}
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newCheckedConn(conn), nil
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
	written, interim := &requestWrite{done: make(chan struct{})}, &interimResponses{}
	trace := &httptrace.ClientTrace{GotConn: expectHead(request.Context()), Got1xxResponse: interim.check, WroteRequest: written.record}
	response, err := t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	if response.StatusCode != http.StatusSwitchingProtocols && response.Body != http.NoBody {
		checked := &checkedBody{ReadCloser: response.Body, trailer: &response.Trailer, ctx: request.Context()}
		if EndsWithConnection(response) {
			checked.written = written
		}
		response.Body = checked
	}
	return response, nil
}

// reserveKey is the context key of the function of WithReserve.
type reserveKey struct{}

// WithReserve returns a context for a request: before more memory than usual is kept for the heads of the response, reserve is called with all that it takes
// in bytes, and its error ends the request.
func WithReserve(ctx context.Context, reserve func(bytes int) error) context.Context {
	return context.WithValue(ctx, reserveKey{}, reserve)
}

// expectHead returns a function that prepares a connection for the response to a request. Connections with TLS carry other bytes; there, only what net/http
// has parsed is checked.
func expectHead(ctx context.Context) func(httptrace.GotConnInfo) {
	reserve, _ := ctx.Value(reserveKey{}).(func(bytes int) error)
	return func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*checkedConn); ok {
			conn.reader.Reserve = reserve
			conn.headExpected.Store(true)
		}
	}
}

// interimResponses are the interim responses to a request. net/http bounds each of them, but not their number once they are checked.
type interimResponses struct{ bytes atomic.Int64 }

// check returns ErrBroken for an interim response that is not valid, or whose head is too long together with those before it.
func (r *interimResponses) check(status int, header textproto.MIMEHeader) error {
	length := len("HTTP/1.1 100 Continue\r\n\r\n")
	for name, values := range header {
		for _, value := range values {
			length += len(name) + len(value)
		}
	}
	if r.bytes.Add(int64(length)) > MaxHeadBytes {
		return oops.Wrapf(ErrTooLong, "interim responses are longer than %d bytes", MaxHeadBytes)
	}
	return CheckHead(&http.Response{StatusCode: status, Header: http.Header(header)})
}

// EndsWithConnection reports whether the body of a response, if it has one, has neither a length nor chunks. net/http removes the length of a response that it
// has decompressed; the compressed form has an end of its own.
func EndsWithConnection(response *http.Response) bool {
	return response.ProtoMajor == 1 && !response.Uncompressed && response.ContentLength < 0 && len(response.TransferEncoding) == 0
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

// checkedBody is a body whose end is checked.
type checkedBody struct {
	io.ReadCloser
	// trailer holds the fields behind the body once that was read to its end.
	trailer *http.Header
	ctx     context.Context //nolint:containedctx // The body has the lifetime of the request.
	// written is set if the body ends with its connection: its end is certain only once the request was written completely.
	written *requestWrite
}

// Read implements io.Reader.
func (b *checkedBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if err != io.EOF {
		return n, err
	}
	if b.written != nil {
		if err := b.written.await(b.ctx); err != nil {
			return n, oops.Wrapf(ErrBroken, "connection ended before the request was sent completely: %v", err)
		}
	}
	if err := CheckFields(*b.trailer); err != nil {
		return n, err
	}
	return n, io.EOF
}
