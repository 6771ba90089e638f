// Package eventstream tells event streams that are complete from those that end inside an event, and finds their events.
package eventstream

import (
	"io"
	"net/http"
	"strings"
)

// MediaType is the media type of event streams.
const MediaType = "text/event-stream"

// Is reports whether a header declares an event stream, whatever the parameters of its media type.
func Is(header http.Header) bool {
	mediaType, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(mediaType), MediaType)
}

// Position is a place in an event stream; the zero value is its start.
type Position struct {
	// inLine means that the last byte belongs to a line that has not ended.
	inLine bool
	// inEvent means that the last blank line was followed by another line, or by a part of one.
	inEvent bool
}

// InsideEvent reports whether the position is behind a part of an event, which is complete only after a blank line.
func (p *Position) InsideEvent() bool { return p.inEvent }

// Advance moves the position to the end of the following bytes. It returns how many of them end with the last event that is complete; 0
// if none ends in them.
func (p *Position) Advance(chunk []byte) (complete int) {
	for index, char := range chunk {
		switch char {
		case '\n':
			p.inEvent = p.inEvent && p.inLine
			p.inLine = false
			if !p.inEvent {
				complete = index + 1
			}
		case '\r':
			// Part of the line end. It must not make a blank line count as one with content.
			p.inEvent = true
		default:
			p.inLine, p.inEvent = true, true
		}
	}
	return complete
}

// Reader reads an event stream and returns io.ErrUnexpectedEOF instead of io.EOF if the stream ends inside an event.
type Reader struct {
	source   io.Reader
	position Position
}

// NewReader returns a reader of a stream that is at its start or between two events.
func NewReader(source io.Reader) *Reader { return &Reader{source: source} }

// Read implements io.Reader.
func (r *Reader) Read(buffer []byte) (int, error) {
	n, err := r.source.Read(buffer)
	r.position.Advance(buffer[:n])
	if err == io.EOF && r.position.InsideEvent() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
