package link

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"vanillapond/pkg/ident"
)

// checksum covers all frames of one response, so that the end frame reveals a response that is truncated,
// contains a chunk twice or is mixed with another one.
//
// It is used by one goroutine at a time.
type checksum struct {
	frames uint64
	length uint64
	digest *xxhash.Digest
}

// newChecksum returns a checksum that also covers the request id, so that the response to another request does not match.
func newChecksum(request ident.Request) *checksum {
	c := &checksum{digest: xxhash.New()}
	c.addString(string(request))
	return c
}

// addString adds the length of a string and the string, so that different sequences of strings give different input.
func (c *checksum) addString(text string) {
	c.addNumber(len(text))
	_, _ = c.digest.WriteString(text)
}

func (c *checksum) addNumber(number int) {
	var encoded [8]byte
	binary.BigEndian.PutUint64(encoded[:], uint64(number)) //nolint:gosec // The value is only compared for equality.
	_, _ = c.digest.Write(encoded[:])
}

// addHead adds the status and header.
func (c *checksum) addHead(status int, header []Header) {
	c.addNumber(status)
	c.addNumber(len(header))
	for _, field := range header {
		c.addString(field.Name)
		c.addString(field.Value)
	}
}

// addChunk adds a chunk of the body.
func (c *checksum) addChunk(chunk []byte) {
	c.frames++
	c.length += uint64(len(chunk))
	_, _ = c.digest.Write(chunk)
}

// matches reports whether the end frame has the same number of frames, length and digest.
func (c *checksum) matches(end *End) bool {
	return end.Frames == c.frames && end.Length == c.length && end.Digest == c.digest.Sum64()
}

// phase is the progress of a response.
type phase int

// Phases of a response, in order.
const (
	phaseOpened phase = iota
	phaseAccepted
	phaseBody
	phaseEnded
)

// step returns the phase after a frame, and false for a frame that is not allowed in this phase.
func (p phase) step(kind Kind) (phase, bool) {
	switch {
	case p == phaseEnded:
		return p, false
	case kind == KindDeny:
		return phaseEnded, true
	case kind == KindAccept && p == phaseOpened:
		return phaseAccepted, true
	case kind == KindHead && p == phaseAccepted:
		return phaseBody, true
	case kind == KindData && p == phaseBody:
		return phaseBody, true
	case kind == KindEnd && p == phaseBody:
		return phaseEnded, true
	default:
		return p, false
	}
}
