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

// TestSharedLimits holds the overshoot bounds over several entries that ask nobody, and that the limits can be used.
func TestSharedLimits(t *testing.T) {
	t.Parallel()
	const instances, seconds, rate, concurrency = 7, 10, 50, 20
	most, least := 0, rate*seconds*2
	for seed := uint64(1); seed <= 20; seed++ {
		random := rand.New(rand.NewPCG(seed, 1))
		var limiters []*limit.Limiter
		for range instances {
			limiters = append(limiters, limit.New())
		}
		request := limit.Request{
			Customer: "school", Instances: instances, WindowSeconds: 3600,
			Limits: configuration.Limits{RequestsPerSecond: rate, Concurrency: concurrency},
		}
		now := time.Unix(3600, 0)
		admitted := 0
		active := make([]int, instances)
		for range seconds * 1000 {
			now = now.Add(time.Millisecond)
			at := random.IntN(instances)
			if limiters[at].Acquire(now, request) == nil {
				admitted++
				active[at]++
			}
			total := 0
			for _, count := range active {
				total += count
			}
			if total > concurrency+instances-1 {
				t.Fatalf("seed %d: %d open requests, bound %d", seed, total, concurrency+instances-1)
			}
			if end := random.IntN(instances); active[end] > 0 {
				active[end]--
				limiters[end].Release(now, request, 1)
			}
		}
		if bound := rate*seconds + rate + instances; admitted > bound {
			t.Fatalf("seed %d: %d requests passed in %d s, bound %d", seed, admitted, seconds, bound)
		}
		most, least = max(most, admitted), min(least, admitted)
	}
	t.Logf("%d entries, limit %d a second: %d to %d requests in %d s", instances, rate, least, most, seconds)
	if least < rate*seconds*9/10 {
		t.Fatalf("only %d of %d requests passed", least, rate*seconds)
	}
}

func TestTokensPerWindow(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	limiter := limit.New()
	request := limit.Request{Customer: "school", Instances: 2, WindowSeconds: 60, Limits: configuration.Limits{TokensPerWindow: 1000}}
	now := time.Unix(600, 0)
	for spent := ident.Tokens(0); spent < 500; spent += 100 {
		is.Equal(limiter.Acquire(now, request), nil)
		limiter.Release(now, request, 100)
	}
	refusal := limiter.Acquire(now.Add(15*time.Second), request) // Half of the limit is this entry's share.
	is.True(refusal != nil)
	is.Equal(*refusal, limit.Refusal{Reason: limit.Tokens, RetryAfter: 45 * time.Second})
	is.Equal(limiter.Acquire(now.Add(time.Minute), request), nil)
}
