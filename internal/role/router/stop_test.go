package router_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"vanillapond/platform"
)

// slowServer is a server that takes the time that the last segment of a request's path names, and remembers which requests it got.
type slowServer struct {
	mu  sync.Mutex
	got map[string]bool
}

func (s *slowServer) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get(platform.HeaderRequestID)
	_, _ = io.Copy(io.Discard, request.Body)
	s.mu.Lock()
	s.got[id] = true
	s.mu.Unlock()
	if wait, err := time.ParseDuration(request.URL.Path[strings.LastIndex(request.URL.Path, "/")+1:]); err == nil {
		time.Sleep(wait)
	}
	w.Header().Set(platform.HeaderRequestID, id)
	w.Header().Set(platform.HeaderSignature, "seal")
	_, _ = io.WriteString(w, "whole")
}

func (s *slowServer) hasGot(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got[id]
}

// lateRequest is a request around the stop of a router.
type lateRequest struct {
	path string
	// connectAt is when its connection is opened, sendAt when its head and the first half of its body are sent, and completeAt when the rest is; since the
	// start of the stop.
	connectAt, sendAt, completeAt time.Duration
	// deadline is that of the caller.
	deadline time.Duration
}

// never is when a body is complete that is never complete.
const never = time.Hour

// answer is the response to a request.
type answer struct {
	status int
	header http.Header
	body   string
}

// send sends the request and returns its response; it fails if the connection ends without one.
func (r lateRequest) send(address, id string, start time.Time) (answer, error) {
	time.Sleep(time.Until(start.Add(r.connectAt)))
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(start.Add(20 * time.Second))
	time.Sleep(time.Until(start.Add(r.sendAt)))
	const half = "half of a body"
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: %sright\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		r.path, host, platform.KeyScheme, platform.HeaderRequestID, id, platform.HeaderDeadline, r.deadline.Milliseconds(), 2*len(half), half)
	if err != nil {
		return answer{}, err
	}
	if r.completeAt < never {
		time.Sleep(time.Until(start.Add(r.completeAt)))
		_, _ = io.WriteString(conn, half)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return answer{}, err
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return answer{response.StatusCode, response.Header, string(body)}, err
}

// TestRequestsInGrace guards against requests that end without an answer when a router stops: those that come while it still accepts some, those whose
// connection was open before, and those whose body arrives late. Each one gets an answer, and one that says that the request did not run is true and says when
// to come back.
func TestRequestsInGrace(t *testing.T) {
	t.Parallel()
	h := startRouters(t, 1)
	server := &slowServer{got: make(map[string]bool)}
	backend := httptest.NewServer(server)
	t.Cleanup(backend.Close)
	h.store.Put(platform.ServersTable, "i-slow", platform.Server{
		Service: "slow", Address: backend.Listener.Addr().String(), Domain: "a", State: platform.ServerReady, Slots: 100, StartedUnixMS: 1,
	})
	changed := configuration(2, "right")
	changed.Services = append(changed.Services, platform.Service{Name: "slow", MaxConnections: 200})
	for name, kind := range map[string]platform.Kind{"unsafe": platform.NonIdempotent, "safe": platform.Idempotent} {
		changed.Routes = append(changed.Routes, platform.Route{
			Name: name, Host: host, PathPrefix: "/" + name + "/", Kind: kind, Timeout: 30_000, Service: "slow", MaxServers: 2,
		})
	}
	h.store.Put(platform.OperatorTable, platform.ConfigurationKey, changed)
	for _, path := range []string{"/unsafe/", "/safe/"} {
		eventually(t, "route is known", func() bool { code, _ := h.send(0, path+"x", "right"); return code == http.StatusOK })
	}
	var requests []lateRequest
	for _, path := range []string{"/unsafe/", "/safe/"} {
		for _, takes := range []string{"0s", "1s", "3s", "10s"} {
			for _, at := range []time.Duration{-2, -500, 100, 1500, 2900} {
				// Whole requests on new connections.
				requests = append(requests, lateRequest{path + takes, at * time.Millisecond, at * time.Millisecond, at*time.Millisecond + 1, 20 * time.Second})
			}
			for _, at := range []time.Duration{3200, 4000, 5000} {
				// On connections that were opened before, and with bodies that arrive late.
				requests = append(requests,
					lateRequest{path + takes, 2500 * time.Millisecond, at * time.Millisecond, at*time.Millisecond + 1, 20 * time.Second},
					lateRequest{path + takes, time.Second, time.Second, at * time.Millisecond, 20 * time.Second},
					lateRequest{path + takes, time.Second, time.Second, at * time.Millisecond, 1400 * time.Millisecond},
				)
			}
		}
		requests = append(requests, lateRequest{path + "0s", time.Second, time.Second, never, 20 * time.Second})
	}
	start := time.Now().Add(time.Second)
	var sending sync.WaitGroup
	counts := make(map[int]int)
	var mu sync.Mutex
	for index, request := range requests {
		sending.Go(func() {
			id := "late-" + strconv.Itoa(index)
			got, err := request.send(strings.TrimPrefix(h.callerURLs[0], "http://"), id, start)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				counts[0]++
				t.Errorf("%+v: ended without an answer after %v, passed on %v: %v", request, time.Since(start), server.hasGot(id), err)
				return
			}
			counts[got.status]++
			switch got.status {
			case http.StatusOK:
				if got.body != "whole" {
					t.Errorf("%+v: got body %q", request, got.body)
				}
			case http.StatusServiceUnavailable:
				if server.hasGot(id) {
					t.Errorf("%+v: got 503 although it ran", request)
				}
				if got.header.Get(platform.HeaderRetryAfter) == "" {
					t.Errorf("%+v: got 503 without the time to come back", request)
				}
			case http.StatusRequestTimeout:
				if server.hasGot(id) {
					t.Errorf("%+v: got 408 although it ran", request)
				}
			case http.StatusBadGateway, http.StatusGatewayTimeout:
				if !server.hasGot(id) {
					t.Errorf("%+v: got %d although it did not run", request, got.status)
				}
			default:
				t.Errorf("%+v: got status %d", request, got.status)
			}
		})
	}
	time.Sleep(time.Until(start))
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		h.stop()
	}()
	sending.Wait()
	<-stopped
	if took := time.Since(start); took > 6*time.Second {
		t.Errorf("stopped after %v, want 6 s", took)
	}
	t.Logf("answers by status, 0 for none: %v", counts)
}
