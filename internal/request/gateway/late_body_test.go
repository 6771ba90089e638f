package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/connection/link"
	"vanillapond/internal/request/gateway"
	"vanillapond/pkg/api"
)

// TestLateBody guards against successes that no endpoint gave: a body comes later than the entry waits for it, and requests follow on its connection.
func TestLateBody(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ran := make(chan struct{}, 1)
	address := serveSidecar(t, handlerFunc(func(stream *link.Incoming) {
		ran <- struct{}{}
		_ = stream.Deny(link.Deny{Code: link.DenyFailed, Load: link.Load{Capacity: 1}})
	}), false, func(config *gateway.Config) { config.BodyReadTimeout = 100 * time.Millisecond })
	conn, err := net.Dial("tcp", strings.TrimPrefix(address, "http://"))
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	const head = "POST /service/ HTTP/1.1\r\nHost: h\r\n" + api.HeaderAPIKey + ": key\r\nContent-Length: 4\r\n\r\n"
	responses := bufio.NewReader(conn)
	for _, sent := range []struct {
		text   string
		status int
	}{{head + "bo", http.StatusRequestTimeout}, {"dy" + head + "body", 0}} {
		_, _ = io.WriteString(conn, sent.text)
		response, err := http.ReadResponse(responses, nil)
		if sent.status == 0 {
			is.True(err != nil)
			break
		}
		is.NoErr(err)
		is.Equal(response.StatusCode, sent.status)
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	is.Equal(len(ran), 0)
}
