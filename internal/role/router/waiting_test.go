package router_test

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"vanillapond/internal/request/placement"
	"vanillapond/pkg/ident"
	"vanillapond/platform"
	"vanillapond/platform/platformtest"
)

// TestDatagramReleasesWaitingRequest guards against a request that waits on although a peer has reported that the server is free, and against waits that
// neither the metrics nor the log show.
func TestDatagramReleasesWaitingRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := startRoutersAfter(t, 1, func(h *harness) {
		aware := configuration(1, "right")
		aware.Services[0].Engine = &platform.Engine{KVCacheTokens: 1 << 20}
		for index := range aware.Routes {
			aware.Routes[index].MaxPause, aware.Routes[index].Objective = 1000, 16_000
		}
		h.store.Put(platform.OperatorTable, platform.ConfigurationKey, aware)
	})
	defer h.stop()
	peer, err := net.Dial("udp", "127.0.0.1:"+strconv.Itoa(int(h.settings[0].PeerPort)))
	is.NoErr(err)
	defer func() { _ = peer.Close() }()
	report := func(prefill ident.Tokens) {
		datagram, err := cbor.Marshal(map[int]any{1: "front-z", 2: map[string]any{
			"s": map[string]placement.Load{"i-1": {Active: 1, Prefill: placement.PrefillTokens{prefill}}},
		}})
		is.NoErr(err)
		_, err = peer.Write(datagram)
		is.NoErr(err)
	}
	code, _ := h.send(0, "/p/0s", "right") // The state shows the load of servers that were compared for a request.
	is.Equal(code, http.StatusOK)
	// Before the first sample, 64 tokens are assumed to take 1 ms: the queue delay is a second more than admission allows.
	report(7000 * 64)
	eventually(t, "report received", func() bool { return strings.Contains(get(h.metricsURLs[0]+"/state"), `"prefill"`) })
	status := make(chan int, 1)
	request, err := http.NewRequest(http.MethodGet, h.callerURLs[0]+"/p/0s", http.NoBody)
	is.NoErr(err)
	request.Host = host
	request.Header.Set(platform.HeaderRequestID, "id-waits")
	request.Header.Set("Authorization", platform.KeyScheme+"right")
	platformtest.SetPrompt(request.Header, platform.Prompt{Tokens: 10, MaxOutput: 10})
	go func() {
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			status <- 0
			return
		}
		_ = response.Body.Close()
		status <- response.StatusCode
	}()
	eventually(t, "request waits", func() bool {
		return strings.Contains(get(h.metricsURLs[0]+"/metrics"), `router_waiting{service="s"} 1`)
	})
	report(0)
	is.Equal(<-status, http.StatusOK)
	eventually(t, "wait is logged", func() bool { return strings.Contains(h.logs[0].String(), "wait=sent") })
	is.True(strings.Contains(get(h.metricsURLs[0]+"/metrics"), `router_waits_total{outcome="sent",service="s"} 1`))
}

// get returns the body of a response, empty if there is none.
func get(url string) string {
	response, err := (&http.Client{Timeout: time.Second}).Get(url)
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	return string(body)
}
