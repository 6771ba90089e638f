// Package sticky keeps the first error of a writer whose callers ignore errors, as those that draw do.
package sticky

import "io"

// Writer writes to another writer until that fails.
type Writer struct {
	To io.Writer
	// Err is the first error; nothing is written after it.
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
