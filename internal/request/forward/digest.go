package forward

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"vanillapond/internal/request/placement"
	"vanillapond/platform"
)

// requestDigest returns a hash that is the same for equal requests with the same key. Each of the first three parts is
// followed by a zero byte, so that requests that differ only in the boundaries of these parts get different hashes.
func requestDigest(method, target, key string, body [][]byte) uint64 {
	hash := xxhash.New()
	for _, part := range []string{method, target, key} {
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	for _, block := range body {
		_, _ = hash.Write(block)
	}
	return hash.Sum64()
}

// hashPrefixes returns, for each prompt part but the last, the hash of the prompt up to the end of this part. The last part is
// left out because it belongs to this request alone.
func hashPrefixes(parts []platform.PromptPart) []placement.Part {
	if len(parts) < 2 {
		return nil
	}
	prefixes := make([]placement.Part, 0, len(parts)-1)
	var previous uint64
	for _, part := range parts[:len(parts)-1] {
		var pair [16]byte
		binary.LittleEndian.PutUint64(pair[:8], previous)
		binary.LittleEndian.PutUint64(pair[8:], part.ID)
		previous = xxhash.Sum64(pair[:])
		prefixes = append(prefixes, placement.Part{PrefixHash: previous, Tokens: part.Tokens})
	}
	return prefixes
}
