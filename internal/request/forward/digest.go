package forward

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"vanillapond/internal/request/placement"
	"vanillapond/platform"
)

// requestDigest names equal requests of one caller.
func requestDigest(method, target, key string, body []byte) uint64 {
	hash := xxhash.New()
	for _, part := range []string{method, target, key} {
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(body)
	return hash.Sum64()
}

// chainParts names each part together with all parts before it, without the last, which is the request's own.
func chainParts(parts []platform.PromptPart) []placement.Part {
	if len(parts) < 2 {
		return nil
	}
	chained := make([]placement.Part, 0, len(parts)-1)
	var previous uint64
	for _, part := range parts[:len(parts)-1] {
		var pair [16]byte
		binary.LittleEndian.PutUint64(pair[:8], previous)
		binary.LittleEndian.PutUint64(pair[8:], part.ID)
		previous = xxhash.Sum64(pair[:])
		chained = append(chained, placement.Part{PrefixHash: previous, Tokens: part.Tokens})
	}
	return chained
}
