package limit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/request/limit"
	"vanillapond/pkg/configuration"
	"vanillapond/pkg/ident"
)

// TestSharedLimits checks that several entries without coordination stay within the overshoot bounds of the limits,
// and that customers can use almost all of their rate.
func TestSharedLimits(t *testing.T) {
	t.Parallel()
	const entries, seconds, rate, concurrency = 7, 10, 50, 20
	most, least := 0, rate*seconds*2
	for seed := uint64(1); seed <= 20; seed++ {
		random := rand.New(rand.NewPCG(seed, 1))
		var limiters []*limit.Limiter
		for range entries {
			limiters = append(limiters, limit.New())
		}
		request := limit.Request{
			Customer: "school", Entries: entries, WindowSeconds: 3600,
			Limits: configuration.Limits{RequestsPerSecond: rate, Concurrency: concurrency},
		}
		now := time.Unix(3600, 0)
		admitted := 0
		active := make([]int, entries)
		for range seconds * 1000 {
			now = now.Add(time.Millisecond)
			at := random.IntN(entries)
			if limiters[at].Acquire(now, request) == nil {
				admitted++
				active[at]++
			}
			total := 0
			for _, count := range active {
				total += count
			}
			if total > concurrency+entries-1 {
				t.Fatalf("seed %d: %d requests in flight, want at most %d", seed, total, concurrency+entries-1)
			}
			if end := random.IntN(entries); active[end] > 0 {
				active[end]--
				limiters[end].Release(now, request, 1)
			}
		}
		if bound := rate*seconds + rate + entries; admitted > bound {
			t.Fatalf("seed %d: %d requests admitted in %d s, want at most %d", seed, admitted, seconds, bound)
		}
		most, least = max(most, admitted), min(least, admitted)
	}
	t.Logf("%d entries, limit %d per second: %d to %d requests admitted in %d s", entries, rate, least, most, seconds)
	if least < rate*seconds*9/10 {
		t.Fatalf("only %d of %d requests admitted, want at least 9 of 10", least, rate*seconds)
	}
}

func TestTokensPerWindow(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	limiter := limit.New()
	request := limit.Request{Customer: "school", Entries: 2, WindowSeconds: 60, Limits: configuration.Limits{TokensPerWindow: 1000}}
	now := time.Unix(600, 0)
	for spent := ident.Tokens(0); spent < 500; spent += 100 {
		is.Equal(limiter.Acquire(now, request), nil)
		limiter.Release(now, request, 100)
	}
	refusal := limiter.Acquire(now.Add(15*time.Second), request) // This entry's share is half of the limit.
	is.True(refusal != nil)
	is.Equal(*refusal, limit.Refusal{Reason: limit.Tokens, RetryAfter: 45 * time.Second})
	is.Equal(limiter.Acquire(now.Add(time.Minute), request), nil)
}
