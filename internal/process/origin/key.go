package origin

import (
	"crypto/sha256"
	"encoding/hex"
	"unicode/utf8"

	"vanillapond/pkg/ident"
)

const (
	// maxKeyBytes is the length up to which a stream is known by its id: callers choose ids, and a datagram holds a batch of keys.
	maxKeyBytes = 128
	// digestPrefix begins the keys of other ids. No caller can send it, for a header holds no control characters.
	digestPrefix = "\x01sha256:"
)

// streamKey identifies a stream in memory and in batches between instances. It is valid UTF-8 of at most maxKeyBytes.
type streamKey ident.Request

// newStreamKey returns the key of an id, which may be one already: instances tell each other keys, and those of earlier versions ids.
func newStreamKey(id ident.Request) streamKey {
	if len(id) <= maxKeyBytes && utf8.ValidString(string(id)) {
		return streamKey(id)
	}
	sum := sha256.Sum256([]byte(id))
	return streamKey(digestPrefix + hex.EncodeToString(sum[:]))
}
