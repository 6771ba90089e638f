package backend_test

import (
	"errors"
	"net/http"
	"testing"

	"vanillapond/internal/connection/backend"
	"vanillapond/internal/connection/link"
	"vanillapond/internal/stub/rawstub"
	"vanillapond/pkg/configuration"
)

// testHead sends a request whose response is the given bytes, and checks whether it is refused before anything of it is passed on.
func testHead(t *testing.T, response string, refused bool) {
	t.Helper()
	address := rawstub.StartScript(t, rawstub.Script{Response: response})
	for _, kind := range []configuration.Kind{configuration.KindService, configuration.KindEngine} {
		var got capturedHead
		_, err := backend.New(backend.Config{BaseURL: "http://" + address, Kind: kind}).Run(t.Context(), &link.Open{
			Method: http.MethodPost, Path: "/", Body: []byte(`{}`), Request: "r1",
		}, &got)
		if errors.Is(err, backend.ErrInterrupted) != refused || refused != (got.status == 0) {
			t.Errorf("%s, %q: status %d, %v", kind, response, got.status, err)
		}
	}
}

// TestStatus guards against statuses outside of 100 to 599, which are no answer; in a frame they would also end the link.
func TestStatus(t *testing.T) {
	t.Parallel()
	for status, refused := range map[string]bool{
		"000": true, "001": true, "099": true, "+42": true, "600": true, "999": true, "20": true, "200": false, "404": false, "599": false,
	} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			testHead(t, "HTTP/1.1 "+status+" X\r\nContent-Length: 2\r\n\r\n{}", refused)
		})
	}
}
