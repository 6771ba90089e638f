package enginestub

import (
	"container/list"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"vanillapond/pkg/api"
	"vanillapond/pkg/ident"
)

// Batching configures the engine's batching; the zero value runs every request without waiting.
type Batching struct {
	// Slots is the maximum number of requests that run at a time; 0 means no limit.
	Slots int
	// KVTokens is the size of the KV cache: the maximum sum of prompt and output tokens of the running requests. 0 means no limit.
	// A request that runs alone may exceed it.
	KVTokens ident.Tokens
	// PrefillPerSecond is the prefill speed in prompt tokens per second; 0 means that prefill takes no time.
	PrefillPerSecond ident.Tokens
	// CachedPrefixes is the size of the prefix cache, in prompt prefixes.
	CachedPrefixes int
}

// prefixBytes is the maximum length of the prompt prefix that the prefix cache covers, in bytes.
const prefixBytes = 1024

// batch assigns slots and KV cache to requests, in order of priority.
type batch struct {
	config Batching
	mu     sync.Mutex
	// All below is guarded by mu.
	running  int
	kvTokens ident.Tokens
	// waiting is sorted by priority, then by arrival.
	waiting []*queuedRequest
	// cached holds the digests of the cached prompt prefixes, the most recently used first; elements finds them by digest.
	cached   *list.List
	elements map[uint64]*list.Element
}

// queuedRequest is a request that waits for a slot.
type queuedRequest struct {
	priority int
	kvTokens ident.Tokens
	// admitted is closed when the request gets its slot.
	admitted chan struct{}
}

func newBatch(config Batching) *batch {
	return &batch{config: config, cached: list.New(), elements: make(map[uint64]*list.Element)}
}

// acquire waits for a slot and reports whether the request got one. The caller must then release it.
func (b *batch) acquire(ctx context.Context, priority int, kvTokens ident.Tokens) bool {
	queued := &queuedRequest{priority: priority, kvTokens: kvTokens, admitted: make(chan struct{})}
	b.mu.Lock()
	position := slices.IndexFunc(b.waiting, func(waiting *queuedRequest) bool { return waiting.priority > priority })
	if position < 0 {
		position = len(b.waiting)
	}
	b.waiting = slices.Insert(b.waiting, position, queued)
	b.admit()
	b.mu.Unlock()
	select {
	case <-queued.admitted:
		return true
	case <-ctx.Done():
		return b.cancel(queued)
	}
}

// cancel removes a request from the queue, or releases its slot if it has got one. It returns false.
func (b *batch) cancel(queued *queuedRequest) bool {
	b.mu.Lock()
	position := slices.Index(b.waiting, queued)
	if position >= 0 {
		b.waiting = slices.Delete(b.waiting, position, position+1)
	}
	b.mu.Unlock()
	if position < 0 {
		b.release(queued.kvTokens)
	}
	return false
}

func (b *batch) release(kvTokens ident.Tokens) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	b.kvTokens -= kvTokens
	b.admit()
}

// admit starts waiting requests in order until the next one does not fit. The caller holds mu.
func (b *batch) admit() {
	for len(b.waiting) > 0 {
		next := b.waiting[0]
		if b.config.Slots > 0 && b.running >= b.config.Slots {
			return
		}
		if b.config.KVTokens > 0 && b.running > 0 && b.kvTokens+next.kvTokens > b.config.KVTokens {
			return
		}
		b.waiting = b.waiting[1:]
		b.running++
		b.kvTokens += next.kvTokens
		close(next.admitted)
	}
}

// prefill returns the duration of the prompt's prefill, and caches the prompt's prefix.
func (b *batch) prefill(request api.CompletionRequest) time.Duration {
	if b.config.PrefillPerSecond == 0 {
		return 0
	}
	tokens := request.PromptLength()
	digest, length := promptPrefix(request)
	b.mu.Lock()
	defer b.mu.Unlock()
	if element := b.elements[digest]; element != nil {
		b.cached.MoveToFront(element)
		tokens -= min(length, tokens-1)
	} else if b.config.CachedPrefixes > 0 {
		b.elements[digest] = b.cached.PushFront(digest)
		b.evict()
	}
	return time.Duration(tokens) * time.Second / time.Duration(b.config.PrefillPerSecond)
}

func (b *batch) evict() {
	for b.cached.Len() > b.config.CachedPrefixes {
		last := b.cached.Back()
		digest, _ := last.Value.(uint64)
		delete(b.elements, digest)
		b.cached.Remove(last)
	}
}

// promptPrefix returns the digest of the prompt's prefix, and the prefix's length in tokens.
func promptPrefix(request api.CompletionRequest) (uint64, ident.Tokens) {
	const bytesPerToken = 4
	text := slices.Clone([]byte(request.Prompt))
	for _, message := range request.Messages {
		text = append(text, message.Content...)
	}
	text = text[:min(len(text), prefixBytes)]
	return xxhash.Sum64(text), ident.Tokens(len(text) / bytesPerToken)
}
