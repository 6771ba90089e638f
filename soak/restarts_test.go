package soak_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"vanillapond/platform"
)

// firstRestartSeed is the first seed in which servers fail most of the time while routers are killed, paused, stopped and cut off again and again. It
// injects other faults than smaller seeds.
const firstRestartSeed = 80_000

// The retry budget of the settings. The ratio is so low that the fixed part counts.
const (
	retryRatio  = 0.04
	retryExtra  = 50
	retryWindow = 10 * time.Second
)

// restarts makes servers fail and records what arrives at them; the zero value does neither.
type restarts struct {
	enabled bool
	mu      sync.Mutex
	// random, failures and arrivals are guarded by mu. failures is the fraction of requests that fail.
	random   *rand.Rand
	failures float64
	// arrivals holds the times at which each request reached servers.
	arrivals map[string][]time.Time
}

func newRestarts(seed uint64) *restarts {
	random := rand.New(rand.NewPCG(seed, firstRestartSeed))
	return &restarts{
		enabled: seed >= firstRestartSeed && seed < firstTurnSeed, random: random, failures: 0.3 + 0.6*random.Float64(), arrivals: make(map[string][]time.Time),
	}
}

// arrive records that a request reached a server, and reports whether the server has failed it: it broke the connection, refused to run the
// request, or ran it and returned an error.
func (r *restarts) arrive(request string, w http.ResponseWriter) (failed bool) {
	if !r.enabled {
		return false
	}
	r.mu.Lock()
	r.arrivals[request] = append(r.arrivals[request], time.Now())
	kind, failed := r.random.IntN(3), r.random.Float64() < r.failures
	r.mu.Unlock()
	if !failed {
		return false
	}
	switch kind {
	case 0:
		panic(http.ErrAbortHandler)
	case 1:
		w.Header().Set(platform.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		setResponseHeader(w, request)
		w.WriteHeader(http.StatusInternalServerError)
	}
	return true
}

// retryRatio returns the ratio of the retry budget in the settings, 0 for the usual one.
func (r *restarts) retryRatio() float64 {
	if !r.enabled {
		return 0
	}
	return retryRatio
}

func (r *restarts) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = 0
}

// runRestarts sends requests while servers fail and routers are interrupted in series, some of which overlap, and checks the retry budget.
func (e *environment) runRestarts() {
	defer e.stopAll()
	e.awaitReady("start")
	stopCallers := e.startCallers()
	e.killed = true
	for until := time.Now().Add(2 * *faultDuration); time.Now().Before(until); {
		e.interruptSeveral()
		time.Sleep(time.Duration(200+e.random.IntN(2500)) * time.Millisecond)
	}
	e.restarts.stop()
	e.heal()
	e.awaitReady("recovery")
	time.Sleep(time.Second)
	stopCallers()
	e.checkExecutions()
	e.checkRetryBudget()
}

// interruptSeveral interrupts all routers or some of them at the same time, and waits until all run again.
func (e *environment) interruptSeveral() {
	share, action := []float64{0.4, 0.7, 1}[e.random.IntN(3)], e.random.IntN(5)
	var repairs sync.WaitGroup
	defer repairs.Wait()
	for _, router := range e.routers {
		if e.random.Float64() > share {
			continue
		}
		down := time.Duration(e.random.IntN(800)) * time.Millisecond
		repairs.Go(func() {
			switch action {
			case 0:
				router.store.setMode(blackhole)
				time.Sleep(4 * down)
				router.store.setMode(forwardAll)
			case 1:
				router.signal(syscall.SIGSTOP)
				time.Sleep(2 * down)
				router.signal(syscall.SIGCONT)
			default:
				// One that is killed while it stops.
				if action == 2 {
					router.signal(syscall.SIGTERM)
					time.Sleep(down / 2)
				}
				router.signal(syscall.SIGKILL)
				router.wait(time.Second)
				time.Sleep(down)
				router.start(e)
			}
		})
	}
}

// checkRetryBudget checks that in no window the servers got more arrivals beyond the first of each request than the operator allows.
func (e *environment) checkRetryBudget() {
	e.mu.Lock()
	sent := make([]time.Time, 0, len(e.requests))
	for _, request := range e.requests {
		sent = append(sent, request.sentAt)
	}
	e.mu.Unlock()
	var repeated []time.Time
	e.restarts.mu.Lock()
	for _, arrivals := range e.restarts.arrivals {
		repeated = append(repeated, arrivals[1:]...)
	}
	e.restarts.mu.Unlock()
	slices.SortFunc(sent, time.Time.Compare)
	slices.SortFunc(repeated, time.Time.Compare)
	count := func(times []time.Time, from time.Time) int {
		first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
		end, _ := slices.BinarySearchFunc(times, from.Add(retryWindow), time.Time.Compare)
		return end - first
	}
	most, worst := 0.0, ""
	for _, from := range repeated {
		requests := max(count(sent, from), count(sent, from.Add(-retryWindow)), count(sent, from.Add(-retryWindow/2)))
		arrivals, allowed := count(repeated, from), retryRatio*float64(requests)+retryExtra
		if used := float64(arrivals) / allowed; used > most {
			most, worst = used, fmt.Sprintf("%d retries for %d requests, allowed %.0f", arrivals, requests, allowed)
		}
	}
	e.t.Logf("%d requests, %d retries; most in a window: %s", len(sent), len(repeated), worst)
	if most > 1 {
		e.failf("retry budget exceeded: %s", worst)
	}
	if len(repeated) == 0 {
		e.failf("no request was retried")
	}
}
