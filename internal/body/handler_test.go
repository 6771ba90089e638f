package body

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/holdings"
)

// TestHandler checks that what a handler reads is held until it returns, and why requests are refused before it gets them.
func TestHandler(t *testing.T) {
	const limit = 900_000
	for _, c := range []struct {
		name          string
		stated, bytes int
		status        int
	}{
		{"whole", 1000, 1000, http.StatusOK},
		{"no room", 800_000, 800_000, http.StatusServiceUnavailable},
		{"unfinished", 1000, 10, http.StatusRequestTimeout},
		{"too large", limit + 1, 10, http.StatusRequestEntityTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			account := holdings.New(holdings.Config{Limits: holdings.Limits{Bytes: 1 << 20, Largest: 2 << 20, Connections: 10}})
			// Another complete body leaves less than its part of the room to large ones.
			other, err := account.Open(holdings.Body, "", 100<<10, func() {})
			is.NoErr(err)
			is.NoErr(other.Settle())
			reached := false
			server := httptest.NewServer(NewHandler(HandlerConfig{Limit: limit, Timeout: 300 * time.Millisecond, Account: account, Copies: 2, Next: http.HandlerFunc(
				func(_ http.ResponseWriter, r *http.Request) {
					reached = true
					content, err := io.ReadAll(r.Body)
					is.NoErr(err)
					is.Equal(len(content), c.bytes)
					is.Equal(account.Bytes(), holdings.Bytes(100<<10+2*c.bytes))
				})}))
			defer server.Close()
			conn := send(t, server.Listener.Addr().String(), fmt.Sprintf(sized, c.stated, string(make([]byte, c.bytes))))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			_ = response.Body.Close()
			is.Equal(response.StatusCode, c.status)
			is.Equal(response.Header.Get("Retry-After") != "", c.status == http.StatusServiceUnavailable)
			is.Equal(reached, c.status == http.StatusOK)
			other.Close()
			for end := time.Now().Add(5 * time.Second); account.Bytes() > 0; time.Sleep(time.Millisecond) {
				is.True(time.Now().Before(end))
			}
		})
	}
}
