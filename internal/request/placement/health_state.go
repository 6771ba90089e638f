package placement

import (
	"time"

	"vanillapond/pkg/ident"
)

// HealthState is a server's state by the results of all instances' requests.
type HealthState string

// States of servers.
const (
	// Healthy servers get requests by their load alone.
	Healthy HealthState = "healthy"
	// Suspect servers get requests when the others are full; those whose connections broke or were refused get none that must not run twice.
	Suspect HealthState = "suspect"
	// Ejected servers get single requests of one instance.
	Ejected HealthState = "ejected"
	// OnTrial servers have completed a request since they were ejected; each instance sends one request at a time that may run twice.
	OnTrial HealthState = "on_trial"
)

// Cause is why a server is not healthy.
type Cause string

// Causes of states. CauseBroken means broken connections and invalid responses, CauseErrors error responses of the server.
const (
	CauseNone    Cause = ""
	CauseRefused Cause = "refused"
	CauseBroken  Cause = "broken"
	CauseErrors  Cause = "errors"
	CauseSlow    Cause = "slow"
)

const (
	// suspectTime is the shortest time for which a server is suspect.
	suspectTime = 300 * time.Millisecond
	// longTrial is the time after which a server passes its trial although it got too few requests to decide, unless its score is above clearedScore.
	longTrial = time.Second
)

// HealthEvent is a change of a server's state.
type HealthEvent struct {
	At     time.Time
	Server ident.Endpoint
	// State is the new state and Previous the one before. Cause is why the server is, or was, not healthy.
	State, Previous HealthState
	Cause           Cause
	// Instances counts the instances whose results show the cause.
	Instances int
	// Total are the counts of all instances.
	Total ServerCounts
}

// condition is a server's state and since when it has been in it.
type condition struct {
	state HealthState
	cause Cause
	// instances counts the instances whose results show the cause.
	instances int
	since     time.Time
}

// findings are what all instances' results say about a server now.
type findings struct {
	// cause is that of the highest score, or CauseRefused if refused is set, and instances counts the instances whose results show it.
	cause     Cause
	score     float64
	instances int
	// passed means that the results since the server is on trial are good enough, by the cause of its ejection.
	passed bool
	// suspected means that more than half of the instances suspect the server. Once most of them do, it gets too few requests for the others to find out.
	suspected bool
	// refused means that the server refuses connections.
	refused bool
	// confirmed means that enough instances have seen the cause to eject the server.
	confirmed bool
	// unproven means that no request has succeeded since a connection broke or was refused.
	unproven bool
	// succeeded is when the newest request that succeeded was sent, and failed when a connection last broke or was refused, at any instance.
	succeeded, failed time.Time
}

// next returns the state that follows from the findings, without the limit of ejected servers.
func (c *condition) next(now time.Time, f findings) HealthState {
	switch c.state {
	case Ejected:
		// Instances that have not ejected the server yet may still have successes there.
		if f.succeeded.After(latest(c.since.Add(trialWait), f.failed)) {
			return OnTrial
		}
		return Ejected
	case OnTrial:
		switch {
		case f.failed.After(c.since), f.score >= failScore:
			return Ejected
		case f.passed, now.Sub(c.since) >= longTrial && f.score <= clearedScore:
			return Healthy
		default:
			return OnTrial
		}
	default:
		switch {
		case f.confirmed && (f.refused || f.score >= ejectScore):
			return Ejected
		case f.score >= suspectScore, f.suspected, f.unproven, c.state == Suspect && (f.score > clearedScore || now.Sub(c.since) < suspectTime):
			return Suspect
		default:
			return Healthy
		}
	}
}
