package platformclient_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/connection/platformclient"
	"vanillapond/internal/process/platform"
	"vanillapond/internal/process/table"
)

// TestTruncatedResponse verifies that a response of which the client does not get or does not read a part tells nothing, whatever its
// status.
func TestTruncatedResponse(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name, response string
		// endless means that white space follows until the connection is closed.
		endless bool
	}{
		{name: "endless", response: "HTTP/1.1 200 OK\r\n\r\n{}", endless: true},
		{name: "endless conflict", response: "HTTP/1.1 412 Precondition Failed\r\n\r\n{}", endless: true},
		{name: "endless refusal", response: "HTTP/1.1 503 Service Unavailable\r\n\r\n{}", endless: true},
		{name: "short", response: "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{}"},
		{name: "short conflict", response: "HTTP/1.1 412 Precondition Failed\r\nContent-Length: 100\r\n\r\n{}"},
		{name: "without end", response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				_, err = io.WriteString(conn, c.response)
				for space := strings.Repeat(" ", 64<<10); err == nil && c.endless; {
					_, err = io.WriteString(conn, space)
				}
			}))
			t.Cleanup(server.Close)
			client := platformclient.New(platformclient.Config{
				Base: server.URL, Process: "p", Timeout: 10 * time.Second, MaxResponseSize: 1 << 20,
			})
			is.True(errors.Is(client.Commit(t.Context(), table.Transaction{}), table.ErrOutcomeUnknown))
			is.True(errors.Is(client.Send(t.Context(), platform.Order{ID: "d1.1"}, func() error { return nil }), table.ErrOutcomeUnknown))
			is.True(errors.Is(client.Report(t.Context(), platform.Report{}, func() error { return nil }), table.ErrOutcomeUnknown))
			_, err := client.Scan(t.Context(), "a", "", 1)
			is.True(errors.Is(err, table.ErrRefused))
			_, err = client.VMs(t.Context())
			is.True(errors.Is(err, table.ErrOutcomeUnknown))
		})
	}
}
