package forward

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"vanillapond/internal/request/placement"
	"vanillapond/platform"
)

// digest names equal requests of one caller.
func digest(method, target, key string, body []byte) uint64 {
	sum := xxhash.New()
	for _, part := range []string{method, target, key} {
		_, _ = sum.WriteString(part)
		_, _ = sum.Write([]byte{0})
	}
	_, _ = sum.Write(body)
	return sum.Sum64()
}

// chain names each part together with all parts before it, without the last, which is the request's own.
func chain(parts []platform.PromptPart) []placement.Part {
	if len(parts) < 2 {
		return nil
	}
	chained := make([]placement.Part, 0, len(parts)-1)
	var before uint64
	for _, part := range parts[:len(parts)-1] {
		var both [16]byte
		binary.LittleEndian.PutUint64(both[:8], before)
		binary.LittleEndian.PutUint64(both[8:], part.ID)
		before = xxhash.Sum64(both[:])
		chained = append(chained, placement.Part{PrefixHash: before, Tokens: part.Tokens})
	}
	return chained
}
