package listener_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/listener"
)

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	return conn
}

// exchange sends a request and returns the response and its body; the status is 0 if the connection was closed instead.
func exchange(conn net.Conn, request string) (status int, header http.Header, body string) {
	if _, err := io.WriteString(conn, request); err != nil {
		return 0, nil, err.Error()
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, nil, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	content, _ := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, string(content)
}

// TestUnreadBodyDoesNotKeepConnection guards against callers that keep a goroutine by a short body without its end, once its handler has returned.
func TestUnreadBodyDoesNotKeepConnection(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	address := serve(t, listener.Config{Handler: greet})
	conn := dial(t, address)
	status, _, _ := exchange(conn, "POST / HTTP/1.1\r\nHost: h.example\r\nContent-Length: 100\r\n\r\nshort")
	is.Equal(status, http.StatusOK)
	_, err := conn.Read(make([]byte, 1))
	is.True(err != nil && !strings.Contains(err.Error(), "timeout")) // The other side has closed it.
}
