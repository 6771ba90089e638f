package gateway

import (
	"github.com/cespare/xxhash/v2"

	"vanillapond/pkg/api"
)

// Sizes of a prompt's beginning, in bytes.
const (
	// maxPrefixBytes is how much of the prompt decides where its cached beginning may be.
	maxPrefixBytes = 1024
	// minPrefixBytes is the size below which a cached beginning saves too little.
	minPrefixBytes = 256
)

// promptPrefixDigest returns a digest of the prompt's beginning for its model, 0 for a short one.
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
