package forward_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/connection/servers"
	"vanillapond/internal/process/sharedrate"
	"vanillapond/internal/request/admission"
	"vanillapond/internal/request/forward"
	"vanillapond/internal/request/placement"
	"vanillapond/internal/request/retry"
	"vanillapond/internal/request/waiting"
	"vanillapond/pkg/ident"
	"vanillapond/platform"
	"vanillapond/platform/platformtest"
)

// waitHarness is a forwarder with an engine service, whose only engine takes no request before the limit that it has named allows the next one.
type waitHarness struct {
	*harness
	queue *waiting.Controller
	// received counts the requests that the engine got.
	received atomic.Int32
	observed chan forward.Record
}

// waitTimeout is the timeout of the route, and waitObjective its target latency, which is much shorter.
const (
	waitTimeout   = 20 * time.Second
	waitObjective = 400 * time.Millisecond
)

// waitConfiguration has a service that is load-aware if the pause is long.
func waitConfiguration(version ident.Version, maxPause platform.Milliseconds) platform.Configuration {
	changed := configuration(version)
	changed.Routes = append(changed.Routes, platform.Route{
		Name: "aware", Host: host, PathPrefix: "/aware/", Kind: platform.Streaming, Service: "aware", MaxServers: 2,
		Timeout: platform.Milliseconds(waitTimeout.Milliseconds()), Objective: platform.Milliseconds(waitObjective.Milliseconds()), MaxPause: maxPause,
	})
	changed.Services = append(changed.Services, platform.Service{
		Name: "aware", MaxConnections: 100, Engine: &platform.Engine{KVCacheTokens: 2_000_000},
	})
	return changed
}

// newWaitHarness starts a harness whose engine takes a request in each interval; the last turn has just been used.
func newWaitHarness(t *testing.T, interval time.Duration, maxPause platform.Milliseconds, handler http.HandlerFunc) *waitHarness {
	t.Helper()
	h := &waitHarness{queue: &waiting.Controller{}, observed: make(chan forward.Record, 1)}
	h.harness = newHarness(t, 10, func(w http.ResponseWriter, r *http.Request) {
		h.received.Add(1)
		handler(w, r)
	})
	h.registered[0].Service = "aware"
	h.servers.Update(h.registered, nil, true)
	h.current.Advance(waitConfiguration(2, maxPause))
	h.current.Confirm(h.now, 2)
	if interval > 0 {
		h.limit(interval)
	}
	balancer, controller := placement.New(1), &admission.Controller{}
	h.balancer = balancer
	budget := newBudget(5)
	front := httptest.NewServer(forward.New(forward.Config{
		Current: h.current, Servers: h.servers, Suspects: noSuspects{}, Usage: h, Now: h.clockReading, Origins: &h.origin,
		Observe:    func(record forward.Record) { h.observed <- record },
		Balancer:   func(ident.Pool) *placement.Balancer { return balancer },
		Admission:  func(ident.Pool) *admission.Controller { return controller },
		Waiting:    func(ident.Pool) *waiting.Controller { return h.queue },
		Budget:     func(ident.Pool) *retry.Budget { return budget },
		MaxKeyAge:  func() time.Duration { return time.Hour },
		MaxDenyAge: func() time.Duration { return time.Hour },
	}))
	t.Cleanup(front.Close)
	h.url = front.URL
	return h
}

func (h *waitHarness) state(interval time.Duration) {
	now := h.clockReading()
	limited := servers.LimitStatement{
		Server: ident.ServerStart{ID: h.registered[0].ID}, Limited: interval > 0, SentAt: now, ReceivedAt: now,
	}
	if interval > 0 {
		limited.Rate = sharedrate.Rate(1 / interval.Seconds())
	}
	h.servers.ObserveLimit(limited)
}

// limit has the engine name a limit of a request in each interval, and uses the turns that it allows at once.
func (h *waitHarness) limit(interval time.Duration) {
	h.state(interval)
	for range 100 {
		if _, ok := h.servers.TakeTurn(h.registered[0].ID); !ok {
			return
		}
	}
}

// free ends the engine's limit.
func (h *waitHarness) free() {
	h.advanceClock(time.Second)
	h.state(0)
	h.queue.Event(time.Now())
}

func describePrompt(r *http.Request) {
	r.Header.Set(platform.HeaderDeadline, strconv.FormatInt(waitTimeout.Milliseconds(), 10))
	platformtest.SetPrompt(r.Header, platform.Prompt{Tokens: 100, MaxOutput: 10})
}

// awaitWaiting waits until a request waits, or has been decided without.
func (h *waitHarness) awaitWaiting() {
	for h.queue.Len() == 0 && len(h.observed) == 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestWaitsForCapacity guards against refusals of requests that a server takes while their caller still waits, at all services and beyond the target latency,
// and against waiting requests that are held or sent after their caller can't use the response any more, their key was withdrawn, their servers left, their
// caller left, or the instance stopped.
func TestWaitsForCapacity(t *testing.T) {
	t.Parallel()
	// A caller of a stream whose target latency is 400 ms and whose longest pause is 1 s leaves after 8 s without an event; at a pause of 200 ms, after 2 s.
	const loadAware, notLoadAware = platform.Milliseconds(1000), platform.Milliseconds(200)
	const reachable, soon = 4 * time.Second, 700 * time.Millisecond
	for _, c := range []struct {
		name     string
		maxPause platform.Milliseconds
		interval time.Duration
		// timeout is that of the caller if it is not that of the route.
		timeout time.Duration
		// during is called while the request waits.
		during   func(h *waitHarness, leave context.CancelFunc)
		status   int
		outcome  waiting.Outcome
		received int32
		// waited is for how long the request waits at least.
		waited time.Duration
	}{
		{
			name: "freed after the target latency", maxPause: loadAware, interval: reachable, status: 200, outcome: waiting.Sent, received: 1, waited: waitObjective,
			during: func(h *waitHarness, _ context.CancelFunc) {
				h.queue.Event(time.Now()) // Frees nothing.
				time.Sleep(waitObjective)
				h.free()
			},
		},
		{
			name: "freed, not load-aware", maxPause: notLoadAware, interval: time.Second, status: 200, outcome: waiting.Sent, received: 1, waited: waitObjective,
			during: func(h *waitHarness, _ context.CancelFunc) {
				time.Sleep(waitObjective)
				h.free()
			},
		},
		{name: "next turn", maxPause: loadAware, interval: soon, status: 200, outcome: waiting.Sent, received: 1},
		{name: "caller's patience", maxPause: notLoadAware, interval: reachable, status: 503, outcome: waiting.Unreachable},
		{name: "caller's deadline", maxPause: loadAware, interval: reachable, timeout: soon, status: 503, outcome: waiting.Unreachable},
		{name: "key withdrawn", maxPause: loadAware, interval: reachable, status: 401, outcome: waiting.Ended, during: func(h *waitHarness, _ context.CancelFunc) {
			withdrawn := waitConfiguration(3, loadAware)
			withdrawn.Customers[0].Keys = []string{"other"}
			h.current.Advance(withdrawn)
			h.queue.Recheck()
		}},
		{name: "no server left", maxPause: loadAware, interval: reachable, status: 503, outcome: waiting.Ended, during: func(h *waitHarness, _ context.CancelFunc) {
			h.registered[0].State = platform.ServerDraining
			h.servers.Update(h.registered, nil, true)
			h.queue.Recheck()
		}},
		{name: "instance stops", maxPause: loadAware, interval: reachable, status: 503, outcome: waiting.Stopping, during: func(h *waitHarness, _ context.CancelFunc) {
			h.queue.Stop()
		}},
		{name: "caller leaves", maxPause: loadAware, interval: reachable, outcome: waiting.Ended, during: func(_ *waitHarness, leave context.CancelFunc) { leave() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := newWaitHarness(t, c.interval, c.maxPause, streamEvents(1, 2, true))
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			done := make(chan struct{})
			go func() {
				defer close(done)
				response, _, err := h.send(t, "/aware/", func(r *http.Request) {
					describePrompt(r)
					if c.timeout > 0 {
						r.Header.Set(platform.HeaderDeadline, strconv.FormatInt(c.timeout.Milliseconds(), 10))
					}
					*r = *r.WithContext(ctx)
				})
				is.Equal(err != nil, c.status == 0)
				is.Equal(response.StatusCode, c.status)
				if c.status == http.StatusServiceUnavailable {
					after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
					is.NoErr(err)
					is.True(after >= 0.3 && after <= 2*c.interval.Seconds())
				}
			}()
			if c.during != nil {
				h.awaitWaiting()
				c.during(h, leave)
			}
			record := <-h.observed
			<-done
			is.Equal(record.WaitOutcome, c.outcome)
			is.Equal(h.received.Load(), c.received)
			is.Equal(h.queue.Len(), 0)
			is.Equal(record.Waited > 0, c.outcome != waiting.Unreachable)
			is.True(record.Waited >= c.waited)
		})
	}
}

// TestNoWaitAfterSend guards against a request that waits although a server got it: where it must not run twice, only its caller may repeat it.
func TestNoWaitAfterSend(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := newWaitHarness(t, 0, 1000, refuseNotRun)
	response, _, err := h.send(t, "/aware/", describePrompt)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	record := <-h.observed
	is.Equal(record.WaitOutcome, waiting.Outcome(""))
	is.Equal(h.received.Load(), int32(1))
}
