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
	source   io.Reader
	position Position
}

// Position is where a stream ends so far; the zero value is its start.
type Position struct {
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
	r.position.Advance(buffer[:n])
	if err == io.EOF && r.position.InEvent() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// Advance moves the position behind the next bytes of the stream.
func (p *Position) Advance(content []byte) {
	for _, char := range content {
		p.advance(char)
	}
}

// InEvent reports whether a part of an event precedes the position.
func (p *Position) InEvent() bool { return p.inEvent }

func (p *Position) advance(char byte) {
	switch char {
	case '\n':
		p.inEvent = p.inEvent && p.inLine
		p.inLine = false
	case '\r':
		// Part of the line end. It must not make a blank line count as one with content.
		p.inEvent = true
	default:
		p.inLine, p.inEvent = true, true
	}
}
