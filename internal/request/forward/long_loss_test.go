package forward_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/connection/servers"
	"vanillapond/internal/request/admission"
	"vanillapond/internal/request/forward"
	"vanillapond/internal/request/placement"
	"vanillapond/internal/request/retry"
	"vanillapond/pkg/ident"
	"vanillapond/platform"
)

// suspectCalls counts the calls of a forwarder to its list of suspects.
type suspectCalls struct {
	mu             sync.Mutex
	losses, clears int
}

// Blocked implements forward.Suspects.
func (*suspectCalls) Blocked(time.Time, uint64) bool { return false }

// RecordLoss implements forward.Suspects.
func (s *suspectCalls) RecordLoss(time.Time, uint64, forward.Crash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losses++
}

// Clear implements forward.Suspects.
func (s *suspectCalls) Clear(uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clears++
}

// TestLossDuringLongResponse verifies that a response broken off beyond the router's buffer counts as a loss if the server has crashed, and does not
// clear the losses of the request as a complete response does.
func TestLossDuringLongResponse(t *testing.T) {
	t.Parallel()
	for name, crashed := range map[string]bool{"server crashed": true, "connection broke": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testLossDuringLongResponse(t, crashed)
		})
	}
}

func testLossDuringLongResponse(t *testing.T, crashed bool) {
	t.Helper()
	is := is.New(t)
	h := newHarness(t, 0, func(w http.ResponseWriter, r *http.Request) {
		setSignature(w, r)
		_, _ = io.WriteString(w, strings.Repeat("x", 128<<10))
		panic(http.ErrAbortHandler)
	})
	calls, balancer, controller := &suspectCalls{}, placement.New(1), &admission.Controller{}
	budget := newBudget(0)
	observed := make(chan forward.Record, 1)
	front := httptest.NewServer(forward.New(forward.Config{
		Current: h.current, Servers: h.servers, Suspects: calls, Usage: h,
		HasCrashed: func(*servers.Server, error) bool { return crashed }, Now: h.clockReading, Origins: &fixedOrigin{}, OnInvalidPause: h.recordInvalidPause,
		Observe:    func(record forward.Record) { observed <- record },
		Balancer:   func(ident.Pool) *placement.Balancer { return balancer },
		Admission:  func(ident.Pool) *admission.Controller { return controller },
		Budget:     func(ident.Pool) *retry.Budget { return budget },
		MaxKeyAge:  func() time.Duration { return time.Hour },
		MaxDenyAge: func() time.Duration { return time.Hour },
	}))
	t.Cleanup(front.Close)
	h.url = front.URL
	_, _, err := h.send(t, "/once/", func(r *http.Request) { r.Header.Set(platform.HeaderDeadline, "5000") })
	is.True(err != nil)
	<-observed
	calls.mu.Lock()
	defer calls.mu.Unlock()
	want := 0
	if crashed {
		want = 1
	}
	is.Equal(calls.losses, want)
	is.Equal(calls.clears, 0)
}
