package clock

import (
	"context"
	"time"
)

// timeoutPollInterval is how late the end of a timeout may be noticed after a suspension.
const timeoutPollInterval = 20 * time.Millisecond

// WithTimeout is like context.WithTimeout, but by a clock that advances while the machine is suspended, such as Boot.
func WithTimeout(parent context.Context, now func() Reading, timeout time.Duration) (context.Context, context.CancelFunc) {
	end := now().Add(timeout)
	ctx, cancel := context.WithTimeout(parent, timeout)
	go func() {
		ticker := time.NewTicker(timeoutPollInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				if now() >= end {
					cancel()
					return
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	return ctx, cancel
}
