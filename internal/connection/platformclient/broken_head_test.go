package platformclient_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"vanillapond/internal/connection/platformclient"
	"vanillapond/internal/process/table"
	"vanillapond/internal/stub/rawstub"
)

// TestStatus guards against calls that count as done by a status outside of 100 to 599.
func TestStatus(t *testing.T) {
	t.Parallel()
	for _, status := range []string{"000", "099", "+42", "600"} {
		is := is.New(t)
		address := rawstub.StartScript(t, rawstub.Script{Response: "HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\n{}"})
		client := platformclient.New(platformclient.Config{Base: "http://" + address, Process: "p"})
		is.True(errors.Is(client.Commit(t.Context(), table.Transaction{}), table.ErrOutcomeUnknown))
		_, err := client.Scan(t.Context(), "a", "", 1)
		is.True(errors.Is(err, table.ErrRefused))
	}
}
