package soak_test

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"vanillapond/pkg/ident"
	"vanillapond/platform"
)

// firstSharedDecisionSeed is the first seed in which servers name rate limits for all router instances together, and run several software
// versions side by side.
const firstSharedDecisionSeed = 60_000

// toldDelay is the time after a router instance passed on a rate limit from which on its requests count.
const toldDelay = 500 * time.Millisecond

// rateLimits holds the rate limits that servers name, and what reached the servers meanwhile.
type rateLimits struct {
	enabled bool
	mu      sync.Mutex
	// periods holds the rate limits of each server, in order; only the last one may be in force. Guarded by mu.
	periods map[ident.Endpoint][]*rateLimitPeriod
}

// rateLimitPeriod is a time in which a server names a rate limit in all its responses.
type rateLimitPeriod struct {
	perSecond float64
	// from is the time of the first response that named the limit; until is zero while the limit is in force.
	from, until time.Time
	// told holds the times at which each router instance passed on a response that named the limit.
	told map[int][]time.Time
	// arrivals are the requests that reached the server, in order.
	arrivals []limitedRequest
}

// limitedRequest is a request that reached a server with a rate limit.
type limitedRequest struct {
	at     time.Time
	router int
}

func newRateLimits(seed uint64) *rateLimits {
	return &rateLimits{enabled: seed >= firstSharedDecisionSeed, periods: make(map[ident.Endpoint][]*rateLimitPeriod)}
}

// inForce returns the period of the limit that the server names, or nil; the caller holds mu.
func (l *rateLimits) inForce(id ident.Endpoint) *rateLimitPeriod {
	if periods := l.periods[id]; len(periods) > 0 && periods[len(periods)-1].until.IsZero() {
		return periods[len(periods)-1]
	}
	return nil
}

// inject makes the server name a limit, or no longer name the one that it names.
func (l *rateLimits) inject(id ident.Endpoint, random *rand.Rand) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if period := l.inForce(id); period != nil {
		period.until = time.Now()
		return
	}
	l.periods[id] = append(l.periods[id], &rateLimitPeriod{perSecond: float64(1+random.IntN(16)) / 2, told: make(map[int][]time.Time)})
}

// clear ends all limits.
func (l *rateLimits) clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.periods {
		if period := l.inForce(id); period != nil {
			period.until = time.Now()
		}
	}
}

// recordArrival records a request of a router instance that reached a server, and names the server's limit in the response.
func (l *rateLimits) recordArrival(id ident.Endpoint, router int, header http.Header) {
	l.mu.Lock()
	defer l.mu.Unlock()
	period := l.inForce(id)
	if period == nil {
		return
	}
	now := time.Now()
	if period.from.IsZero() {
		period.from = now
	}
	period.arrivals = append(period.arrivals, limitedRequest{now, router})
	header.Set(headerServer, string(id))
	header.Set(platform.HeaderRateLimit, strconv.FormatFloat(period.perSecond, 'f', -1, 64))
}

// recordResponse records that a router instance has passed on a response with these headers.
func (l *rateLimits) recordResponse(router int, header http.Header) {
	if _, named, _ := platform.RateLimit(header); !named {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if period := l.inForce(ident.Endpoint(header.Get(headerServer))); period != nil {
		period.told[router] = append(period.told[router], time.Now())
	}
}

// checkRateLimits checks that no server got more requests than the limit that it named allows, from the contact time after it named it first,
// from router instances that knew it: those that had passed it on, and have not started, stopped or been paused since or shortly before.
func (e *environment) checkRateLimits() {
	l := e.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	total, counted := 0, 0
	for id, periods := range l.periods {
		for _, period := range periods {
			var times []time.Time
			for _, each := range period.arrivals {
				if each.at.Sub(period.from) > recoveryBound && e.knewLimit(period, each) {
					times = append(times, each.at)
				}
			}
			total, counted = total+len(period.arrivals), counted+len(times)
			allowed := platform.RateLimitOverage*period.perSecond*platform.RateLimitWindow.Seconds() + platform.RateLimitSlack
			if most := mostWithin(times, platform.RateLimitWindow); float64(most) > allowed {
				e.failf("server %s named a limit of %v a second and got %d requests in %s, want at most %v", id, period.perSecond, most,
					platform.RateLimitWindow, allowed)
			}
		}
	}
	if l.enabled {
		e.t.Logf("servers with a rate limit got %d requests, %d of them from routers that knew it", total, counted)
	}
}

// knewLimit reports whether the router instance that sent a request had known the limit for long enough.
func (e *environment) knewLimit(period *rateLimitPeriod, request limitedRequest) bool {
	router := e.routers[request.router]
	for _, told := range period.told[request.router] {
		if request.at.Sub(told) >= toldDelay && !router.interruptedBetween(told, request.at) &&
			!router.interruptedBetween(request.at.Add(-recoveryBound), request.at) {
			return true
		}
	}
	return false
}

// mostWithin returns the greatest number of the times, which are in order, that lie within a window.
func mostWithin(times []time.Time, window time.Duration) int {
	most, first := 0, 0
	for index, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}
		most = max(most, index-first+1)
	}
	return most
}
