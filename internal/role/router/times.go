package router

import (
	"time"

	"vanillapond/platform"
)

// Times and shares of a router; bounds that the operator has promised come from the settings.
const (
	// storeTimeout bounds a call to the store: some hundred times its usual answer, so that a slow one still comes.
	storeTimeout = 1200 * time.Millisecond
	// configPollFraction is the part of the time in which a withdrawn key must stop working for which a question for a new
	// configuration waits. Knowledge counts from when the store gave its last answer, so that it grows as old as one question
	// takes; the rest up to unreadyShare is for a slow answer.
	configPollFraction = 0.45
	// maxServersPollTimeout bounds how long a question for changed servers waits. Changes come at once; a longer wait saves calls, and
	// finds a dead connection later.
	maxServersPollTimeout = 5 * time.Second
	// minPollTimeout is the least wait of a question, whatever the bounds: a shorter one would only make more calls.
	minPollTimeout = 250 * time.Millisecond
	// pollResumeTime is how long the next question takes after one was given up: a pause, an answer, and some room.
	pollResumeTime = 500 * time.Millisecond
	// serversBatchDelay is how long changes of servers are gathered: a fleet that starts enters itself one by one.
	serversBatchDelay = 400 * time.Millisecond
	// reregistrationTime is how long servers have to enter themselves again after the store was away, with a little room.
	reregistrationTime = 2300 * time.Millisecond
	// minOutageHeartbeats is the least number of heartbeats without an answer of the store after which entries of living servers may
	// have lapsed: the third silent heartbeat ends an entry, and the first may have been due as the outage began.
	minOutageHeartbeats = 2
	// sweepInterval is the time between two looks for lapsed servers and idle connections.
	sweepInterval = 250 * time.Millisecond
	// sendDelay is room for what passes between the choice of a server and the sending of the request.
	sendDelay = 100 * time.Millisecond
	// keyStaleFraction is the part of the time in which a withdrawn key must stop working during which old knowledge is trusted.
	keyStaleFraction = 0.8
	// retryFraction is the part of the budget of repeats that entries use, so that their counts need not agree exactly.
	retryFraction = 0.8
	// connectionFraction is the part of a server's connections that entries use, so that a new entry finds some free.
	connectionFraction = 0.8
	// minConnections is the least number of connections to a server, whatever the fleet's size.
	minConnections = 2
	// usageWriteFraction is the part of the time in which usage is due that may pass between two writes of an entry's counts.
	usageWriteFraction = 0.33
	// dialTimeout bounds a new connection to a server.
	dialTimeout = 500 * time.Millisecond
	// callerWriteTimeout bounds how long a caller may leave bytes untaken.
	callerWriteTimeout = 5 * time.Second
	// drainAcceptTime is how long a stopping process takes new connections: until the balancer has asked twice, once a second.
	drainAcceptTime = 3 * time.Second
	// stopReserve is the end of the grace time in which nothing is waited for any more.
	stopReserve = 600 * time.Millisecond
	// journalTimeout bounds the writing of the last log lines.
	journalTimeout = 100 * time.Millisecond
	// unreadyFraction is the part of the time in which a withdrawn key must stop working after which a process with old
	// knowledge asks for no new connections; it still takes keys on those that it has.
	// Such a process tells no caller that a route or key does not exist.
	unreadyFraction = 0.6
)

// usageLease names the lease of the process that reports usage.
const usageLease = "usage"

// fraction returns a part of a time.
func fraction(f float64, bound time.Duration) time.Duration { return time.Duration(f * float64(bound)) }

// missingServerTimeout returns for how long after the store's return servers whose entries are missing are used at most, so that none
// is when the disturbance counts as over; 0 means that no such bound is known.
func missingServerTimeout(bounds platform.Bounds) time.Duration {
	if bounds.Contact == 0 {
		return 0
	}
	return max(bounds.Contact-sweepInterval-sendDelay, sweepInterval)
}

// serversPollTimeout returns how long a question for changed servers waits.
func serversPollTimeout(bounds platform.Bounds) time.Duration {
	return capToContact(bounds, maxServersPollTimeout)
}

// configPollTimeout returns how long a question for a new configuration waits.
func configPollTimeout(bounds platform.Bounds) time.Duration {
	return capToContact(bounds, fraction(configPollFraction, bounds.Revoke))
}

// capToContact shortens a question's wait so that one whose answer was lost in a disturbance is asked again before the
// disturbance counts as over: from then on, what happened meanwhile must be known.
func capToContact(bounds platform.Bounds, timeout time.Duration) time.Duration {
	if bounds.Contact == 0 {
		return timeout
	}
	return min(timeout, max(bounds.Contact-storeTimeout-pollResumeTime, minPollTimeout))
}
