package guard

import (
	"context"
	"fmt"
	"time"

	"vanillapond/internal/connection/link"
	"vanillapond/internal/process/event"
	"vanillapond/internal/process/suspect"
)

// crashes names the losses of the back end beside the sidecar.
type crashes struct {
	// count goes up with each crash that was seen; guarded by Guard.mu.
	count int
	// down says that the back end was last seen gone; guarded by Guard.mu.
	down bool
}

// aloneAmongSuspects waits until no other suspect runs here, within the request's budget.
func (g *Guard) aloneAmongSuspects(ctx context.Context, stream *link.Incoming) bool {
	budget := time.NewTimer(time.Duration(stream.Open.BudgetMS) * time.Millisecond)
	defer budget.Stop()
	select {
	case g.suspects <- struct{}{}:
		return true
	case <-budget.C:
		g.deny(stream, link.Deny{Code: link.DenyLate, NotRun: true, Reason: "another suspect of a crash runs here"})
	case <-ctx.Done():
		g.deny(stream, link.Deny{Code: link.DenyCancelled, NotRun: true, Reason: "cancelled before the start"})
	}
	return false
}

// loss returns the name of the crash that cut a request, or nothing where the back end lives.
func (g *Guard) loss() suspect.Loss {
	if !g.config.Backend.NotListening() {
		return ""
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.crashes.down {
		g.crashes.down = true
		g.crashes.count++
	}
	return suspect.Loss(fmt.Sprintf("%s/%s/%d", g.config.Endpoint, g.config.Incarnation, g.crashes.count))
}

// lives notes that the back end has answered.
func (g *Guard) lives() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashes.down = false
}

// cut ends a stream whose back end broke off, and tells every entry if it crashed.
func (g *Guard) cut(stream *link.Incoming, reason string) {
	loss := g.loss()
	if loss == "" {
		g.deny(stream, link.Deny{Code: link.DenyFailed, Reason: reason})
		return
	}
	suspicion := suspect.Suspicion{
		Digest: stream.Open.Digest, Losses: []suspect.Loss{loss}, EndsUnixMS: time.Now().Add(suspect.Penalty).UnixMilli(),
	}
	g.config.Events.Record(event.Event{
		Name: "endpoint_crashed", Request: stream.Open.Request, Customer: stream.Open.Customer, Class: stream.Open.Class,
		Endpoint: g.config.Endpoint, Version: stream.Open.Version, Detail: string(loss),
		Attributes: []event.Attribute{{Key: "digest", Value: fmt.Sprintf("%016x", uint64(stream.Open.Digest))}},
	})
	if g.config.BroadcastSuspicion != nil {
		g.config.BroadcastSuspicion(suspicion)
	}
	g.deny(stream, link.Deny{Code: link.DenyCrashed, Reason: reason, Loss: loss})
}
