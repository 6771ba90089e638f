// Package grace tells the requests of a process that stops until when each must have its answer.
package grace

import (
	"context"
	"sync/atomic"
	"time"
)

// Period is the time between the request to stop a process and its end. A nil Period never begins.
type Period struct {
	// bounds is nil until the period begins.
	bounds atomic.Pointer[bounds]
	// ended is done from the time on by which all requests must have their answers.
	ended context.Context
	end   context.CancelFunc
}

type bounds struct{ acceptUntil, answerBy time.Time }

// New returns a period that has not begun.
func New() *Period {
	ended, end := context.WithCancel(context.Background())
	return &Period{ended: ended, end: end}
}

// Begin begins the period, once. Until acceptUntil requests may come whose callers cannot know that the process stops; by answerBy all must have their
// answers.
func (p *Period) Begin(acceptUntil, answerBy time.Time) {
	p.bounds.Store(&bounds{acceptUntil: acceptUntil, answerBy: answerBy})
	timer := time.NewTimer(time.Until(answerBy))
	go func() {
		<-timer.C
		p.end()
	}()
}

// HasBegun reports whether the process stops.
func (p *Period) HasBegun() bool { return p != nil && p.bounds.Load() != nil }

// Accepts reports whether a request may begin to run that needs so much time, 0 if that is not known, and that its caller gives up at the deadline. Once the
// callers know that the process stops, it must be certain that the request ends in time.
func (p *Period) Accepts(now, deadline time.Time, work time.Duration) bool {
	if !p.HasBegun() {
		return true
	}
	bounds := p.bounds.Load()
	switch {
	case !now.Before(bounds.answerBy):
		return false
	case !deadline.After(bounds.answerBy):
		return true
	default:
		return !now.After(bounds.acceptUntil) && !now.Add(work).After(bounds.answerBy)
	}
}

// Ended returns a context that is done once all requests must have their answers.
func (p *Period) Ended() context.Context {
	if p == nil {
		return context.Background()
	}
	return p.ended
}
