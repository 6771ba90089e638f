package clock_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/clock"
)

// TestSleep holds that each of the three things ends a wait.
func TestSleep(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	done, cancel := context.WithCancel(t.Context())
	cancel()
	closed := make(chan struct{})
	close(closed)
	began := time.Now()
	clock.Sleep(done, time.Hour, nil)
	clock.Sleep(t.Context(), time.Hour, closed)
	is.True(time.Since(began) < time.Hour)
	clock.Sleep(t.Context(), time.Millisecond, nil)
	is.True(time.Since(began) >= time.Millisecond)
}
