package soak_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"vanillapond/pkg/ident"
	"vanillapond/platform"
	"vanillapond/platform/platformtest"
)

// firstCrashingPartSeed is the first seed whose servers are engines that crash on one part of a prompt. It injects other faults than
// smaller seeds.
const firstCrashingPartSeed = 40_000

// Sizes and timing of the seeds with engines.
const (
	engineCount = 8
	engineSlots = 8
	// engineKVCacheTokens is the capacity of an engine's KV cache.
	engineKVCacheTokens = 100_000
	prefillDelay        = 20 * time.Millisecond
	// warmUp precedes the time without faults, quietDuration, with which the time of the crashes is compared.
	warmUp        = time.Second
	quietDuration = 4 * time.Second
	// crashDuration is the least time in which requests crash engines. It goes on until sound requests were sent for compareDuration after
	// the routers have to serve them again, at most for maxCrashDuration.
	crashDuration    = 12 * time.Second
	compareDuration  = 4 * time.Second
	maxCrashDuration = 25 * time.Second
	// crashInterval is the mean time between two requests that crash engines.
	crashInterval = 300 * time.Millisecond
	minRestart    = time.Second
	maxRestart    = 2 * time.Second
	minOutage     = 500 * time.Millisecond
	maxOutage     = 1500 * time.Millisecond
	// lastOutage is when the last outage begins, counted from the first request that crashes engines.
	lastOutage = 8 * time.Second
)

// Bounds on the effect of a part that crashes engines.
const (
	// crashesToDetect is the number of crashes after which the recovery bound runs.
	crashesToDetect = 5
	// maxLateCrashing is how many requests with the part may reach engines later than the recovery bound after those crashes.
	maxLateCrashing = 3
	// minCompared is the number of sound requests from which on their shares of success are compared, and minShare the least share
	// during the crashes, relative to the time without faults.
	minCompared = 20
	minShare    = 0.5
)

// crashingPart is a part of prompts that crashes each engine that begins a response to it, and all that the test records about it.
type crashingPart struct {
	seed uint64
	id   uint64
	// fixedParts says that all requests with the part have their other shared parts in common.
	fixedParts bool
	engines    []*engine
	restarts   sync.WaitGroup

	mu sync.Mutex
	// quietFrom, crashingFrom and crashingUntil limit the time without faults and that of the requests with the part; guarded by mu.
	quietFrom, crashingFrom, crashingUntil time.Time
	// crashes holds the times of the engines' crashes, arrivals the requests with the part that reached engines; guarded by mu.
	crashes  []time.Time
	arrivals []arrival
	// outages holds the times at which a router instance was not in touch with the store and the others; guarded by mu.
	outages map[int][]interval
	// requests holds all requests of callers; guarded by mu.
	requests []promptRequest
}

// arrival is a request that reached an engine.
type arrival struct {
	at     time.Time
	router int
}

// interval is a closed interval of time.
type interval struct{ from, until time.Time }

// promptRequest is a request with a prompt as its caller sees it.
type promptRequest struct {
	sentAt    time.Time
	router    int
	kind, key string
	// parts are the ids of the shared parts of the prompt.
	parts []uint64
	// begun says that the caller got the beginning of a response.
	begun bool
}

// newCrashingPart returns nil for seeds without engines.
func newCrashingPart(seed uint64) *crashingPart {
	if seed < firstCrashingPartSeed || seed >= firstSharedDecisionSeed {
		return nil
	}
	random := rand.New(rand.NewPCG(seed, firstCrashingPartSeed))
	return &crashingPart{
		seed: seed, id: random.Uint64(), fixedParts: seed%2 == 1, outages: make(map[int][]interval),
	}
}

// engine is a server that crashes on the part.
type engine struct {
	part   *crashingPart
	index  int
	server *platformtest.Server
	mu     sync.Mutex
	// random and life are guarded by mu.
	random *rand.Rand
	life   engineLife
}

// engineLife is the state of an engine from one start to the next crash.
type engineLife struct {
	id    ident.Endpoint
	start int64
	slots chan struct{}
}

func (n *engine) currentLife() engineLife {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.life
}

// addEngines starts and registers the engines.
func (e *environment) addEngines() {
	for index := range engineCount {
		n := &engine{
			part: e.part, index: index, random: rand.New(rand.NewPCG(e.part.seed, uint64(index))),
			life: engineLife{id: ident.Endpoint("i-" + strconv.Itoa(index)), start: 1, slots: make(chan struct{}, engineSlots)},
		}
		server, err := platformtest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.serveByEngine(n, w, r) }))
		if err != nil {
			e.t.Fatal(err)
		}
		e.t.Cleanup(server.Close)
		n.server = server
		e.part.engines = append(e.part.engines, n)
		e.registerEngine(n)
	}
}

func (e *environment) registerEngine(n *engine) {
	life := n.currentLife()
	e.putRegistration(life.id, platform.Server{
		Service: "s", Address: n.server.Address(), Domain: "a", State: platform.ServerReady, Slots: engineSlots, StartedUnixMS: life.start,
	})
}

// serveByEngine is the handler of an engine. An engine that begins a response to the part crashes instead.
func (e *environment) serveByEngine(n *engine, w http.ResponseWriter, r *http.Request) {
	life := n.currentLife()
	request := r.Header.Get(platform.HeaderRequestID)
	crashing := e.part.isIn(r.Header)
	if crashing {
		e.mu.Lock()
		router := e.requests[request].router
		e.mu.Unlock()
		e.part.recordArrival(router)
	}
	if r.Header.Get(platform.HeaderExpectedServer) != string(life.id) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case life.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-life.slots }()
	select {
	case <-time.After(prefillDelay):
	case <-r.Context().Done():
		return
	}
	if crashing {
		e.recordExecution(life.id, request, r)
		e.crashEngine(n, w, request)
		panic(http.ErrAbortHandler)
	}
	e.serve(life.id, w, r)
}

// crashEngine crashes an engine, at random after the head of the response, and starts it again later, at random under its registration,
// with a new start time or with a new registration.
func (e *environment) crashEngine(n *engine, w http.ResponseWriter, request string) {
	n.mu.Lock()
	afterHead, reset := n.random.IntN(2) == 0, n.random.IntN(2) == 0
	newStart, newID := n.random.IntN(2) == 0, n.random.IntN(2) == 0
	delay := minRestart + time.Duration(n.random.Int64N(int64(maxRestart-minRestart)))
	n.mu.Unlock()
	if afterHead {
		setResponseHeader(w, request)
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
	}
	if !n.server.Crash(reset) {
		return
	}
	e.part.recordCrash()
	e.part.restarts.Go(func() {
		time.Sleep(delay)
		n.mu.Lock()
		oldID := n.life.id
		n.life.slots = make(chan struct{}, engineSlots)
		if newStart {
			n.life.start++
		}
		if newStart && newID {
			n.life.id = ident.Endpoint(fmt.Sprintf("i-%d-%d", n.index, n.life.start))
		}
		n.mu.Unlock()
		if err := n.server.Start(); err != nil {
			e.failf("engine %s does not start again: %v", oldID, err)
			return
		}
		if newStart && newID {
			e.deregister(oldID)
		}
		if newStart {
			e.registerEngine(n)
		}
	})
}

// isIn reports whether the prompt of a request contains the part.
func (p *crashingPart) isIn(header http.Header) bool {
	return slices.Contains(platform.SharedParts(header), p.id)
}

func (p *crashingPart) recordArrival(router int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrivals = append(p.arrivals, arrival{time.Now(), router})
}

func (p *crashingPart) recordCrash() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashes = append(p.crashes, time.Now())
}

// recordOutage records that a router instance was not in touch until now.
func (p *crashingPart) recordOutage(router int, from time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outages[router] = append(p.outages[router], interval{from, time.Now()})
}

// recordRequest records a request of a caller, except those with the part.
func (p *crashingPart) recordRequest(request promptRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests = append(p.requests, request)
}

// inTouch reports whether a router instance had no outage within the recovery bound before a time; the caller holds mu.
func (p *crashingPart) inTouch(router int, at time.Time) bool {
	return !slices.ContainsFunc(p.outages[router], func(outage interval) bool {
		return !at.Before(outage.from) && at.Sub(outage.until) <= recoveryBound
	})
}

// sharedParts returns the ids of the shared parts of a sound prompt.
func (p *crashingPart) sharedParts(choice int) []uint64 {
	return []uint64{uint64(0xa1 + choice%2), uint64(0xb1 + choice/2%2)}
}

// setPrompt sets the headers that describe a prompt with the given shared parts and a last part of its own.
func setPrompt(header http.Header, request string, shared []uint64) {
	const sharedTokens, ownTokens = 400, 100
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(request))
	prompt := platform.Prompt{Tokens: ident.Tokens(sharedTokens*len(shared) + ownTokens), MaxOutput: eventCount}
	for _, id := range shared {
		prompt.Parts = append(prompt.Parts, platform.PromptPart{ID: id, Tokens: sharedTokens})
	}
	prompt.Parts = append(prompt.Parts, platform.PromptPart{ID: hash.Sum64(), Tokens: ownTokens})
	platformtest.SetPrompt(header, prompt)
}

// comparesSound reports whether the sound requests that were sent until now suffice for checkSoundRequests, or maxCrashDuration is over.
func (p *crashingPart) comparesSound(from, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(from) < crashDuration || len(p.crashes) == 0 {
		return false
	}
	last := p.crashes[min(len(p.crashes), crashesToDetect)-1]
	return now.Sub(last) > 2*recoveryBound+compareDuration || now.Sub(from) > maxCrashDuration
}

// sendCrashing sends requests with the part to random router instances, for crashDuration and until the sound requests suffice. Their
// other parts, their route and their key are those of sound requests.
func (e *environment) sendCrashing(from time.Time) {
	random := rand.New(rand.NewPCG(e.part.seed, 1))
	key := e.keys[0]
	var sending sync.WaitGroup
	defer sending.Wait()
	for count := 0; !e.part.comparesSound(from, time.Now()); count++ {
		shared := e.part.sharedParts(0)
		if !e.part.fixedParts {
			shared = e.part.sharedParts(random.IntN(4))
		}
		shared = slices.Insert(shared, random.IntN(len(shared)+1), e.part.id)
		kind, router := kinds[random.IntN(len(kinds))], e.routers[random.IntN(len(e.routers))]
		id := fmt.Sprintf("crashing-%d", count)
		e.recordSent(id, kind, router, key)
		sending.Go(func() {
			transport := &http.Transport{DisableKeepAlives: true}
			status, _, _ := e.send(transport, router, id, "/"+kind+"/x", key, shared)
			e.recordStatus(id, status)
		})
		time.Sleep(crashInterval/2 + time.Duration(random.Int64N(int64(crashInterval))))
	}
}

// runCrashingPart sends sound requests, for a while also requests that crash engines, while other faults are injected, and checks the
// routers' guarantees.
func (e *environment) runCrashingPart() {
	defer e.stopAll()
	e.awaitReady("start")
	stopCallers := e.startCallers()
	time.Sleep(warmUp)
	quietFrom := time.Now()
	time.Sleep(quietDuration)
	crashingFrom := time.Now()
	var faults sync.WaitGroup
	e.injectOutages(&faults)
	e.sendCrashing(crashingFrom)
	crashingUntil := time.Now()
	faults.Wait()
	e.part.restarts.Wait()
	e.heal()
	e.awaitReady("recovery")
	time.Sleep(time.Second)
	stopCallers()
	e.part.mu.Lock()
	e.part.quietFrom, e.part.crashingFrom, e.part.crashingUntil = quietFrom, crashingFrom, crashingUntil
	e.part.mu.Unlock()
	e.checkExecutions()
	e.checkLateCrashing()
	e.checkSoundRequests()
	e.checkUsage()
}

// injectOutages kills a router instance and starts it again, and at random makes the store fail and cuts off a router instance from it.
func (e *environment) injectOutages(faults *sync.WaitGroup) {
	killed, cutOff := e.random.IntN(len(e.routers)), e.random.IntN(len(e.routers))
	e.killed = true
	e.injectOutage(faults, []int{killed}, func() { e.routers[killed].signal(syscall.SIGKILL) }, func() {
		e.routers[killed].wait(time.Second)
		e.routers[killed].start(e)
	})
	if e.random.IntN(2) == 0 {
		all := make([]int, len(e.routers))
		for index := range all {
			all[index] = index
		}
		e.injectOutage(faults, all, func() {
			e.store.InjectFaults(func(string, int) platformtest.Fault { return platformtest.Reset })
		}, e.store.ClearFaults)
	}
	if e.random.IntN(2) == 0 {
		store := e.routers[cutOff].store
		e.injectOutage(faults, []int{cutOff}, func() { store.setMode(blackhole) }, func() { store.setMode(forwardAll) })
	}
}

// injectOutage runs begin at a random time, and end after a random outage that affects the given router instances.
func (e *environment) injectOutage(faults *sync.WaitGroup, affected []int, begin, end func()) {
	delay := time.Duration(e.random.Int64N(int64(lastOutage)))
	duration := minOutage + time.Duration(e.random.Int64N(int64(maxOutage-minOutage)))
	faults.Go(func() {
		time.Sleep(delay)
		from := time.Now()
		begin()
		time.Sleep(duration)
		end()
		for _, router := range affected {
			e.part.recordOutage(router, from)
		}
	})
}

// checkLateCrashing checks that at most maxLateCrashing requests with the part reached engines later than the recovery bound after the
// fifth crash, from router instances in touch.
func (e *environment) checkLateCrashing() {
	p := e.part
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.crashes) < crashesToDetect {
		return
	}
	detected := p.crashes[crashesToDetect-1]
	late := 0
	for _, a := range p.arrivals {
		if a.at.Sub(detected) > recoveryBound && p.inTouch(a.router, a.at) {
			late++
		}
	}
	e.t.Logf("%d crashes, %d requests with the part reached engines, %d of them late", len(p.crashes), len(p.arrivals), late)
	if late > maxLateCrashing {
		e.failf("%d requests with a part that crashes engines reached engines later than %s after the fifth crash, want at most %d",
			late, recoveryBound, maxLateCrashing)
	}
}

// checkSoundRequests checks that sound requests with the key or the first part of the crashing ones get the beginning of a response at
// least half as often as in the time without faults. Each route and all together are checked, and for these the requests with the key,
// those with each first part, and both together. The time of the crashes counts from twice the recovery bound after the fifth crash.
func (e *environment) checkSoundRequests() {
	p := e.part
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.crashes) == 0 {
		e.failf("no engine crashed")
		return
	}
	quiet := interval{p.quietFrom, p.crashingFrom}
	affected := interval{p.crashes[min(len(p.crashes), crashesToDetect)-1].Add(2 * recoveryBound), p.crashingUntil}
	compared := 0
	for _, kind := range append([]string{allKinds}, kinds...) {
		for _, group := range p.soundGroups(e.keys[0]) {
			before, during := p.countSound(kind, group, quiet), p.countSound(kind, group, affected)
			if kind == allKinds {
				e.t.Logf("sound requests with %s: %s began before, %s during the crashes", group.name, before, during)
			}
			if before.sent < minCompared || during.sent < minCompared {
				continue
			}
			compared++
			if during.ratio() < minShare*before.ratio() {
				e.failf("%s of the sound requests (%s) with %s began during the crashes, %s before", during, kind, group.name, before)
			}
		}
	}
	if compared == 0 {
		e.failf("too few sound requests to compare")
	}
}

// soundGroup is a set of sound requests that have something in common with the crashing ones.
type soundGroup struct {
	name    string
	matches func(promptRequest) bool
}

// soundGroups returns the groups of sound requests that are compared; key is the key of the crashing requests.
func (p *crashingPart) soundGroups(key string) []soundGroup {
	firstParts := []uint64{p.sharedParts(0)[0]}
	if !p.fixedParts {
		firstParts = append(firstParts, p.sharedParts(1)[0])
	}
	groups := []soundGroup{
		{"the key or a first part", func(r promptRequest) bool { return r.key == key || slices.Contains(firstParts, r.parts[0]) }},
		{"the key", func(r promptRequest) bool { return r.key == key }},
	}
	for _, part := range firstParts {
		groups = append(groups, soundGroup{fmt.Sprintf("the first part %x", part), func(r promptRequest) bool { return r.parts[0] == part }})
	}
	return groups
}

// share counts requests and those of them that began.
type share struct{ begun, sent int }

func (s share) ratio() float64 { return float64(s.begun) / float64(s.sent) }

// String implements fmt.Stringer.
func (s share) String() string { return fmt.Sprintf("%d of %d", s.begun, s.sent) }

// allKinds stands for all kinds of requests.
const allKinds = "all routes"

// countSound counts the requests of a kind and a group that were sent in the interval to router instances in touch; the caller holds
// mu.
func (p *crashingPart) countSound(kind string, group soundGroup, sent interval) share {
	var count share
	for _, request := range p.requests {
		if kind != allKinds && request.kind != kind || !group.matches(request) || !p.inTouch(request.router, request.sentAt) ||
			request.sentAt.Before(sent.from) || request.sentAt.After(sent.until) {
			continue
		}
		count.sent++
		if request.begun {
			count.begun++
		}
	}
	return count
}
