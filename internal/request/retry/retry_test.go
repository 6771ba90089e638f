package retry_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"vanillapond/internal/process/clock"
	"vanillapond/internal/request/retry"
)

// wholeShare is the share of a single instance.
func wholeShare() float64 { return 1 }

// TestNoWindowExceedsBudget checks that, for bursts of requests and retries at all router instances, no interval as long as
// the window has more retries than the budget allows.
func TestNoWindowExceedsBudget(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		instances := rapid.IntRange(1, 4).Draw(t, "entries")
		now := clock.Reading(time.Hour)
		config := retry.Config{Ratio: 0.2, Extra: 12, Window: window, Share: func() float64 { return 1 / float64(instances) }, Start: now}
		budgets := make([]*retry.Budget, instances)
		for index := range budgets {
			budgets[index] = retry.New(config)
		}
		type step struct {
			at       clock.Reading
			requests int
			retries  int
		}
		var history []step
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
			budget := budgets[rapid.IntRange(0, instances-1).Draw(t, "entry")]
			current := step{at: now}
			for range rapid.IntRange(0, 100).Draw(t, "requests") {
				budget.RecordRequest(now)
				current.requests++
			}
			for range rapid.IntRange(0, 30).Draw(t, "wanted") {
				if budget.Take(now) {
					current.retries++
				}
			}
			history = append(history, current)
		}
		for first := range history {
			retries := 0
			// requests are those of the window, of the one half a window before it and of the one before it.
			var requests [3]int
			for _, each := range history {
				since := each.at.Sub(history[first].at)
				if since >= 0 && since < window {
					retries += each.retries
				}
				for earlier := range requests {
					if from := -window / 2 * time.Duration(earlier); since >= from && since < from+window {
						requests[earlier] += each.requests
					}
				}
			}
			if most := slices.Max(requests[:]); float64(retries) > 0.2*float64(most)+12 {
				t.Fatalf("%d retries for %d requests in the window that starts at step %d, more than the budget", retries, most, first)
			}
		}
	})
}

// TestBudgetRecovers checks that an instance that always has retries to make gets the fixed number in each window, whatever it used before.
func TestBudgetRecovers(t *testing.T) {
	t.Parallel()
	const (
		window = 10 * time.Second
		extra  = 40
	)
	start := clock.Reading(time.Hour)
	budget := retry.New(retry.Config{Extra: extra, Window: window, Share: wholeShare, Start: start})
	var taken []clock.Reading
	for at := start; at < start.Add(6*window); at = at.Add(50 * time.Millisecond) {
		for budget.Take(at) {
			taken = append(taken, at)
		}
	}
	for from := start; from < start.Add(5*window); from = from.Add(time.Second) {
		count := 0
		for _, at := range taken {
			if at >= from && at < from.Add(window) {
				count++
			}
		}
		if count > extra || from >= start.Add(2*window) && count < extra*8/10 {
			t.Errorf("%d retries in the window from %v, want at most %d and, after two windows, most of them", count, from.Sub(start), extra)
		}
	}
}

// TestRestartEarnsAnew checks that an instance that is killed again and again does not get the fixed number once a start.
func TestRestartEarnsAnew(t *testing.T) {
	t.Parallel()
	const (
		window = 10 * time.Second
		extra  = 20
	)
	taken := 0
	for at := clock.Reading(time.Hour); at < clock.Reading(time.Hour+window); at = at.Add(time.Second) {
		budget := retry.New(retry.Config{Extra: extra, Window: window, Share: wholeShare, Start: at})
		for step := range 10 {
			for budget.Take(at.Add(time.Duration(step) * 100 * time.Millisecond)) {
				taken++
			}
		}
	}
	if taken > extra {
		t.Errorf("%d retries in a window with ten starts, want at most %d", taken, extra)
	}
}

// TestDecisions checks that each decision is reported, and a budget that is used up once a second.
func TestDecisions(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var decisions []retry.Decision
	now := clock.Reading(time.Hour)
	budget := retry.New(retry.Config{
		Extra: 2.5, Window: 10 * time.Second, Share: wholeShare, Start: now.Add(-time.Minute),
		OnDecision: func(decision retry.Decision) { decisions = append(decisions, decision) },
	})
	budget.RecordRequest(now)
	is.True(budget.Take(now))
	for _, after := range []time.Duration{0, 500 * time.Millisecond, time.Second} {
		is.True(!budget.Take(now.Add(after)))
	}
	usedUp := retry.Decision{UsedUp: true, Requests: 1, Retries: 1}
	is.Equal(decisions, []retry.Decision{{Allowed: true}, usedUp, {}, usedUp})
}
