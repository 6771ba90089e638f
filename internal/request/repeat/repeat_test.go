package repeat_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"vanillapond/internal/request/repeat"
)

// TestNoWindowExceedsBudget replays bursts of requests and repeats over all entries, and counts every span of the window.
func TestNoWindowExceedsBudget(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		entries := rapid.IntRange(1, 4).Draw(t, "entries")
		config := repeat.Config{Ratio: 0.2, Extra: 12, Window: window, Instances: func() int { return entries }}
		budgets := make([]*repeat.Budget, entries)
		for index := range budgets {
			budgets[index] = repeat.New(config)
		}
		now := time.Unix(1_784_000_000, 0)
		type moment struct {
			at       time.Time
			requests int
			repeats  int
		}
		var history []moment
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond)
			entry := budgets[rapid.IntRange(0, entries-1).Draw(t, "entry")]
			current := moment{at: now}
			for range rapid.IntRange(0, 5).Draw(t, "requests") {
				entry.RecordRequest(now)
				current.requests++
			}
			for range rapid.IntRange(0, 30).Draw(t, "wanted") {
				if entry.Take(now) {
					current.repeats++
				}
			}
			history = append(history, current)
		}
		for first := range history {
			requests, repeats := 0, 0
			for _, each := range history {
				since := each.at.Sub(history[first].at)
				if since >= -window && since < window {
					requests += each.requests
				}
				if since >= 0 && since < window {
					repeats += each.repeats
				}
			}
			if float64(repeats) > 0.2*float64(requests)+12 {
				t.Fatalf("%d repeats for %d requests in the window from step %d on", repeats, requests, first)
			}
		}
	})
}

// TestBudgetRecovers holds that repeats are possible again once the window has passed.
func TestBudgetRecovers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	budget := repeat.New(repeat.Config{Extra: 4, Window: 10 * time.Second, Instances: func() int { return 1 }})
	now := time.Unix(1_784_000_000, 0)
	is.True(budget.Take(now))
	is.True(budget.Take(now))
	is.True(!budget.Take(now.Add(9 * time.Second)))
	is.True(budget.Take(now.Add(11 * time.Second)))
}
