package enginestub

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"vanillapond/pkg/api"
)

// TestBatch checks that slots and KV cache limit the batch, that requests start in order of priority, and that the prefix cache
// is limited.
func TestBatch(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		b := newBatch(Batching{Slots: 2, KVTokens: 100, PrefillPerSecond: 1000, CachedPrefixes: 1})
		is.True(b.acquire(ctx, 2, 60))
		order := make(chan int, 3)
		for _, priority := range []int{4, 0, 3} {
			go func() {
				if b.acquire(ctx, priority, 50) {
					order <- priority
				}
			}()
			synctest.Wait()
		}
		is.Equal(len(order), 0) // There is a free slot, but not enough KV cache.
		b.release(60)
		synctest.Wait()
		is.Equal(len(order), 2)
		is.Equal(<-order+<-order, 3) // Priorities 0 and 3.
		cancel()
		synctest.Wait()
		b.release(50)
		b.release(50)
		is.Equal(b.running, 0)
		is.Equal(len(b.waiting), 0)

		prompt := func(text string) api.CompletionRequest {
			content, _ := json.Marshal(strings.Repeat(text, 2000))
			return api.CompletionRequest{Messages: []api.ChatMessage{{Content: content}}}
		}
		is.Equal(b.prefill(prompt("a")), 501*time.Millisecond)
		is.Equal(b.prefill(prompt("a")), 245*time.Millisecond)
		is.Equal(b.prefill(prompt("b")), 501*time.Millisecond)
		is.Equal(b.prefill(prompt("a")), 501*time.Millisecond)
	})
}
