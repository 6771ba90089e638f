package router

import "time"

// Times and shares of a router; bounds that the operator has promised come from the settings.
const (
	// storeTimeout bounds a call to the store: some hundred times its usual answer, so that a slow one still comes.
	storeTimeout = 1200 * time.Millisecond
	// configShare is the part of the time in which a withdrawn key must stop working for which a question for a new
	// configuration waits. Knowledge counts from when a question was sent, so that it grows as old as two questions take.
	configShare = 0.25
	// serversWait is how long a question for changed servers waits; changes come at once.
	serversWait = 5 * time.Second
	// serversGather is how long changes of servers are gathered: a fleet that starts enters itself one by one.
	serversGather = 400 * time.Millisecond
	// returnTime is how long servers have to enter themselves again after the store was away, with a little room.
	returnTime = 2300 * time.Millisecond
	// sweepInterval is the time between two looks for lapsed servers and idle connections.
	sweepInterval = 500 * time.Millisecond
	// keyShare is the part of the time in which a withdrawn key must stop working during which old knowledge is trusted.
	keyShare = 0.8
	// repeatShare is the part of the budget of repeats that entries use, so that their counts need not agree exactly.
	repeatShare = 0.8
	// connectionShare is the part of a server's connections that entries use, so that a new entry finds some free.
	connectionShare = 0.8
	// minConnections is the least number of connections to a server, whatever the fleet's size.
	minConnections = 2
	// beatShare is the part of the time in which usage is due that may pass between two writes of an entry's counts.
	beatShare = 0.33
	// dialTimeout bounds a new connection to a server.
	dialTimeout = 500 * time.Millisecond
	// callerWriteTimeout bounds how long a caller may leave bytes untaken.
	callerWriteTimeout = 5 * time.Second
	// acceptTime is how long a stopping process takes new connections: until the balancer has asked twice, once a second.
	acceptTime = 3 * time.Second
	// stopReserve is the end of the grace time in which nothing is waited for any more.
	stopReserve = 600 * time.Millisecond
	// journalTimeout bounds the writing of the last log lines.
	journalTimeout = 100 * time.Millisecond
	// unreadyShare is the part of the time in which a withdrawn key must stop working after which a process with old
	// knowledge asks for no new connections; it still takes keys on those that it has.
	// Such a process tells no caller that a route or key does not exist.
	unreadyShare = 0.6
)

// dutyLease names the lease of the process that reports usage.
const dutyLease = "usage"

// share returns a part of a time.
func share(part float64, of time.Duration) time.Duration { return time.Duration(part * float64(of)) }
