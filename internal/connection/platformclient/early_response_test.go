package platformclient_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"vanillapond/internal/connection/platformclient"
	"vanillapond/internal/process/platform"
	"vanillapond/internal/process/table"
	"vanillapond/internal/stub/rawstub"
)

// TestEarlyResponse guards against calls that count as done although the platform had not read them: it responds at once, without a length, and its
// connection ends while the request is still written.
func TestEarlyResponse(t *testing.T) {
	t.Parallel()
	const tries = 16
	held := func() error { return nil }
	large := string(make([]byte, 1<<20))
	for name, call := range map[string]func(*platformclient.Client) error{
		"order": func(c *platformclient.Client) error { return c.Send(t.Context(), platform.Order{ID: large}, held) },
		"transaction": func(c *platformclient.Client) error {
			return c.Commit(t.Context(), table.Transaction{Writes: []table.Write{{Key: "a", Value: make([]byte, 3<<20)}}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			address := rawstub.StartScript(t, rawstub.Script{Response: "HTTP/1.1 200 OK\r\n\r\n", Early: true, Ending: rawstub.Closes})
			client := platformclient.New(platformclient.Config{Base: "http://" + address, Process: "p"})
			for range tries {
				is.True(errors.Is(call(client), table.ErrOutcomeUnknown))
			}
		})
	}
}
