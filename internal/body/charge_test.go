package body

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/holdings"
)

// TestCharge checks that what a handler reads is held until it returns, and that it gets no more than there is room for.
func TestCharge(t *testing.T) {
	is := is.New(t)
	account := holdings.New(holdings.Config{Limits: holdings.Limits{Bytes: 1 << 20, Largest: 1 << 20, Connections: 10}})
	type read struct {
		bytes int
		held  holdings.Bytes
		err   error
	}
	reads := make(chan read, 1)
	server := httptest.NewServer(Charge(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		content, err := io.ReadAll(r.Body)
		reads <- read{len(content), account.Bytes(), err}
	}), ChargeConfig{Account: account, Timeout: 300 * time.Millisecond, Copies: 2}))
	t.Cleanup(server.Close)
	address := server.Listener.Addr().String()

	send(t, address, fmt.Sprintf(sized, 1000, string(make([]byte, 1000))))
	got := <-reads
	is.NoErr(got.err)
	is.Equal(got.bytes, 1000)
	is.Equal(got.held, holdings.Bytes(2000))

	send(t, address, fmt.Sprintf(sized, 800_000, string(make([]byte, 800_000))))
	got = <-reads
	is.Equal(got.err, holdings.ErrNoRoom)

	send(t, address, fmt.Sprintf(sized, 1000, "unfinished"))
	got = <-reads
	is.True(errors.Is(got.err, os.ErrDeadlineExceeded))
	for end := time.Now().Add(5 * time.Second); account.Bytes() > 0; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(end))
	}
}
