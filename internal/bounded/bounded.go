// Package bounded reads messages whose size is limited.
package bounded

import (
	"io"

	"github.com/samber/oops"
)

// ErrTooLong is returned for a message that is longer than its limit.
var ErrTooLong = oops.Errorf("message is too long")

// ReadAll reads a message of at most limit bytes until its end. Unlike with an io.LimitedReader, the limit can't be taken for the
// end of the message.
func ReadAll(source io.Reader, limit int64) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(source, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(content)) > limit {
		return nil, oops.Wrapf(ErrTooLong, "limit is %d bytes", limit)
	}
	return content, nil
}
