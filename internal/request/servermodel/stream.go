package servermodel

import "time"

const (
	// shortPause is the fraction of the expected pause below which an event follows one that was delivered late, as when the router had no
	// processor time; both pauses are then taken together, but no more, so that a server that became faster is noticed.
	shortPause = 0.6
	// joinedPause is the fraction below which events were delivered together, at most maxJoined of them.
	joinedPause = 0.1
	maxJoined   = 8
)

// Stream turns the times of a stream's events into samples. The first pause is left out, because the first event may have fewer tokens, and so
// is the last one, because the last event has.
type Stream struct {
	lastAt time.Time
	// held is the sum of the last pauses and heldEvents their number; they are a sample once a further event follows.
	held       time.Duration
	heldEvents int
	// isFirst is set while the held pauses contain the first one.
	isFirst bool
}

// Begin records the time of the first event.
func (s *Stream) Begin(now time.Time) { *s = Stream{lastAt: now, isFirst: true} }

// Next records a further event; expected is the expected pause. It returns the mean of earlier pauses if they are a sample.
func (s *Stream) Next(now time.Time, expected time.Duration) (time.Duration, bool) {
	pause := now.Sub(s.lastAt)
	s.lastAt = now
	fraction := float64(pause) / float64(max(expected, 1))
	if s.heldEvents == 1 && fraction < shortPause || s.heldEvents > 0 && s.heldEvents < maxJoined && fraction < joinedPause {
		s.held += pause
		s.heldEvents++
		return 0, false
	}
	sample, found := time.Duration(0), s.heldEvents > 0 && !s.isFirst
	if found {
		sample = s.held / time.Duration(s.heldEvents)
	}
	s.isFirst = s.isFirst && s.heldEvents == 0
	s.held, s.heldEvents = pause, 1
	return sample, found
}
