package clock

import (
	"context"
	"time"
)

// Sleep waits until the time is over, early is closed or the context is done; a nil early is never closed.
func Sleep(ctx context.Context, wait time.Duration, early <-chan struct{}) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-early:
	case <-ctx.Done():
	}
}
