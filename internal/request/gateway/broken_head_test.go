package gateway_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"vanillapond/internal/connection/link"
)

// TestBrokenFields guards against fields with invalid names that reach callers from a sidecar which does not check them.
func TestBrokenFields(t *testing.T) {
	t.Parallel()
	for name, want := range map[string]int{"X Bad": http.StatusBadGateway, "X-Bad ": http.StatusBadGateway, "X\x01Bad": http.StatusBadGateway, "X-Good": http.StatusOK} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			address := serveSidecar(t, handlerFunc(func(stream *link.Incoming) {
				_ = stream.Accept(link.Load{Capacity: 1})
				_ = stream.Head(http.StatusOK, []link.Header{{Name: name, Value: "1"}})
				_, _ = io.WriteString(stream, "hello")
				_ = stream.End(link.Usage{}, link.Load{Capacity: 1})
			}), false)
			status, header, body := postToService(t, address, strings.NewReader("body"))
			is.Equal(status, want)
			is.Equal(len(header[name]) > 0, want == http.StatusOK)
			is.True(!strings.Contains(body, `"not_run":true`))
		})
	}
}
