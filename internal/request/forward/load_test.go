package forward_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/request/servermodel"
	"vanillapond/pkg/ident"
	"vanillapond/platform"
	"vanillapond/platform/platformtest"
)

func (h *harness) recordInvalidLoad(ident.Endpoint, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.invalidLoads++
}

func (h *harness) recordFalseLoad(_ ident.Endpoint, finding servermodel.Finding) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.findings[finding]++
}

// TestResponsesTeachSpeeds guards against responses that do not reach the server model of a load-aware service, against log lines for each false load
// header, and against figures of a server that has restarted.
func TestResponsesTeachSpeeds(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	load := "1,0,4,250"
	h := newHarness(t, 0, func(w http.ResponseWriter, r *http.Request) {
		setSignature(w, r)
		w.Header().Set(platform.HeaderServerLoad, load)
		w.Header().Set("Content-Type", "text/event-stream")
		for range 7 {
			_, _ = io.WriteString(w, "data: x\n\n")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(20 * time.Millisecond)
		}
	})
	aware := configuration(2)
	for index := range aware.Routes {
		if aware.Routes[index].Service == "engine" {
			aware.Routes[index].MaxPause = 500
		}
	}
	aware.Services[1].Engine.TokensPerEvent = 5
	h.current.Advance(aware)
	h.current.Confirm(h.now, 2)
	h.registered[0].Service, h.registered[0].StartedUnixMS = "engine", 1
	h.servers.Update(h.registered, nil, true)
	send := func() {
		response, _, err := h.send(t, "/engine/x", func(r *http.Request) {
			platformtest.SetPrompt(r.Header, platform.Prompt{Tokens: 1000, MaxOutput: 100})
		})
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusOK)
	}
	send()
	speed := h.balancer.ServerStatuses(time.Now())[0].Speed
	is.True(speed.Prefill.Weight > 0 && speed.Step.Weight > 0 && speed.WorkFigure.Weight > 0)
	load = "1,0"
	send()
	send()
	h.mu.Lock()
	is.Equal(h.findings, map[servermodel.Finding]int{{Cause: servermodel.Malformed, First: true}: 1, {Cause: servermodel.Malformed}: 1})
	is.Equal(h.invalidLoads, 1)
	h.mu.Unlock()
	h.registered[0].StartedUnixMS = 2
	h.servers.Update(h.registered, nil, true)
	load = "1,0,4"
	send()
	is.True(h.balancer.ServerStatuses(time.Now())[0].Speed.WorkFigure.Weight == 0)
}
