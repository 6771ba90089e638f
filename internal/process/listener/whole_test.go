package listener_test

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/certificate"
	"vanillapond/internal/process/listener"
)

// TestWholeResponseWithoutChunks verifies that the protection against truncated responses neither resets the connection of a whole
// response nor costs it its length or its connection.
func TestWholeResponseWithoutChunks(t *testing.T) {
	t.Parallel()
	files := newFiles(t)
	serverConfig, err := certificate.NewServerConfig(files, "http/1.1")
	if err != nil {
		t.Fatal(err)
	}
	client, err := certificate.NewReloader(files)
	if err != nil {
		t.Fatal(err)
	}
	clientConfig := client.ClientConfig()
	clientConfig.NextProtos = []string{"http/1.1"}
	const keepAlive = "Connection: keep-alive\r\n"
	long := string(make([]byte, 64<<10))
	for _, c := range []struct {
		name, method, header, body string
		status                     int
		// length is the expected Content-Length; -1 means that the response ends with its connection.
		length int64
	}{
		{name: "short", method: http.MethodGet, body: "hello", status: http.StatusOK, length: 5},
		{name: "long", method: http.MethodGet, body: long, status: http.StatusOK, length: -1},
		{name: "kept", method: http.MethodGet, header: keepAlive, body: "hello", status: http.StatusOK, length: 5},
		{name: "head", method: http.MethodHead, header: keepAlive, body: "hello", status: http.StatusOK, length: 5},
		{name: "no content", method: http.MethodGet, header: keepAlive, status: http.StatusNoContent},
		{name: "not modified", method: http.MethodGet, header: keepAlive, status: http.StatusNotModified},
	} {
		for _, encrypted := range []bool{false, true} {
			name := c.name
			config := listener.Config{Address: "127.0.0.1:0", Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = io.WriteString(w, c.body)
			})}
			if encrypted {
				// net/http changes the configuration.
				config.TLS, name = serverConfig.Clone(), c.name+" over TLS"
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				l, err := listener.Start(t.Context(), config)
				is.NoErr(err)
				conn, err := net.Dial("tcp", l.Address())
				is.NoErr(err)
				defer func() { _ = conn.Close() }()
				_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
				if encrypted {
					tlsConfig := clientConfig.Clone()
					tlsConfig.ServerName = "127.0.0.1"
					conn = tls.Client(conn, tlsConfig)
				}
				requests := 1
				if c.header == keepAlive {
					requests = 2
				}
				reader := bufio.NewReader(conn)
				for range requests {
					_, err = io.WriteString(conn, c.method+" / HTTP/1.0\r\n"+c.header+"\r\n")
					is.NoErr(err)
					response, err := http.ReadResponse(reader, &http.Request{Method: c.method})
					is.NoErr(err)
					body, err := io.ReadAll(response.Body)
					is.NoErr(err)
					is.NoErr(response.Body.Close())
					is.Equal(response.StatusCode, c.status)
					is.Equal(response.ContentLength, c.length)
					if c.method == http.MethodGet {
						is.Equal(string(body), c.body)
					}
				}
				l.Drain(t.Context())
				_, err = io.Copy(io.Discard, reader)
				is.NoErr(err)
			})
		}
	}
}
