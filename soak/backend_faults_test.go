package soak_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"vanillapond/pkg/ident"
	"vanillapond/platform"
	"vanillapond/platform/platformtest"
)

// firstBackendFaultSeed is the first seed whose backends also fail by themselves. Smaller seeds leave these faults out, so that they
// keep the sequence of faults that they had before these faults were added.
const firstBackendFaultSeed = 20_000

// Timing of the backends' faults.
const (
	// leavingDelay is the time between the announcement of a server that leaves and the change of its registration.
	leavingDelay = 2 * drainTimeout
	// maxCopyAge is the greatest age of the copy from which the store is restored, and rewriteDelay the time after which the operator
	// and the servers have written again what it lacks.
	maxCopyAge   = 3 * time.Second
	rewriteDelay = 700 * time.Millisecond
	// pauseDelay is the time after a refusal from which on the server wants no requests.
	pauseDelay = 500 * time.Millisecond
	// maxRequestsInPause is how many requests may reach a server in a pause that it asked for.
	maxRequestsInPause = 2
)

// backendFaults are the faults that the backends themselves cause. Several of them may be in force: most failures need a second
// fault that hits what recovers from the first one.
type backendFaults struct {
	mu sync.Mutex
	// crashStreams makes streams break off after some events, failResumed makes servers fail what resumes a stream, and restartResumed
	// makes them begin it again; guarded by mu.
	crashStreams, failResumed, restartResumed bool
	// leaving holds the servers that announce that they leave, and pausedFor those that refuse requests and ask for a pause;
	// guarded by mu.
	leaving   map[ident.Endpoint]bool
	pausedFor map[ident.Endpoint]time.Duration
	// announced holds when a router instance first passed on a server's announcement that it leaves; guarded by mu.
	announced map[serverAndRouter]time.Time
	// pauses holds the pauses that servers asked of router instances; guarded by mu.
	pauses map[serverAndRouter][]pause
}

// headerServer names the server of a response.
const headerServer = "X-Soak-Server"

// serverAndRouter identifies what a server and a router instance have agreed on.
type serverAndRouter struct {
	server ident.Endpoint
	router int
}

// pause is a time in which a server wants no requests.
type pause struct {
	askedAt, from, until time.Time
	// requests counts those that arrived all the same.
	requests int
}

func newBackendFaults() *backendFaults {
	return &backendFaults{
		leaving: make(map[ident.Endpoint]bool), pausedFor: make(map[ident.Endpoint]time.Duration),
		announced: make(map[serverAndRouter]time.Time), pauses: make(map[serverAndRouter][]pause),
	}
}

// set changes the faults in force.
func (f *backendFaults) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// clear ends all faults except the leaving of servers.
func (f *backendFaults) clear() {
	f.set(func() { f.crashStreams, f.failResumed, f.restartResumed = false, false, false; clear(f.pausedFor) })
}

// recordResponse records that a router instance has passed on a response of a server that leaves.
func (f *backendFaults) recordResponse(router int, header http.Header) {
	if !platform.Leaving(header) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	key := serverAndRouter{ident.Endpoint(header.Get(headerServer)), router}
	if _, found := f.announced[key]; !found {
		f.announced[key] = time.Now()
	}
}

// withdraws reports whether a server announces that it leaves, or refuses requests.
func (f *backendFaults) withdraws(id ident.Endpoint) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaving[id] || f.pausedFor[id] > 0
}

// injectBackendFault injects one random fault, or two that belong together.
func (e *environment) injectBackendFault(repairLater func(func())) {
	b := e.backends[e.random.IntN(len(e.backends))]
	f := e.faults
	switch e.random.IntN(6) {
	case 0:
		f.set(func() { f.crashStreams = true })
		repairLater(func() { f.set(func() { f.crashStreams = false }) })
	case 1:
		f.set(func() { f.crashStreams, f.failResumed = true, true })
		repairLater(func() { f.set(func() { f.crashStreams, f.failResumed = false, false }) })
	case 2:
		f.set(func() { f.crashStreams, f.restartResumed = true, true })
		repairLater(func() { f.set(func() { f.crashStreams, f.restartResumed = false, false }) })
	case 3:
		wanted := time.Duration(600+e.random.IntN(3000)) * time.Millisecond
		f.set(func() { f.pausedFor[b.id] = wanted })
		repairLater(func() { f.set(func() { delete(f.pausedFor, b.id) }) })
	case 4:
		// The registration says that the server is ready for a while after its announcement.
		f.set(func() { f.leaving[b.id] = true })
		index := e.random.IntN(len(e.backends))
		if e.backends[index] != b || len(f.leaving) > 2*backendCount {
			return
		}
		time.Sleep(leavingDelay)
		e.drainBackend(index, true, repairLater)
	case 5:
		e.restoreStore()
	}
}

// restoreStore lets the store fail for a moment and come back from a copy that was made at a random earlier moment. The operator and
// the servers write again what they wrote.
func (e *environment) restoreStore() {
	earlier := e.store.Copy()
	e.restored = true
	e.recordFaults()
	time.Sleep(time.Duration(e.random.IntN(int(maxCopyAge))))
	if e.random.IntN(2) == 0 {
		e.withdrawKey()
	}
	e.store.InjectFaults(func(string, int) platformtest.Fault { return platformtest.Reset })
	time.Sleep(time.Duration(e.random.IntN(int(time.Second))))
	e.store.Restore(earlier)
	e.store.ClearFaults()
	e.recordFaults()
	index := e.random.IntN(len(e.routers))
	if e.random.IntN(2) == 0 && !e.interrupted[index] {
		e.interrupted[index] = true
		router := e.routers[index]
		// An instance that starts now reads the older configuration.
		e.killed = true
		router.signal(syscall.SIGKILL)
		router.wait(time.Second)
		router.start(e)
	}
	time.Sleep(rewriteDelay)
	e.rewrite()
	e.recordFaults()
}

// refuse refuses a request if the server wants a pause, and reports whether it did. It also counts requests in earlier pauses.
func (f *backendFaults) refuse(id ident.Endpoint, router int, w http.ResponseWriter) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, key := time.Now(), serverAndRouter{id, router}
	for index := range f.pauses[key] {
		if p := &f.pauses[key][index]; now.After(p.from) && now.Before(p.until) {
			p.requests++
		}
	}
	if f.leaving[id] {
		w.Header().Set(platform.HeaderLeaving, "1")
	}
	w.Header().Set(headerServer, string(id))
	wanted := f.pausedFor[id]
	if wanted == 0 {
		return false
	}
	f.pauses[key] = append(f.pauses[key], pause{askedAt: now, from: now.Add(pauseDelay), until: now.Add(wanted)})
	w.Header().Set(platform.HeaderRetryAfter, strconv.FormatFloat(wanted.Seconds(), 'f', 3, 64))
	w.Header().Set(platform.HeaderNotExecuted, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// interfere fails a stream as the faults in force demand, and reports whether it has responded. It aborts the connection of a stream
// that breaks off.
func (f *backendFaults) interfere(w http.ResponseWriter, request string, after int) bool {
	f.mu.Lock()
	crash, fail, restart := f.crashStreams, f.failResumed, f.restartResumed
	f.mu.Unlock()
	switch {
	case after > 0 && fail:
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "failed")
		return true
	case after > 0 && restart:
		writeEvents(w, request, 0, eventCount)
		return true
	case after == 0 && crash:
		writeEvents(w, request, 0, eventCount/2)
		panic(http.ErrAbortHandler)
	}
	return false
}

// checkAnnouncements checks that no router instance sent a server more requests than allowed in a pause that the server had asked
// for, unless the router instance was stopped or paused, or the refusal may have been lost on the way.
func (e *environment) checkAnnouncements() {
	e.faults.mu.Lock()
	defer e.faults.mu.Unlock()
	for key, pauses := range e.faults.pauses {
		for _, p := range pauses {
			excused := e.routers[key.router].interruptedBetween(p.askedAt, p.until) ||
				e.proxies[key.server].faultyBetween(p.askedAt, p.from)
			if p.requests > maxRequestsInPause && !excused {
				e.failf("server %s got %d requests from router %d in a pause of %s", key.server, p.requests, key.router, p.until.Sub(p.from))
			}
		}
	}
}

// sentAfterAnnouncement reports whether a request was sent later than the drain timeout after the server had announced to the
// router instance that it was leaving; the caller holds mu.
func (e *environment) sentAfterAnnouncement(server ident.Endpoint, request callerRequest) bool {
	e.faults.mu.Lock()
	defer e.faults.mu.Unlock()
	announcedAt, found := e.faults.announced[serverAndRouter{server, request.router}]
	return found && request.sentAt.Sub(announcedAt) > drainTimeout &&
		!e.routers[request.router].interruptedBetween(announcedAt, request.sentAt)
}

// writeEvents writes the events of a stream after the given one.
func writeEvents(w http.ResponseWriter, request string, after, last int) {
	for _, event := range eventTexts(request, after)[:last-after] {
		_, _ = io.WriteString(w, event)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(eventInterval)
	}
}

// eventTexts returns the events of a stream after the given one.
func eventTexts(request string, after int) []string {
	var events []string
	for eventID := after + 1; eventID <= eventCount; eventID++ {
		events = append(events, fmt.Sprintf("id: %d\ndata: %s\n\n", eventID, request))
	}
	return events
}
