package backend

import (
	"io"
	"mime"
	"net/http"

	"vanillapond/internal/httpresponse"
)

// jsonMediaType is the media type of JSON texts.
const jsonMediaType = "application/json"

// needsJSONCheck reports whether the end of a response is the end of its connection, so that only its content tells whether it was
// truncated, and whether this content is JSON.
func needsJSONCheck(response *http.Response) bool {
	if !httpresponse.EndsWithConnection(response) || response.Request.Method == http.MethodHead || response.Header.Get("Content-Encoding") != "" {
		return false
	}
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && mediaType == jsonMediaType
}

// jsonReader reads a JSON text and returns io.ErrUnexpectedEOF instead of io.EOF if the text ends inside its value.
//
// It checks brackets and strings only: some engines write numbers, such as NaN, that are not valid JSON.
type jsonReader struct {
	source io.Reader
	// depth is the number of open objects and arrays.
	depth int
	// started means that a value has begun.
	started bool
	// inString means that the last byte read belongs to a string that has not ended.
	inString bool
	// escaped means that the last byte read is a backslash that escapes the next byte of a string.
	escaped bool
}

// Read implements io.Reader.
func (r *jsonReader) Read(buffer []byte) (int, error) {
	n, err := r.source.Read(buffer)
	for _, char := range buffer[:n] {
		r.advance(char)
	}
	if err == io.EOF && (!r.started || r.inString || r.depth > 0) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (r *jsonReader) advance(char byte) {
	switch {
	case r.escaped:
		r.escaped = false
	case r.inString:
		r.escaped = char == '\\'
		r.inString = char != '"'
	default:
		r.advanceStructure(char)
	}
}

func (r *jsonReader) advanceStructure(char byte) {
	switch char {
	case ' ', '\t', '\r', '\n':
		return
	case '"':
		r.inString = true
	case '{', '[':
		r.depth++
	case '}', ']':
		r.depth--
	}
	r.started = true
}
