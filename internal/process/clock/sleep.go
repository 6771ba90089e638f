package clock

import (
	"context"
	"time"
)

// Sleep waits for the duration, or until wake is closed or the context is done; a nil wake never ends the wait.
func Sleep(ctx context.Context, wait time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-ctx.Done():
	}
}
