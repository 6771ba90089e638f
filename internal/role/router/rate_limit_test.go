package router_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/platform"
)

// Parameters of TestServerRateLimitIsShared.
const (
	limitRouters = 4
	// limitPerSecond is fewer requests a second than there are routers.
	limitPerSecond = 2.0
	// limitSettleTime is how long after the first response with the limit it must hold.
	limitSettleTime = 3 * time.Second
	// limitKnownTime is how long after its first response with the limit a router must keep it.
	limitKnownTime = 500 * time.Millisecond
	limitTestTime  = 12 * time.Second
)

// limitedServer names a rate limit while limited is set, and records the requests of each router.
type limitedServer struct {
	limited atomic.Bool
	mu      sync.Mutex
	// arrivals are the requests, by router; guarded by mu.
	arrivals [limitRouters][]time.Time
	// firstNamed is when a router first got a response with the limit; guarded by mu.
	firstNamed [limitRouters]time.Time
}

func (s *limitedServer) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	index, err := strconv.Atoi(request.URL.Path[strings.LastIndex(request.URL.Path, "/")+1:])
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.arrivals[index] = append(s.arrivals[index], time.Now())
	if s.limited.Load() {
		w.Header().Set(platform.HeaderRateLimit, strconv.FormatFloat(limitPerSecond, 'f', -1, 64))
		if s.firstNamed[index].IsZero() {
			s.firstNamed[index] = time.Now()
		}
	}
	s.mu.Unlock()
	w.Header().Set(platform.HeaderRequestID, request.Header.Get(platform.HeaderRequestID))
	w.Header().Set(platform.HeaderSignature, "seal")
	_, _ = io.WriteString(w, "limited")
}

// counted returns the arrivals that count against the limit: those of routers that had known it for limitKnownTime, from limitSettleTime after
// it was first named.
func (s *limitedServer) counted() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := time.Time{}
	for _, named := range s.firstNamed {
		if first.IsZero() || !named.IsZero() && named.Before(first) {
			first = named
		}
	}
	var counted []time.Time
	for index, arrivals := range s.arrivals {
		for _, at := range arrivals {
			if !s.firstNamed[index].IsZero() && at.Sub(s.firstNamed[index]) >= limitKnownTime && at.Sub(first) >= limitSettleTime {
				counted = append(counted, at)
			}
		}
	}
	return counted
}

func mostInWindow(arrivals []time.Time, window time.Duration) int {
	most := 0
	for _, start := range arrivals {
		count := 0
		for _, at := range arrivals {
			if since := at.Sub(start); since >= 0 && since < window {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// TestServerRateLimitIsShared checks that a server that names a rate limit gets no more than that from all routers together, that it gets
// most of it, and that the routers use the server fully again when it names no limit any more.
func TestServerRateLimitIsShared(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := startRouters(t, limitRouters)
	server := &limitedServer{}
	server.limited.Store(true)
	backend := httptest.NewServer(server)
	t.Cleanup(backend.Close)
	h.register("i-2", backend, platform.ServerReady)

	var clients sync.WaitGroup
	stop := make(chan struct{})
	for index := range limitRouters {
		for range 2 {
			clients.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(10 * time.Millisecond):
						h.send(index, "/p/"+strconv.Itoa(index), "right")
					}
				}
			})
		}
	}
	time.Sleep(limitTestTime)
	counted := server.counted()
	server.limited.Store(false)
	time.Sleep(4 * time.Second)
	server.mu.Lock()
	afterwards := 0
	for _, arrivals := range server.arrivals {
		for _, at := range arrivals {
			if time.Since(at) < time.Second {
				afterwards++
			}
		}
	}
	server.mu.Unlock()
	close(stop)
	clients.Wait()
	h.stop()

	const allowed = platform.RateLimitOverage*limitPerSecond*4 + platform.RateLimitSlack
	if most := mostInWindow(counted, platform.RateLimitWindow); float64(most) > allowed {
		t.Errorf("server with a limit of %v requests a second got %d requests in %v, allowed %v", limitPerSecond, most,
			platform.RateLimitWindow, allowed)
	}
	expected := limitPerSecond * (limitTestTime - limitSettleTime - time.Second).Seconds()
	if float64(len(counted)) < expected/2 {
		t.Errorf("server got %d requests, want at least half of the %v that it takes", len(counted), expected)
	}
	is.True(afterwards > 10) // The limit has ended.
}
