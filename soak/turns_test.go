package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"vanillapond/pkg/ident"
	"vanillapond/platform"
	"vanillapond/platform/platformtest"
)

// firstTurnSeed is the first seed in which routers are stopped or killed in turn while streams of several software versions are taken up seconds later, a request
// crashes the servers of a small service, which are born again under their ids, and all keys are withdrawn at the end.
const firstTurnSeed = 90_000

// Times and limits of these seeds.
const (
	// turnPause is how long a router is ready again before the next one's turn.
	turnPause = time.Second
	// streamCallers is the number of callers that take streams up later, after maxStreamWait at the most.
	streamCallers = 8
	maxStreamWait = 12 * time.Second
	// fatalInterval is the time between two tries of the fatal request.
	fatalInterval = 300 * time.Millisecond
	// fatalCrashes is the number of crashes after which the fatal request is known, and maxLateFatal that of its tries that may reach servers later than
	// recoveryBound after them.
	fatalCrashes = 3
	maxLateFatal = 3
	// keylessTime is for how long callers go on after the last key is withdrawn.
	keylessTime = revocationBound + 1500*time.Millisecond
	neverHeld   = "never-held"
)

// turns is nil for other seeds.
type turns struct {
	random *rand.Rand
	mu     sync.Mutex
	// crashes holds the times of the crashes of the small service's servers, and arrivals the ids of the tries that reached them; guarded by mu.
	crashes  []time.Time
	arrivals []string
	// counts is of the streams that are taken up later; guarded by mu.
	counts streamCounts
}

func newTurns(seed uint64) *turns {
	if seed < firstTurnSeed {
		return nil
	}
	return &turns{random: rand.New(rand.NewPCG(seed, firstTurnSeed))}
}

// configure adds the small service and its route, which needs no key.
func (t *turns) configure(configuration *platform.Configuration) {
	if t == nil {
		return
	}
	configuration.Services = append(configuration.Services, platform.Service{Name: "small", MaxConnections: 60})
	configuration.Routes = append(configuration.Routes, platform.Route{
		Name: "fatal", Host: host, PathPrefix: "/fatal/", Kind: platform.Idempotent, Timeout: 2000, Service: "small", MaxServers: 2, AuthExempt: true,
	})
}

// addServers starts the one or two servers of the small service.
func (t *turns) addServers(e *environment) {
	if t == nil {
		return
	}
	for number := range 1 + t.random.IntN(2) {
		id := ident.Endpoint("small-" + strconv.Itoa(number))
		var server *platformtest.Server
		register := func() {
			e.store.Put(platform.ServersTable, string(id), platform.Server{
				Service: "small", Address: server.Address(), Domain: "a", State: platform.ServerReady, Slots: 20, StartedUnixMS: time.Now().UnixMilli(),
			})
		}
		downtime := time.Duration(1000+t.random.IntN(2000)) * time.Millisecond
		server, err := platformtest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			t.mu.Lock()
			t.arrivals = append(t.arrivals, r.Header.Get(platform.HeaderRequestID))
			t.mu.Unlock()
			if !server.Crash(true) {
				return
			}
			t.mu.Lock()
			t.crashes = append(t.crashes, time.Now())
			t.mu.Unlock()
			time.AfterFunc(downtime, func() {
				if server.Start() == nil {
					register()
				}
			})
		}))
		if err != nil {
			e.t.Fatal(err)
		}
		e.t.Cleanup(server.Close)
		register()
	}
}

// runTurns restarts the routers in turn, twice, under streams and the fatal request; then it withdraws all keys.
func (e *environment) runTurns() {
	defer e.stopAll()
	e.awaitReady("start")
	e.killed = true
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for caller := range streamCallers {
		callers.Go(func() { e.takeUpLater(ctx, caller) })
	}
	callers.Go(func() { e.sendFatal(ctx) })
	stopCallers := e.startCallers()
	time.Sleep(recoveryBound)
	for range 2 {
		for _, router := range e.routers {
			e.restartInTurn(router)
		}
	}
	cancel()
	callers.Wait()
	e.checkSoftwareVersions()
	e.checkLaterStreams()
	e.withdrawAllKeys()
	time.Sleep(keylessTime)
	stopCallers()
	e.checkExecutions()
	e.checkFatal()
}

// restartInTurn stops or kills a router, starts it again, and waits until it has been ready for a while.
func (e *environment) restartInTurn(router *routerProcess) {
	if e.turns.random.IntN(2) == 0 {
		router.signal(syscall.SIGKILL)
	} else {
		router.signal(syscall.SIGTERM)
	}
	if !router.wait(gracePeriod + time.Second) {
		e.failf("router %d still runs after its grace period", router.index)
		router.signal(syscall.SIGKILL)
		router.wait(time.Second)
	}
	time.Sleep(time.Duration(e.turns.random.IntN(400)) * time.Millisecond)
	router.start(e)
	e.awaitReady("turn of router " + strconv.Itoa(router.index))
	time.Sleep(turnPause)
}

// takeUpLater begins streams, leaves them, and takes them up at another router seconds later, until the context is done.
func (e *environment) takeUpLater(ctx context.Context, caller int) {
	random := rand.New(rand.NewPCG(uint64(caller), firstTurnSeed))
	transport := &http.Transport{DisableKeepAlives: true}
	for count := 0; ctx.Err() == nil; count++ {
		first := fmt.Sprintf("later-%d-%d", caller, count)
		if random.IntN(8) == 0 {
			first += strings.Repeat("x", 4000)
		}
		send := func(id, resumes string, after, limit int) streamTry {
			router := e.routers[random.IntN(len(e.routers))]
			e.recordSent(id, "again", router, "k0")
			try := e.sendTry(transport, router, id, resumes, "k0", after, limit)
			e.recordStatus(id, try.status)
			return try
		}
		begun := send(first, "", 0, 2)
		e.turns.recordTry(begun, false)
		time.Sleep(time.Duration(random.Int64N(int64(maxStreamWait))))
		if begun.last == 0 {
			continue
		}
		taken := send(first+"-again", first, begun.last, eventCount)
		e.turns.recordTry(taken, true)
		e.checkVersions(first[:min(len(first), 20)], []streamTry{begun, taken})
	}
}

// recordTry counts a try if its router is in touch with the others.
func (t *turns) recordTry(try streamTry, takenUp bool) {
	if !try.router.hadNoRecentFault(try.sentAt) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.add(try, takenUp)
}

// checkLaterStreams checks that streams which callers take up seconds later go on, at least half as often as new ones begin.
func (e *environment) checkLaterStreams() {
	t := e.turns
	t.mu.Lock()
	defer t.mu.Unlock()
	e.t.Logf("taken up later: %v", &t.counts)
	if t.counts.takenUp < minTakenUp || !t.counts.goOn() {
		e.failf("streams can't be taken up later: %v", &t.counts)
	}
}

// sendFatal sends the fatal request to one router after another until the context is done.
func (e *environment) sendFatal(ctx context.Context) {
	transport := &http.Transport{DisableKeepAlives: true}
	for count := 0; ctx.Err() == nil; count++ {
		id, router := "fatal-"+strconv.Itoa(count), e.routers[count%len(e.routers)]
		e.recordSent(id, "fatal", router, neverHeld)
		if response, err := roundTripFatal(ctx, transport, router, id); err == nil {
			_ = response.Body.Close()
			e.recordStatus(id, response.StatusCode)
		}
		time.Sleep(fatalInterval)
	}
}

// roundTripFatal sends the fatal request, which is always the same but for its id.
func roundTripFatal(ctx context.Context, transport *http.Transport, router *routerProcess, id string) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, callerTimeoutMS*time.Millisecond)
	defer cancel()
	request, err := newRequest(ctx, router, id, "/fatal/x", neverHeld)
	if err != nil {
		return nil, err
	}
	request.Body, request.ContentLength = http.NoBody, 0
	return transport.RoundTrip(request)
}

// withdrawAllKeys withdraws all keys, and in every other seed the customers, too.
func (e *environment) withdrawAllKeys() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, key := range e.keys {
		e.withdrawn[key] = time.Now()
	}
	e.keys = nil
	e.configure()
}

// remainingCustomers returns the customers of a configuration without keys: it needs keys, although none is valid.
func (t *turns) remainingCustomers() platform.Customers {
	if t.random.IntN(2) == 0 {
		return platform.Customers{}
	}
	return platform.Customers{{Name: "c-none"}}
}

// checkFatal checks that the fatal request is stopped: few of its tries reach servers later than recoveryBound after the third crash.
func (e *environment) checkFatal() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.turns.mu.Lock()
	defer e.turns.mu.Unlock()
	if len(e.turns.crashes) < fatalCrashes {
		e.failures = append(e.failures, fmt.Sprintf("the fatal request crashed servers %d times only", len(e.turns.crashes)))
		return
	}
	late := make(map[string]bool)
	for _, id := range e.turns.arrivals {
		request := e.requests[id]
		if request.sentAt.Sub(e.turns.crashes[fatalCrashes-1]) > recoveryBound && e.routers[request.router].ranFor(request.sentAt, recoveryBound) {
			late[id] = true
		}
	}
	e.t.Logf("%d crashes by the fatal request, %d late tries", len(e.turns.crashes), len(late))
	if len(late) > maxLateFatal {
		e.failures = append(e.failures, fmt.Sprintf("%d tries of the fatal request reached servers later than %s after the third crash, want at most %d",
			len(late), recoveryBound, maxLateFatal))
	}
}

// ranFor reports whether the process ran undisturbed for a duration before a time.
func (r *routerProcess) ranFor(at time.Time, duration time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, interruption := range r.interruptions {
		if interruption.Before(at) && at.Sub(interruption) < duration {
			return false
		}
	}
	return true
}
