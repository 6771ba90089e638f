package backend_test

import (
	"errors"
	"net/http"
	"strings"
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

// TestBrokenHeads guards against heads and trailers that are not valid; what follows such a head is not the server's body.
func TestBrokenHeads(t *testing.T) {
	t.Parallel()
	const (
		start  = "HTTP/1.1 200 OK\r\n"
		chunks = "2\r\n{}\r\n0\r\n"
	)
	for name, response := range map[string]string{
		"blank in a name":             start + "X Bad: 1\r\nContent-Length: 2\r\n\r\n{}",
		"blank behind a name":         start + "X-Bad : 1\r\nContent-Length: 2\r\n\r\n{}",
		"blank before a name":         start + "X-Other: 1\r\n X-Bad: 1\r\nContent-Length: 2\r\n\r\n{}",
		"tab behind a name":           start + "X-Bad\t: 1\r\nContent-Length: 2\r\n\r\n{}",
		"control byte in a name":      start + "X\x01Bad: 1\r\nContent-Length: 2\r\n\r\n{}",
		"control byte in a value":     start + "X-Bad: \x01\r\nContent-Length: 2\r\n\r\n{}",
		"error":                       "HTTP/1.1 500 Internal Server Error\r\nX Bad: 1\r\nContent-Length: 2\r\n\r\n{}",
		"interim head":                "HTTP/1.1 103 Early Hints\r\nX Bad: 1\r\n\r\n" + start + "Content-Length: 2\r\n\r\n{}",
		"folded line of interim head": "HTTP/1.1 103 Early Hints\r\nLink: x\r\n y\r\n\r\n" + start + "Content-Length: 2\r\n\r\n{}",
		"framing behind a blank":      start + "Transfer-Encoding : chunked\r\n\r\n" + chunks + "\r\n",
		"framing in a folded line":    start + "X-Other: 1\r\n Transfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n",
		"chunks in HTTP/1.0":          "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n",
		"length beside chunks":        start + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testHead(t, response, true)
		})
	}
	t.Run("valid", func(t *testing.T) {
		t.Parallel()
		testHead(t, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"+start+"X-Long: "+strings.Repeat("x", 40<<10)+"\r\nContent-Length: 2\r\n\r\n{}", false)
	})
	t.Run("trailer", func(t *testing.T) {
		t.Parallel()
		address := rawstub.StartScript(t, rawstub.Script{Response: start + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "X Bad: 1\r\n\r\n"})
		var got capturedHead
		_, err := backend.New(backend.Config{BaseURL: "http://" + address, Kind: configuration.KindService}).Run(t.Context(), &link.Open{
			Method: http.MethodPost, Path: "/", Request: "r1",
		}, &got)
		if !errors.Is(err, backend.ErrInterrupted) {
			t.Errorf("status %d, %q: %v", got.status, got.body.String(), err)
		}
	})
}
