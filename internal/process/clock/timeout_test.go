package clock_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/clock"
)

// TestWithTimeout guards against a timeout that lasts longer because the machine was suspended.
func TestWithTimeout(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		// suspension passes on the clock 1 s after the start.
		suspension, want time.Duration
	}{
		{name: "running", want: 10 * time.Second},
		{name: "suspended for a while", suspension: 4 * time.Second, want: 6 * time.Second},
		{name: "suspended beyond the end", suspension: time.Hour, want: time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				start := time.Now()
				now := func() clock.Reading {
					elapsed := time.Since(start)
					if elapsed >= time.Second {
						elapsed += c.suspension
					}
					return clock.Reading(elapsed)
				}
				ctx, cancel := clock.WithTimeout(t.Context(), now, 10*time.Second)
				defer cancel()
				<-ctx.Done()
				late := time.Since(start) - c.want
				is.True(late >= 0 && late <= 50*time.Millisecond)
			})
		})
	}
}
