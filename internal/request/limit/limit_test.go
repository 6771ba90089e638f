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
	const entries, seconds, rate, concurrency = 7, 10, 50, 20
	most, least := 0, rate*seconds*2
	for seed := uint64(1); seed <= 20; seed++ {
		random := rand.New(rand.NewPCG(seed, 1))
		var tables []*limit.Limiter
		for range entries {
			tables = append(tables, limit.New())
		}
		ask := limit.Request{
			Customer: "school", Instances: entries, WindowSeconds: 3600,
			Limits: configuration.Limits{RequestsPerSecond: rate, Concurrency: concurrency},
		}
		now := time.Unix(3600, 0)
		passed := 0
		open := make([]int, entries)
		for range seconds * 1000 {
			now = now.Add(time.Millisecond)
			at := random.IntN(entries)
			if tables[at].Acquire(now, ask) == nil {
				passed++
				open[at]++
			}
			total := 0
			for _, count := range open {
				total += count
			}
			if total > concurrency+entries-1 {
				t.Fatalf("seed %d: %d open requests, bound %d", seed, total, concurrency+entries-1)
			}
			if end := random.IntN(entries); open[end] > 0 {
				open[end]--
				tables[end].Release(now, ask, 1)
			}
		}
		if bound := rate*seconds + rate + entries; passed > bound {
			t.Fatalf("seed %d: %d requests passed in %d s, bound %d", seed, passed, seconds, bound)
		}
		most, least = max(most, passed), min(least, passed)
	}
	t.Logf("%d entries, limit %d a second: %d to %d requests in %d s", entries, rate, least, most, seconds)
	if least < rate*seconds*9/10 {
		t.Fatalf("only %d of %d requests passed", least, rate*seconds)
	}
}

func TestTokensPerWindow(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	table := limit.New()
	ask := limit.Request{Customer: "school", Instances: 2, WindowSeconds: 60, Limits: configuration.Limits{TokensPerWindow: 1000}}
	now := time.Unix(600, 0)
	for spent := ident.Tokens(0); spent < 500; spent += 100 {
		is.Equal(table.Acquire(now, ask), nil)
		table.Release(now, ask, 100)
	}
	refused := table.Acquire(now.Add(15*time.Second), ask) // Half of the limit is this entry's share.
	is.True(refused != nil)
	is.Equal(*refused, limit.Refusal{Reason: limit.Tokens, RetryAfter: 45 * time.Second})
	is.Equal(table.Acquire(now.Add(time.Minute), ask), nil)
}
