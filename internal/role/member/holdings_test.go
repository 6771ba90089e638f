package member

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"vanillapond/internal/process/holdings"
)

// TestEventsAreBounded checks that what callers can't hold is recorded, and that a crowd of them does not flood the log.
func TestEventsAreBounded(t *testing.T) {
	is := is.New(t)
	var log strings.Builder
	m, err := New(Config{Process: "entry-1", Log: &log})
	is.NoErr(err)
	callers, _ := m.NewHoldings(Limits{MemoryMB: 64, MaxDescriptors: 700})
	_, err = callers.Open(holdings.Body, "192.0.2.1:1", callers.Limits().Largest+1, func() {})
	is.Equal(err, holdings.ErrNoRoom)
	m.RecordRefusedHead("192.0.2.2:2", 431, 70_000)
	for _, want := range []string{"event=caller_refused", "peer=192.0.2.1:1", "event=head_refused", "peer=192.0.2.2:2", "bytes=70000", "detail=431"} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("log: found %s, want %s in it", log.String(), want)
		}
	}
	for range 10 * maxHoldingEvents {
		m.RecordRefusedHead("192.0.2.2:2", 431, 70_000)
	}
	// The second may change meanwhile.
	is.True(strings.Count(log.String(), "event=head_refused") <= 3*maxHoldingEvents)
}

// TestLimitsAreChecked checks that negative limits are refused.
func TestLimitsAreChecked(t *testing.T) {
	is := is.New(t)
	is.NoErr(Limits{}.Check())
	is.True(Limits{MemoryMB: -1}.Check() != nil)
	is.True(Limits{MaxDescriptors: -1}.Check() != nil)
}
