package eventstream

import (
	"bytes"
	"iter"
)

// Event is what a router needs to know of an event of a stream.
type Event struct {
	// End is the length of the stream's bytes up to and including the event.
	End int
	// ID is the value of the last id field, and HasID whether there is one.
	ID    string
	HasID bool
	// HasContent means that the event has a field with data or an id; a block of comments has not.
	HasContent bool
	// IsResponseHead means that the event begins like the head of an HTTP/1.x response, as a second response does behind a stream that
	// ends with its connection.
	IsResponseHead bool
}

// Events returns the events of a part of a stream that begins and ends between two events.
func Events(content []byte) iter.Seq[Event] {
	return func(yield func(Event) bool) {
		var event Event
		end, empty := 0, true
		for line := range bytes.Lines(content) {
			end += len(line)
			line = bytes.TrimRight(line, "\r\n")
			if len(line) > 0 {
				event.addLine(line, empty)
				empty = false
				continue
			}
			event.End = end
			if !yield(event) {
				return
			}
			event, empty = Event{}, true
		}
	}
}

func (e *Event) addLine(line []byte, first bool) {
	if first && bytes.HasPrefix(line, []byte("HTTP/1.")) {
		e.IsResponseHead = true
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "id":
		e.ID, e.HasID, e.HasContent = string(bytes.TrimSpace(value)), true, true
	case "data":
		e.HasContent = true
	}
}
