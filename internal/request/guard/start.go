package guard

import (
	"context"
	"time"

	"vanillapond/internal/connection/link"
	"vanillapond/internal/process/clock"
)

// checkStart looks again, after any wait, at everything that could have ended the request, and returns the denial if one has.
//
// The times run from the entry's sending on a clock that counts through stops; timers alone may be late after one.
func (g *Guard) checkStart(ctx context.Context, stream *link.Incoming) *link.Deny {
	if !stream.Alive(ctx) {
		return &link.Deny{Code: link.DenyCancelled, NotRun: true, Reason: "the entry has gone"}
	}
	if ctx.Err() != nil {
		return &link.Deny{Code: link.DenyCancelled, NotRun: true, Reason: "cancelled before the start"}
	}
	waited := clock.Boot().Sub(stream.Sent)
	if waited > time.Duration(stream.Open.BudgetMS)*time.Millisecond {
		return &link.Deny{Code: link.DenyLate, NotRun: true, Reason: "the time to the first byte is over"}
	}
	if !g.startLog.begin(requestKey{entry: stream.Entry().Incarnation, request: stream.Open.Request}, clock.Boot()) {
		return &link.Deny{Code: link.DenyCancelled, NotRun: true, Reason: "the entry was told that the request did not run"}
	}
	return nil
}
