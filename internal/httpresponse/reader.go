package httpresponse

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"

	"github.com/samber/oops"
	"golang.org/x/net/http/httpguts"

	"vanillapond/internal/process/holdings"
)

const (
	// readBufferSize fits a response's head and its first events.
	readBufferSize = 4 << 10
	// usualHeadBytes is the memory of a head up to which none is reserved.
	usualHeadBytes = 8 << 10
	// MaxHeadBytes bounds a response's head together with the interim responses before it.
	MaxHeadBytes = 64 << 10
)

// Reader is a buffered reader of a connection that checks the bytes of heads before they are parsed: net/http takes some that are not valid, and what it has
// parsed does not show them.
type Reader struct {
	*bufio.Reader
	// Reserve is called before more memory than usual is kept for a head, with all that it takes in bytes; its error ends reading. nil is not called.
	Reserve func(bytes int) error
	// small is the reader below Reader while Reader has a buffer for a head that does not fit into the usual one, otherwise nil.
	small *bufio.Reader
}

// NewReader returns a reader of a source.
func NewReader(source io.Reader) *Reader {
	return &Reader{Reader: bufio.NewReaderSize(source, readBufferSize)}
}

// Buffered returns how many bytes can be read without reading from the source.
func (r *Reader) Buffered() int {
	if r.small == nil {
		return r.Reader.Buffered()
	}
	return r.Reader.Buffered() + r.small.Buffered()
}

// Shrink gives up the buffer for a long head, if nothing is left in it. Nobody may use the bufio.Reader of that response any more.
func (r *Reader) Shrink() {
	if r.small != nil && r.Reader.Buffered() == 0 {
		r.Reader, r.small = r.small, nil
	}
}

// reserveHead asks for the memory of a head: its bytes, what net/http makes of its lines, and the buffer for a long one.
func (r *Reader) reserveHead(head []byte) error {
	size := len(head) + bytes.Count(head, []byte("\n"))*int(holdings.LineBytes)
	if r.small != nil {
		size += MaxHeadBytes
	}
	return r.reserve(size)
}

func (r *Reader) reserve(size int) error {
	if r.Reserve == nil || size <= usualHeadBytes {
		return nil
	}
	return r.Reserve(size)
}

// NextHead waits for the head that comes next, checks its lines and returns its bytes, which are valid until the next call of a method; it does not consume
// them. The error is ErrBroken if the head is not valid or too long, otherwise that of the source.
func (r *Reader) NextHead() ([]byte, error) {
	for lastLine := 0; ; {
		// Peek of what is buffered does not fail.
		buffered, _ := r.Peek(r.Reader.Buffered())
		var end int
		if end, lastLine = headEnd(buffered, lastLine); end > 0 {
			head := buffered[:end]
			if err := checkLines(head); err != nil {
				return nil, err
			}
			if err := r.reserveHead(head); err != nil {
				return nil, err
			}
			return head, nil
		}
		if len(buffered) == r.Size() {
			if r.small != nil {
				return nil, oops.Wrapf(ErrTooLong, "head is longer than %d bytes", MaxHeadBytes)
			}
			if err := r.reserve(MaxHeadBytes); err != nil {
				return nil, err
			}
			r.small, r.Reader = r.Reader, bufio.NewReaderSize(r.Reader, MaxHeadBytes)
		}
		if _, err := r.Peek(len(buffered) + 1); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
}

// headEnd looks for the empty line that ends a head, from the start of a line on. It returns the end of the head, or 0 and the start of the line that has not
// ended.
func headEnd(content []byte, start int) (end, lastLine int) {
	for {
		length := bytes.IndexByte(content[start:], '\n') + 1
		if length == 0 {
			return 0, start
		}
		if isEmptyLine(content[start : start+length]) {
			return start + length, start
		}
		start += length
	}
}

func isEmptyLine(line []byte) bool { return string(line) == "\r\n" || string(line) == "\n" }

// checkLines checks the field lines of a head, and that they frame the body in one way.
func checkLines(head []byte) error {
	isStatusLine, hasLength, hasEncoding := true, false, false
	for line := range bytes.Lines(head) {
		switch {
		case isEmptyLine(line):
		case isStatusLine:
			isStatusLine = false
		case line[0] == ' ' || line[0] == '\t':
			// RFC 9112, section 5.2: a sender must not fold lines.
			return oops.Wrapf(ErrBroken, "folded line or blank before the name of a field: %.40q", line)
		default:
			name, _, _ := bytes.Cut(line, []byte(":"))
			if !httpguts.ValidHeaderFieldName(string(name)) {
				return oops.Wrapf(ErrBroken, "name of a field is not valid: %.40q", line)
			}
			hasLength = hasLength || strings.EqualFold(string(name), "Content-Length")
			hasEncoding = hasEncoding || strings.EqualFold(string(name), "Transfer-Encoding")
		}
	}
	// RFC 9112, section 6: a sender must neither encode a response of HTTP/1.0 nor state a length beside the encoding. net/http ignores the first.
	switch {
	case hasEncoding && bytes.HasPrefix(head, []byte("HTTP/1.0 ")):
		return oops.Wrapf(ErrBroken, "HTTP/1.0 response has a transfer encoding")
	case hasEncoding && hasLength:
		return oops.Wrapf(ErrBroken, "response has both a length and a transfer encoding")
	default:
		return nil
	}
}
