package router_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/platform"
	"vanillapond/platform/platformtest"
)

// sendPrompt sends a request with a prompt and returns the status of its response.
func (h *harness) sendPrompt(t *testing.T, index int, shared uint64) int {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, h.callerURLs[index]+"/p/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = host
	request.Header.Set("Authorization", platform.KeyScheme+"right")
	request.Header.Set(platform.HeaderRequestID, "prompt")
	platformtest.SetPrompt(request.Header, platform.Prompt{
		Tokens: 2, MaxOutput: 1, Parts: []platform.PromptPart{{ID: shared, Tokens: 1}, {ID: 1, Tokens: 1}},
	})
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}

// putVerdict stores a quarantine without further trials.
func (h *harness) putVerdict(part string, ends time.Time) {
	h.store.Put("quarantine", part, map[string]any{
		"part": 0xbad, "sequence": 1, "quarantined": true, "trials": 2, "ends_unix_ms": ends.UnixMilli(),
	})
}

// TestStoredQuarantine verifies that an instance follows the verdicts in the store, and that one which has ended is not revived.
func TestStoredQuarantine(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := startRouters(t, 1)
	h.putVerdict("bad", time.Now().Add(-time.Second))
	time.Sleep(500 * time.Millisecond)
	is.Equal(h.sendPrompt(t, 0, 0xbad), http.StatusOK)
	h.putVerdict("bad", time.Now().Add(time.Minute))
	// A request that is in flight when the verdict arrives may complete and thereby clear the part.
	eventually(t, "quarantine logged", func() bool {
		return strings.Contains(h.logs[0].String(), "event=part_quarantined part=bad")
	})
	is.Equal(h.sendPrompt(t, 0, 0xbad), http.StatusServiceUnavailable)
	is.Equal(h.sendPrompt(t, 0, 0x900d), http.StatusOK)
	h.stop()
}
