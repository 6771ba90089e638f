// Package listener runs HTTP servers with the limits of the system.
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
)

// Limits against slow and large callers.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	maxHeader     = 64 << 10
)

// Config says what is served where.
type Config struct {
	// Address is host:port.
	Address string
	Handler http.Handler
	// TLS encrypts the connections; nil means that they are plain.
	TLS *tls.Config
	// Socket accepts the connections; nil means that Address is listened on.
	Socket net.Listener
	// IdleTimeout is how long a connection may stay unused; 0 means two minutes.
	IdleTimeout time.Duration
	// WriteTimeout bounds how long a caller may leave one write untaken; 0 means half a minute.
	WriteTimeout time.Duration
	// Limits returns the limits that are in force now; nil means that the listener's own hold. They do not apply under TLS.
	Limits func() Limits
	// OnError is told of what goes wrong outside of requests, such as a connection that cannot be accepted; nil means that
	// nobody is.
	OnError func(message string)
	// OnPanic is told of a request that panicked; nil means that nobody is.
	OnPanic func(reason string)
}

// Listener is a running HTTP server.
type Listener struct {
	server *http.Server
	socket net.Listener
	// done is closed when the server has ended.
	done chan struct{}
	// leaving is never cleared.
	leaving atomic.Bool
}

// Start listens and serves until Close.
func Start(ctx context.Context, config Config) (*Listener, error) {
	socket := config.Socket
	if socket == nil {
		var listen net.ListenConfig
		var err error
		if socket, err = listen.Listen(ctx, "tcp", config.Address); err != nil {
			return nil, oops.Wrapf(err, "listen on %s", config.Address)
		}
	}
	if config.IdleTimeout == 0 {
		config.IdleTimeout = idleTimeout
	}
	if config.WriteTimeout == 0 {
		config.WriteTimeout = writeTimeout
	}
	l := &Listener{
		server: &http.Server{
			TLSConfig:         config.TLS,
			ErrorLog:          log.New(errorWriter(config.OnError), "", 0),
			ConnState:         follow,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       config.IdleTimeout,
			MaxHeaderBytes:    maxHeader,
		},
		socket: bounded{Listener: socket, timeout: config.WriteTimeout, limits: config.Limits},
		done:   make(chan struct{}),
	}
	l.server.Handler = l.closing(contain(config.Handler, config.OnPanic))
	go l.serve()
	return l, nil
}

// errorWriter passes each message on to a function; nil drops them.
type errorWriter func(message string)

// Write implements io.Writer.
func (w errorWriter) Write(message []byte) (int, error) {
	if w != nil {
		w(string(bytes.TrimSpace(message)))
	}
	return len(message), nil
}

// closing tells callers after Leave not to use their connection again.
func (l *Listener) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l.leaving.Load() {
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

// Address returns the address that the server listens on.
func (l *Listener) Address() string { return l.socket.Addr().String() }

// Done returns a channel that is closed when the server has ended.
func (l *Listener) Done() <-chan struct{} { return l.done }

// DisableKeepAlives makes each connection end with its next answer; new ones are still taken, and idle ones stay open.
func (l *Listener) DisableKeepAlives() { l.leaving.Store(true) }

// Drain takes no new connections and waits for the running requests until ctx is done.
func (l *Listener) Drain(ctx context.Context) {
	if err := l.server.Shutdown(ctx); err != nil {
		_ = l.server.Close()
	}
	<-l.done
}
