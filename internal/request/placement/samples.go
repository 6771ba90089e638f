package placement

import (
	"time"

	"vanillapond/internal/request/servermodel"
)

// observedSpeed returns the state in the server model of the server that runs the request, nil if there is none or the server has restarted since
// the request was sent. The caller holds the balancer's lock.
func (a *Attempt) observedSpeed() *servermodel.Server {
	if !a.balancer.usesModel() || a.server.ServerStart != a.serverStart {
		return nil
	}
	return a.server.speed
}

// sampleFirstEvent records the time to the first event in the server model; the caller holds the balancer's lock.
func (a *Attempt) sampleFirstEvent(now time.Time) {
	a.stream.Begin(now)
	if speed := a.observedSpeed(); speed != nil {
		speed.ObserveFirstEvent(now, servermodel.FirstEvent{Took: now.Sub(a.sentAt), Tokens: a.unsharedTokens, Ahead: a.ahead})
		a.balancer.speed.rate = a.balancer.model.Service().Rate
	}
}

// Event records a further event of a stream, after the first.
func (a *Attempt) Event(now time.Time) {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	speed := a.observedSpeed()
	if speed == nil || !a.started || a.ended {
		return
	}
	tokens, running := a.balancer.settings.TokensPerEvent, a.server.running()
	known := a.balancer.figures(now, a.server)
	if took, found := a.stream.Next(now, time.Duration(tokens)*known.stepDuration(running)); found {
		speed.ObservePause(now, servermodel.Pause{Took: took, Tokens: tokens, Running: running})
	}
}

// ReportedLoad is what a server says about its load in a response. It contains the requests that were sent before the response.
type ReportedLoad struct {
	// Running and Waiting count the server's requests, and Slots the requests that it runs at a time.
	Running, Waiting, Slots int
	// WorkPercent is how long work takes on the server's machine now, 100 as usual; 0 if the server does not say.
	WorkPercent float64
}

// ReportLoad records what the server says about its load at the head of its response. It returns in which way that is false, as far as it is
// known, also from earlier responses.
func (a *Attempt) ReportLoad(now time.Time, load ReportedLoad) []servermodel.Finding {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	if !a.balancer.usesModel() || a.server.speed == nil {
		a.measureLoad(now, load)
		return nil
	}
	speed := a.observedSpeed()
	if speed == nil {
		return a.server.speed.ObserveFalseLoad(servermodel.OtherIncarnation)
	}
	own := 0
	for other := range a.server.attempts {
		if other.started {
			own++
		}
	}
	findings := speed.ObserveLoad(now, servermodel.Load{
		Requests: load.Running + load.Waiting, Slots: load.Slots, WorkPercent: load.WorkPercent, OwnRunning: own, RegisteredSlots: a.server.Slots,
	})
	if len(findings) == 0 {
		a.measureLoad(now, load)
	}
	return findings
}

// RejectLoad records that the server's load header cannot be read.
func (a *Attempt) RejectLoad() []servermodel.Finding {
	a.balancer.mu.Lock()
	defer a.balancer.mu.Unlock()
	if !a.balancer.usesModel() || a.server.speed == nil {
		return []servermodel.Finding{{Cause: servermodel.Malformed, First: true}}
	}
	return a.server.speed.ObserveFalseLoad(servermodel.Malformed)
}
