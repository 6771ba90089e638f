// Package sticky provides a writer that remembers its first error, for callers that ignore write errors, such as drawing
// libraries.
package sticky

import "io"

// Writer writes to another writer until a write fails.
type Writer struct {
	To io.Writer
	// Err is the first error. Later writes return it without writing anything.
	Err error
}

// Write implements io.Writer.
func (w *Writer) Write(data []byte) (int, error) {
	if w.Err != nil {
		return 0, w.Err
	}
	var count int
	count, w.Err = w.To.Write(data)
	return count, w.Err
}
