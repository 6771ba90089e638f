package guard

import (
	"context"
	"fmt"
	"time"

	"vanillapond/internal/connection/link"
	"vanillapond/internal/process/event"
	"vanillapond/internal/process/suspect"
)

// crashState counts the crashes of the backend that this sidecar has seen.
type crashState struct {
	// count only increases; guarded by Guard.mu.
	count int
	// down is set by a crash and cleared once the backend accepts connections again; guarded by Guard.mu.
	down bool
}

// acquireSuspectSlot waits, within the request's time budget, until no other suspect runs at this endpoint.
func (g *Guard) acquireSuspectSlot(ctx context.Context, stream *link.Incoming) bool {
	budget := time.NewTimer(time.Duration(stream.Open.BudgetMS) * time.Millisecond)
	defer budget.Stop()
	select {
	case g.suspectSlot <- struct{}{}:
		return true
	case <-budget.C:
		g.deny(stream, link.Deny{Code: link.DenyLate, NotRun: true, Reason: "another suspect of a crash runs here"})
	case <-ctx.Done():
		g.deny(stream, link.Deny{Code: link.DenyCancelled, NotRun: true, Reason: "cancelled before the start"})
	}
	return false
}

// checkBackend returns the number of crashes seen so far, and false if the backend has not come back since the last one.
//
// A request that starts while the process is gone could get one of its connections whose end is not handled yet, and would then
// count as lost in the crash.
func (g *Guard) checkBackend() (crashes int, up bool) {
	g.mu.Lock()
	crash := g.crash
	g.mu.Unlock()
	if !crash.down {
		return crash.count, true
	}
	if g.config.Backend.RefusesConnections() {
		return crash.count, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.crash.count == crash.count {
		g.crash.down = false
	}
	return crash.count, true
}

// crashID identifies the crash that interrupted a request which started after the given number of crashes; empty if the backend is
// still up.
//
// Requests interrupted by the same crash get the same identifier.
func (g *Guard) crashID(crashesBefore int) suspect.Loss {
	if !g.hasCrashedSince(crashesBefore) {
		if !g.config.Backend.NotListening() {
			return ""
		}
		g.recordCrash(crashesBefore)
	}
	return suspect.Loss(fmt.Sprintf("%s/%s/%d", g.config.Endpoint, g.config.Incarnation, crashesBefore+1))
}

func (g *Guard) hasCrashedSince(crashesBefore int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crash.count > crashesBefore
}

// recordCrash records a crash, unless another request that it interrupted has done so.
func (g *Guard) recordCrash(crashesBefore int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.crash.count > crashesBefore {
		return
	}
	g.crash = crashState{count: crashesBefore + 1, down: true}
	g.config.Backend.CloseIdleConnections()
}

// failStream denies a stream whose response was interrupted. If the backend crashed, it reports the request as a suspect to
// all entries.
func (g *Guard) failStream(stream *link.Incoming, crashesBefore int, reason string) {
	crash := g.crashID(crashesBefore)
	if crash == "" {
		g.deny(stream, link.Deny{Code: link.DenyFailed, Reason: reason})
		return
	}
	suspicion := suspect.Suspicion{
		Digest: stream.Open.Digest, Losses: []suspect.Loss{crash}, EndsUnixMS: time.Now().Add(suspect.Penalty).UnixMilli(),
	}
	g.config.Events.Record(event.Event{
		Name: "endpoint_crashed", Request: stream.Open.Request, Customer: stream.Open.Customer, Class: stream.Open.Class,
		Endpoint: g.config.Endpoint, Version: stream.Open.Version, Detail: string(crash),
		Attributes: []event.Attribute{{Key: "digest", Value: fmt.Sprintf("%016x", uint64(stream.Open.Digest))}},
	})
	if g.config.BroadcastSuspicion != nil {
		g.config.BroadcastSuspicion(suspicion)
	}
	g.deny(stream, link.Deny{Code: link.DenyCrashed, Reason: reason, Loss: crash})
}
