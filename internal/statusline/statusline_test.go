package statusline_test

import (
	"testing"

	"github.com/matryer/is"

	"vanillapond/internal/statusline"
)

// TestStatusLine verifies what counts as a status line; a text that only names the protocol, as a model's answer may, does not.
func TestStatusLine(t *testing.T) {
	t.Parallel()
	for text, want := range map[string]struct{ begins, in bool }{
		"HTTP/1.1 500 Internal Server Error":       {true, true},
		"HTTP/1.0 200":                             {true, true},
		"HTTP/1.1 503\r":                           {true, true},
		"data: xHTTP/1.1 404 Not Found":            {false, true},
		"HTTP/1.1 and HTTP/1.1 502 Bad Gateway":    {false, true},
		"HTTP/1.1":                                 {false, false},
		"HTTP/1.1 is a protocol":                   {false, false},
		"HTTP/1.1 5000":                            {false, false},
		"HTTP/1.1 900 ":                            {false, false},
		"HTTP/2 500 Internal Server Error":         {false, false},
		"GET / HTTP/1.1\r\nHost: example.test\r\n": {false, false},
	} {
		is := is.New(t)
		is.Equal(statusline.Begins(text), want.begins)
		is.Equal(statusline.In(text), want.in)
	}
}
