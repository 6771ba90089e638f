package eventstream_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"vanillapond/internal/eventstream"
)

// TestEndInsideEvent verifies for each prefix of a stream whether it ends between two events.
func TestEndInsideEvent(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		events []string
	}{
		{name: "line feeds", events: []string{"id: 1\ndata: x\n\n", "data: y\n\n", ": ping\n\n", "\n"}},
		{name: "carriage returns and line feeds", events: []string{"id: 1\r\ndata: x\r\n\r\n", "data: y\r\n\r\n", "\r\n"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			stream := strings.Join(c.events, "")
			boundaries := map[int]bool{0: true}
			end := 0
			for _, event := range c.events {
				end += len(event)
				boundaries[end] = true
			}
			for length := range len(stream) + 1 {
				for _, source := range []io.Reader{strings.NewReader(stream[:length]), iotest.OneByteReader(strings.NewReader(stream[:length]))} {
					read, err := io.ReadAll(eventstream.NewReader(source))
					is.Equal(string(read), stream[:length])
					is.Equal(err == nil, boundaries[length])
				}
			}
		})
	}
}

// TestIs verifies that parameters and the case of a media type do not matter.
func TestIs(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for value, want := range map[string]bool{
		"text/event-stream": true, "Text/Event-Stream; charset=utf-8": true, "text/plain": false, "": false, "text/event-streams": false,
	} {
		is.Equal(eventstream.Is(http.Header{"Content-Type": {value}}), want)
	}
}

// TestIsWithMalformedParameter verifies that a malformed parameter does not exempt a stream from the check of its end.
func TestIsWithMalformedParameter(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for _, value := range []string{"text/event-stream; charset", "text/event-stream; charset=utf-8; charset=utf-8"} {
		is.True(eventstream.Is(http.Header{"Content-Type": {value}}))
	}
}
