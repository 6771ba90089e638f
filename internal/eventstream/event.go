package eventstream

import (
	"bytes"
	"iter"

	"vanillapond/internal/statusline"
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
	// HasResponseHead means that the event holds the head of an HTTP/1.x response, as it does where a server wrote a second response in the middle of a
	// stream: a line begins like a status line, or holds one and lines follow that look like a header.
	HasResponseHead bool
	// hasStatusLine means that a line holds a status line behind other text. In itself, it may be what the stream is about.
	hasStatusLine bool
}

// Events returns the events of a part of a stream that begins and ends between two events.
func Events(content []byte) iter.Seq[Event] {
	return func(yield func(Event) bool) {
		var event Event
		end := 0
		for line := range bytes.Lines(content) {
			end += len(line)
			line = bytes.TrimRight(line, "\r\n")
			if len(line) > 0 {
				event.addLine(line)
				continue
			}
			event.End = end
			if !yield(event) {
				return
			}
			event = Event{}
		}
	}
}

func (e *Event) addLine(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "id":
		e.ID, e.HasID, e.HasContent = string(bytes.TrimSpace(value)), true, true
	case "data":
		e.HasContent = true
	}
	if bytes.Contains(line, []byte("HTTP/1.")) {
		e.HasResponseHead = e.HasResponseHead || statusline.Begins(string(line))
		e.hasStatusLine = e.hasStatusLine || statusline.In(string(line))
	} else if e.hasStatusLine && isHeaderName(name) {
		e.HasResponseHead = true
	}
}

// isHeaderName reports whether the name of a field is that of an HTTP header in its usual form; the fields of events are in lower case.
func isHeaderName(name []byte) bool {
	return len(name) > 0 && name[0] >= 'A' && name[0] <= 'Z' && !bytes.ContainsAny(name, " \t")
}
