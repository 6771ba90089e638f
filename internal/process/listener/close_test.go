package listener_test

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/certificate"
	"vanillapond/internal/process/listener"
)

// blockingListener accepts connections whose second write waits until they are closed, like one to a caller that has stopped reading.
type blockingListener struct {
	net.Listener
	// blocked is closed when a write waits.
	blocked chan struct{}
}

func (l blockingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil, net.ErrClosed
	}
	return &blockingConn{TCPConn: tcp, blocked: l.blocked, closed: make(chan struct{})}, nil
}

type blockingConn struct {
	*net.TCPConn
	// writes counts the writes; only used by the goroutine of the request.
	writes          int
	blocked, closed chan struct{}
	closeOnce       sync.Once
}

func (c *blockingConn) Write(data []byte) (int, error) {
	if c.writes++; c.writes == 2 {
		close(c.blocked)
		<-c.closed
		return 0, net.ErrClosed
	}
	return c.TCPConn.Write(data)
}

func (c *blockingConn) Close() error {
	err := c.TCPConn.Close()
	c.closeOnce.Do(func() { close(c.closed) })
	return err
}

// TestClosedBeforeLastBytes verifies that a response without chunks does not end in order if the listener is closed while the bytes
// that its handler wrote last wait for a caller that does not read.
func TestClosedBeforeLastBytes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const start = "id: 1\ndata: x\n\n"
	var listen net.ListenConfig
	socket, err := listen.Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	blocked := make(chan struct{})
	l, err := listener.Start(t.Context(), listener.Config{
		Socket: blockingListener{Listener: socket, blocked: blocked},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, start)
			_ = http.NewResponseController(w).Flush()
			_, _ = io.WriteString(w, "id: 2\ndata: x\n\n")
		}),
	})
	is.NoErr(err)
	conn, err := net.Dial("tcp", l.Address())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, err = io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n")
	is.NoErr(err)
	<-blocked
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	l.Drain(ended)
	_, err = io.ReadAll(conn)
	is.True(err != nil)
}

// TestEncryptedResponseClosed verifies that a response without chunks over TLS does not end in order if the listener is closed while
// it is written.
func TestEncryptedResponseClosed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	files := newFiles(t)
	serverConfig, err := certificate.NewServerConfig(files, "http/1.1")
	is.NoErr(err)
	client, err := certificate.NewReloader(files)
	is.NoErr(err)
	var l *listener.Listener
	l, err = listener.Start(t.Context(), listener.Config{
		Address: "127.0.0.1:0", TLS: serverConfig,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, "x")
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}),
	})
	is.NoErr(err)
	clientConfig := client.ClientConfig()
	clientConfig.NextProtos = []string{"http/1.1"}
	conn, err := tls.Dial("tcp", l.Address(), clientConfig)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, err = io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n")
	is.NoErr(err)
	_, err = conn.Read(make([]byte, 4096))
	is.NoErr(err)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	l.Drain(ended)
	_, err = io.ReadAll(conn)
	is.True(err != nil)
}
