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
	// count is incremented for each crash; guarded by Guard.mu.
	count int
	// down reports whether the backend was down when last checked; guarded by Guard.mu.
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

// crashID identifies the crash that interrupted a request; empty if the backend is still up.
//
// Requests interrupted by the same crash get the same identifier.
func (g *Guard) crashID() suspect.Loss {
	if !g.config.Backend.NotListening() {
		return ""
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.crash.down {
		g.crash.down = true
		g.crash.count++
	}
	return suspect.Loss(fmt.Sprintf("%s/%s/%d", g.config.Endpoint, g.config.Incarnation, g.crash.count))
}

// recordAlive records that the backend has responded, so that its next loss counts as a new crash.
func (g *Guard) recordAlive() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crash.down = false
}

// failStream denies a stream whose response was interrupted. If the backend crashed, it reports the request as a suspect to
// all entries.
func (g *Guard) failStream(stream *link.Incoming, reason string) {
	crash := g.crashID()
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
