// Package listener runs HTTP servers with timeouts and size limits that protect them against slow or large requests.
package listener

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/holdings"
)

// Limits against slow and large requests.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	// drainTimeout limits how long net/http may go on to read a body whose handler has returned, so that the connection can be reused.
	drainTimeout = time.Second
	// streamBuffer and connectionBuffer limit what the callers of one HTTP/2 stream and connection may send before a handler reads it, in bytes.
	streamBuffer     = 64 << 10
	connectionBuffer = 256 << 10
)

// Config configures a Listener.
type Config struct {
	// Address is host:port.
	Address string
	Handler http.Handler
	// TLS is the TLS configuration; nil means that connections are not encrypted.
	TLS *tls.Config
	// Socket accepts the connections; nil means that the listener listens on Address.
	Socket net.Listener
	// IdleTimeout limits how long a connection may stay idle; 0 means two minutes.
	IdleTimeout time.Duration
	// WriteTimeout limits the time of one write, in case the caller does not read; 0 means half a minute.
	WriteTimeout time.Duration
	// Limits returns the limits in force now; nil means that the listener's own apply.
	Limits func() Limits
	// Holdings bounds the connections, and the heads of requests; nil bounds nothing.
	Holdings *holdings.Account
	// OnHeadRefused is called when the header of a request is refused before it has arrived completely; may be nil.
	OnHeadRefused func(peer string, status, bytes int)
	// OnError is called for errors outside of requests, such as a connection that cannot be accepted; may be nil.
	OnError func(message string)
	// OnPanic is called when the handler of a request panicked; may be nil.
	OnPanic func(reason string)
}

// Listener is a running HTTP server.
type Listener struct {
	server *http.Server
	socket net.Listener
	// done is closed when the server has stopped.
	done chan struct{}
	// keepAlivesDisabled is never reset.
	keepAlivesDisabled atomic.Bool
	incomplete         *incompleteResponses
	// running counts the requests in handlers, and unused the connections on which nothing has arrived yet.
	running, unused atomic.Int64
}

// Start listens and serves until Drain.
func Start(ctx context.Context, config Config) (*Listener, error) {
	socket := config.Socket
	if socket == nil {
		var listen net.ListenConfig
		var err error
		if socket, err = listen.Listen(ctx, "tcp", config.Address); err != nil {
			return nil, oops.Wrapf(err, "listen on %s", config.Address)
		}
	}
	if err := setReceiveBuffer(socket, receiveBuffer(config.Holdings)); err != nil {
		return nil, oops.Wrapf(err, "set the receive buffer of %s", config.Address)
	}
	if config.IdleTimeout == 0 {
		config.IdleTimeout = idleTimeout
	}
	if config.WriteTimeout == 0 {
		config.WriteTimeout = writeTimeout
	}
	incomplete := &incompleteResponses{conns: make(map[*deadlineConn]struct{})}
	l := &Listener{
		server: &http.Server{
			TLSConfig:         config.TLS,
			ErrorLog:          log.New(errorWriter(config.OnError), "", 0),
			ConnState:         trackState,
			ConnContext:       withConn,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       config.IdleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			HTTP2: &http.HTTP2Config{
				MaxReceiveBufferPerConnection: connectionBuffer, MaxReceiveBufferPerStream: streamBuffer,
			},
		},
		done:       make(chan struct{}),
		incomplete: incomplete,
	}
	l.socket = deadlineListener{Listener: socket, config: config, incomplete: incomplete, unused: &l.unused}
	handler := holdRequest(config.Holdings, recoverPanics(config.Handler, config.OnPanic))
	l.server.Handler = incomplete.track(l.closeAfterResponse(handler))
	go l.serve()
	return l, nil
}

// errorWriter is an io.Writer that calls the function with each message; nil discards them.
type errorWriter func(message string)

// Write implements io.Writer.
func (w errorWriter) Write(message []byte) (int, error) {
	if w != nil {
		w(string(bytes.TrimSpace(message)))
	}
	return len(message), nil
}

// closeAfterResponse adds the header Connection: close to responses after DisableKeepAlives was called.
func (l *Listener) closeAfterResponse(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.running.Add(1)
		defer l.running.Add(-1)
		if l.keepAlivesDisabled.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (l *Listener) serve() {
	defer close(l.done)
	serve := func() error { return l.server.Serve(l.socket) }
	if l.server.TLSConfig != nil {
		serve = func() error { return l.server.ServeTLS(l.socket, "", "") }
	}
	if err := serve(); !errors.Is(err, http.ErrServerClosed) {
		_ = l.socket.Close()
	}
}

// Address returns the address on which the server listens.
func (l *Listener) Address() string { return l.socket.Addr().String() }

// Done returns a channel that is closed when the server has stopped.
func (l *Listener) Done() <-chan struct{} { return l.done }

// DisableKeepAlives closes each connection after its next response. New connections are still accepted, and idle ones stay
// open.
func (l *Listener) DisableKeepAlives() { l.keepAlivesDisabled.Store(true) }

// drainInterval is the time between two checks whether a request is in flight.
const drainInterval = 5 * time.Millisecond

// Drain stops accepting connections and waits for the requests in flight; when ctx is done, it closes all connections. Requests that come meanwhile on open
// connections go to the handler.
func (l *Listener) Drain(ctx context.Context) {
	_ = l.socket.Close()
	// net/http closes connections on which a request arrives during Shutdown without a response, and those that are unused for headerTimeout at once.
	unusedUntil := time.Now().Add(headerTimeout)
	for ctx.Err() == nil && (l.running.Load() > 0 || l.unused.Load() > 0 && time.Now().Before(unusedUntil)) {
		clock.Sleep(ctx, drainInterval, nil)
	}
	if err := l.server.Shutdown(ctx); err != nil {
		l.incomplete.closeAll()
		_ = l.server.Close()
	}
	<-l.done
}
