package clock_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/clock"
)

// TestSleep checks that the end of the context, a closed wake channel and the end of the duration each end the wait.
func TestSleep(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	done, cancel := context.WithCancel(t.Context())
	cancel()
	closed := make(chan struct{})
	close(closed)
	start := time.Now()
	clock.Sleep(done, time.Hour, nil)
	clock.Sleep(t.Context(), time.Hour, closed)
	is.True(time.Since(start) < time.Hour)
	clock.Sleep(t.Context(), time.Millisecond, nil)
	is.True(time.Since(start) >= time.Millisecond)
}
