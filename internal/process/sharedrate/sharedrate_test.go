package sharedrate_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/sharedrate"
)

var (
	epoch  = time.Unix(1_784_000_000, 0)
	config = sharedrate.Config{Window: 4 * time.Second, Overage: 1.5, Slack: 5}
)

// TestUnusedTurnsLapse checks that instances that have had no requests for a long time do not all send one at the same moment.
func TestUnusedTurnsLapse(t *testing.T) {
	t.Parallel()
	for _, count := range []int{1, 4, 30, 410} {
		for _, rate := range []sharedrate.Rate{0, 0.3, 1, 7, 100} {
			taken := 0
			for rank := range count {
				limiter := sharedrate.New(config)
				limiter.Set(epoch, rate, sharedrate.Share{Rank: rank, Count: count})
				for limiter.Take(epoch.Add(time.Hour)) {
					taken++
				}
			}
			if allowed := (1.5-1)*float64(rate)*4 + 5; float64(taken) > allowed {
				t.Errorf("%d instances, rate %v: took %d turns at once, want at most %v", count, rate, taken, allowed)
			}
		}
	}
}

// TestShareIsUsed checks that an instance that always has requests gets its share of the rate, and an isolated one less, but some.
func TestShareIsUsed(t *testing.T) {
	t.Parallel()
	random := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		share := sharedrate.Share{Count: 1 + random.IntN(40)}
		share.Rank = random.IntN(share.Count)
		rate := sharedrate.Rate(0.25 + 20*random.Float64())
		for _, isolated := range []bool{false, true} {
			share.Isolated = isolated
			limiter := sharedrate.New(config)
			limiter.Set(epoch, rate, share)
			const duration, step = 20 * time.Minute, 50 * time.Millisecond
			taken := 0
			for at := time.Duration(0); at < duration; at += step {
				for limiter.Take(epoch.Add(at)) {
					taken++
				}
			}
			expected := float64(rate) * duration.Seconds() / float64(share.Count)
			if isolated {
				expected /= 4
			}
			if float64(taken) > expected+1 || float64(taken) < expected-1-float64(rate)*step.Seconds() {
				t.Errorf("rate %v, %+v: took %d turns, want about %v", rate, share, taken, expected)
			}
		}
	}
}

// TestUnknownFleetHasNoTurns checks that an instance that does not know the others yet does not take the whole rate.
func TestUnknownFleetHasNoTurns(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	limiter := sharedrate.New(config)
	limiter.Set(epoch, 10, sharedrate.Share{})
	is.True(!limiter.Available(epoch.Add(time.Minute)))
	limiter.Set(epoch.Add(time.Minute), 10, sharedrate.Share{Count: 2})
	is.True(limiter.Available(epoch.Add(time.Minute + 200*time.Millisecond)))
}

// TestClockSetBack checks that a clock that is set back neither gives turns anew nor takes them until it has caught up.
func TestClockSetBack(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	limiter := sharedrate.New(config)
	limiter.Set(epoch, 1, sharedrate.Share{Count: 1})
	taken := 0
	for at := time.Duration(0); at < 10*time.Second; at += 100 * time.Millisecond {
		if limiter.Take(epoch.Add(at)) {
			taken++
		}
	}
	is.True(!limiter.Take(epoch.Add(-time.Minute)))
	is.True(limiter.Take(epoch.Add(-time.Minute + 1100*time.Millisecond)))
	is.True(taken <= 10)
}
