// Package eventstream tells event streams that are complete from those that end inside an event.
package eventstream

import (
	"io"
	"mime"
	"net/http"
)

// MediaType is the media type of event streams.
const MediaType = "text/event-stream"

// Is reports whether a header declares an event stream.
func Is(header http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return err == nil && mediaType == MediaType
}

// Reader reads an event stream and returns io.ErrUnexpectedEOF instead of io.EOF if the stream ends inside an event: an event is
// complete only after a blank line.
type Reader struct {
	source io.Reader
	// inLine means that the last byte read belongs to a line that has not ended.
	inLine bool
	// inEvent means that the last blank line was followed by another line, or by a part of one.
	inEvent bool
}

// NewReader returns a reader of a stream that is at its start or between two events.
func NewReader(source io.Reader) *Reader { return &Reader{source: source} }

// Read implements io.Reader.
func (r *Reader) Read(buffer []byte) (int, error) {
	n, err := r.source.Read(buffer)
	for _, char := range buffer[:n] {
		r.advance(char)
	}
	if err == io.EOF && r.inEvent {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (r *Reader) advance(char byte) {
	switch char {
	case '\n':
		r.inEvent = r.inEvent && r.inLine
		r.inLine = false
	case '\r':
		// Part of the line end. It must not make a blank line count as one with content.
		r.inEvent = true
	default:
		r.inLine, r.inEvent = true, true
	}
}
