package router

import (
	"time"

	"vanillapond/platform"
)

// Timeouts and fractions of a router. The bounds that the operator guarantees to callers come from the settings.
const (
	// storeTimeout bounds a call to the store. It is about a hundred times the usual response time, so that slow responses are
	// still received.
	storeTimeout = 1200 * time.Millisecond
	// configPollFraction is the fraction of the revocation bound for which a long poll for a new configuration waits. The
	// revocation bound (Bounds.Revoke) is the time within which a withdrawn key must stop working. The age of the configuration
	// counts from the store's last response, so that it grows to the duration of one poll; the rest up to keyStaleFraction is left
	// for a slow response and the balancer.
	configPollFraction = 0.45
	// maxServersPollTimeout bounds a long poll for changes of servers. The store responds to a change at once. A longer timeout saves
	// calls, but a dead connection is detected later.
	maxServersPollTimeout = 5 * time.Second
	// verdictsPollTimeout bounds a long poll for verdicts on prompt parts, which also come by gossip.
	verdictsPollTimeout = 10 * time.Second
	// minPollTimeout is the lower bound of a long poll's timeout, whatever the operator's bounds: a shorter timeout would only cause
	// more calls.
	minPollTimeout = 250 * time.Millisecond
	// pollResumeTime is the time that the next poll takes after one that failed: the pause before it, its response, and a margin.
	pollResumeTime = 500 * time.Millisecond
	// serversBatchDelay is the pause after a change of servers, in which further changes are batched: the servers of a starting
	// fleet register one by one.
	serversBatchDelay = 400 * time.Millisecond
	// reregistrationTime is how long servers have to register again after an outage of the store, with a little margin.
	reregistrationTime = 2300 * time.Millisecond
	// minOutageHeartbeats is the minimum number of heartbeat intervals without a response from the store after which registrations
	// of live servers may have lapsed: a registration lapses after three missed heartbeats, and the first may have been due just as
	// the outage began.
	minOutageHeartbeats = 2
	// sweepInterval is the time between two sweeps for lapsed servers and idle connections.
	sweepInterval = 250 * time.Millisecond
	// sendDelay allows for the time between the choice of a server and the sending of the request.
	sendDelay = 100 * time.Millisecond
	// keyStaleFraction is the fraction of the revocation bound up to which keys are accepted on the basis of a stale configuration.
	keyStaleFraction = 0.8
	// retryFraction is the fraction of the retry budget that the router instances use together. The rest is a margin: their views of the
	// number of instances need not agree exactly, and an instance may be suspended while it sends a retry.
	retryFraction = 0.9
	// connectionFraction is the fraction of a server's connection limit that the router instances use together, so that a new
	// instance finds some connections free.
	connectionFraction = 0.8
	// minConnections is the minimum number of connections to a server, however many router instances there are.
	minConnections = 2
	// usageWriteFraction is the fraction of the time until a usage report is due (Bounds.UsageLate) that may pass between two writes
	// of an instance's counts.
	usageWriteFraction = 0.33
	// dialTimeout bounds the time to connect to a server.
	dialTimeout = 500 * time.Millisecond
	// callerWriteTimeout bounds how long a write to a caller may block because the caller does not read.
	callerWriteTimeout = 5 * time.Second
	// drainAcceptTime is how long a stopping instance still accepts new connections: until the load balancer, which probes once a
	// second, has probed its readiness twice.
	drainAcceptTime = 3 * time.Second
	// stopReserve is the time kept free at the end of the grace period. Requests that are still running when it begins are aborted;
	// the last write of the usage counts may take its first half.
	stopReserve = 600 * time.Millisecond
	// answerReserve is the time before that in which callers whose requests still run get an answer: the write of some bytes on a busy machine.
	answerReserve = 150 * time.Millisecond
	// journalTimeout bounds the time to write the last log lines.
	journalTimeout = 100 * time.Millisecond
)

// usageLease is the name of the lease whose holder reports usage.
const usageLease = "usage"

// fraction returns the given fraction of a duration.
func fraction(f float64, bound time.Duration) time.Duration { return time.Duration(f * float64(bound)) }

// missingServerTimeout returns for how long after the end of a store outage servers without a registration are used at most. It
// is short enough that none is used any more when the recovery bound (Bounds.Contact) has passed; 0 means that this bound is
// unknown.
func missingServerTimeout(bounds platform.Bounds) time.Duration {
	if bounds.Contact == 0 {
		return 0
	}
	return max(bounds.Contact-sweepInterval-sendDelay, sweepInterval)
}

// serversPollTimeout returns the timeout of a long poll for changes of servers.
func serversPollTimeout(bounds platform.Bounds) time.Duration {
	return capToRecoveryBound(bounds, maxServersPollTimeout)
}

// configPollTimeout returns the timeout of a long poll for a new configuration.
func configPollTimeout(bounds platform.Bounds) time.Duration {
	return capToRecoveryBound(bounds, fraction(configPollFraction, bounds.Revoke))
}

// overdueAge returns the age of the configuration from which on the response to the poll for a newer one is overdue. The instance is then cut off from the
// store, or the store is down: it reports not ready, so that new connections go to instances that can still check keys. It still accepts known keys on its
// open connections, but no longer responds that a route or key does not exist.
func overdueAge(bounds platform.Bounds) time.Duration {
	return min(configPollTimeout(bounds)+storeTimeout, fraction(keyStaleFraction, bounds.Revoke))
}

// capToRecoveryBound shortens a poll timeout so that a poll whose response was lost in a fault is repeated before the
// recovery bound (Bounds.Contact) has passed: from then on, changes made during the fault must be known.
func capToRecoveryBound(bounds platform.Bounds, timeout time.Duration) time.Duration {
	if bounds.Contact == 0 {
		return timeout
	}
	return min(timeout, max(bounds.Contact-storeTimeout-pollResumeTime, minPollTimeout))
}

// registrationTimeout returns how long after its server has ended a registration may still be unchanged: it expires after three heartbeats, and a server
// that starts again at once has registered by then.
func registrationTimeout(heartbeat time.Duration) time.Duration {
	const heartbeats = 4
	return heartbeats * heartbeat
}
