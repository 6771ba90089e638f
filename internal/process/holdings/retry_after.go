package holdings

import "time"

// Bounds of the time after which a caller without room may come back.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// heldWeight is the weight of the latest body in the mean time for which bodies are held.
	heldWeight = 0.1
)

func (l *Ledger) recordHeld(duration time.Duration) {
	if l.heldFor == 0 {
		l.heldFor = duration.Seconds()
		return
	}
	l.heldFor += heldWeight * (duration.Seconds() - l.heldFor)
}

// RetryAfter returns when the next complete body is likely released: the mean time for which they are held, divided by their number.
func (l *Ledger) RetryAfter() time.Duration {
	settled := 0
	for _, h := range l.holders {
		if h.kind == Body && h.settled {
			settled++
		}
	}
	expected := time.Duration(l.heldFor / float64(max(settled, 1)) * float64(time.Second))
	return min(max(expected, minRetryAfter), maxRetryAfter)
}
