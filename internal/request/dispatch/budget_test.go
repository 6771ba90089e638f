package dispatch

import (
	"testing"

	"github.com/matryer/is"
)

// TestRetryBudget holds that repeats stay a small share of the load, and stop soon under a full outage.
func TestRetryBudget(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b := newBudget()
	retries := 0
	for range 10000 {
		if b.take() {
			retries++
		}
	}
	is.Equal(retries, maxSavedRetries)
	const served = 1000
	retries = 0
	for range served {
		b.credit()
		if b.take() {
			retries++
		}
	}
	is.True(retries <= served/10)
}
