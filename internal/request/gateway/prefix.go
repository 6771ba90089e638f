package gateway

import (
	"github.com/cespare/xxhash/v2"

	"vanillapond/pkg/api"
)

// Sizes of a prompt prefix, in bytes.
const (
	// maxPrefixBytes is the length of the prefix that is hashed to find the endpoints that may have it in their cache.
	maxPrefixBytes = 1024
	// minPrefixBytes is the length below which a cached prefix saves too little.
	minPrefixBytes = 256
)

// promptPrefixDigest returns a digest of the model's name and the prompt's prefix, or 0 if the prompt is too short.
func promptPrefixDigest(request api.CompletionRequest) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(request.Model))
	remaining := maxPrefixBytes
	add := func(part []byte) {
		part = part[:min(len(part), remaining)]
		remaining -= len(part)
		_, _ = digest.Write(part)
	}
	add(request.Prompt)
	for _, message := range request.Messages {
		add(message.Content)
	}
	if maxPrefixBytes-remaining < minPrefixBytes {
		return 0
	}
	return digest.Sum64()
}
