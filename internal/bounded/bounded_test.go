package bounded_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"vanillapond/internal/bounded"
)

// TestCutMessage verifies that a message of which a part was not read is an error, and that one of just the limit is not.
func TestCutMessage(t *testing.T) {
	t.Parallel()
	const message = "hello"
	for limit := range len(message) + 2 {
		is := is.New(t)
		content, err := bounded.ReadAll(strings.NewReader(message), int64(limit))
		is.Equal(errors.Is(err, bounded.ErrTooLong), limit < len(message))
		is.Equal(string(content) == message, limit >= len(message))
	}
	is := is.New(t)
	_, err := bounded.ReadAll(iotest.ErrReader(io.ErrUnexpectedEOF), 1)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
}
