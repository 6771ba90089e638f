package backend_test

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"vanillapond/internal/connection/backend"
	"vanillapond/internal/connection/link"
	"vanillapond/internal/stub/rawstub"
	"vanillapond/pkg/configuration"
)

// TestPartOfEarlyResponse guards against parts of responses that are passed on as whole: a server responds to a long upload at once, without a length, and
// its connection ends while the upload is still written.
func TestPartOfEarlyResponse(t *testing.T) {
	t.Parallel()
	const tries = 16
	for _, c := range []struct {
		name, response string
		kind           configuration.Kind
	}{
		{"text", "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart", configuration.KindService},
		{"empty", "HTTP/1.1 200 OK\r\n\r\n", configuration.KindService},
		{"json", "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{}", configuration.KindService},
		{"events", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: x\n\n", configuration.KindService},
		{"error", "HTTP/1.1 500 Internal Server Error\r\n\r\npart", configuration.KindService},
		{"completion", "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{}", configuration.KindEngine},
		{"stream", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: [DONE]\n\n", configuration.KindEngine},
	} {
		for _, end := range []rawstub.Script{
			{Ending: rawstub.Closes},
			{Ending: rawstub.Closes, Delay: time.Millisecond},
			{Ending: rawstub.Resets},
			{Ending: rawstub.Resets, Delay: time.Millisecond},
			{Ending: rawstub.HalfCloses},
		} {
			t.Run(c.name+"/"+string(end.Ending)+"/"+end.Delay.String(), func(t *testing.T) {
				t.Parallel()
				address := rawstub.StartScript(t, rawstub.Script{Response: c.response, Early: true, Ending: end.Ending, Delay: end.Delay})
				server := backend.New(backend.Config{BaseURL: "http://" + address, Kind: c.kind})
				body := `{"prompt":"` + strings.Repeat("x", 3<<20) + `"}`
				if c.name == "stream" {
					body = `{"stream":true,` + body[1:]
				}
				for try := range 2 * tries {
					var got capturedHead
					_, err := server.Run(t.Context(), &link.Open{
						Method: http.MethodPost, Path: "/v1/chat/completions", Body: []byte(body), Request: "r1", Idempotent: try%2 == 0,
					}, &got)
					if !errors.Is(err, backend.ErrInterrupted) {
						t.Fatalf("try %d: status %d, %q: got %v, want ErrInterrupted", try, got.status, got.body.String(), err)
					}
				}
			})
		}
	}
}
