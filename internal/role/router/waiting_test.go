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

	"vanillapond/internal/connection/servers"
	"vanillapond/platform"

	"vanillapond/pkg/ident"
)

// TestDatagramReleasesWaitingRequest guards against a request that waits on although a peer has reported that the server takes it, and against waits that
// neither the metrics nor the log show.
func TestDatagramReleasesWaitingRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := startRoutersAfter(t, 1, func(h *harness) {
		patient := configuration(1, "right")
		for index := range patient.Routes {
			patient.Routes[index].Timeout = 25_000
		}
		h.store.Put(platform.OperatorTable, platform.ConfigurationKey, patient)
	})
	defer h.stop()
	peer, err := net.Dial("udp", "127.0.0.1:"+strconv.Itoa(int(h.settings[0].PeerPort)))
	is.NoErr(err)
	defer func() { _ = peer.Close() }()
	report := func(limited bool) {
		datagram, err := cbor.Marshal(map[int]any{1: "front-z", 11: []servers.LimitReport{
			{Server: ident.ServerStart{ID: "i-1", StartedUnixMS: 1}, Limited: limited, Rate: 0.2},
		}})
		is.NoErr(err)
		_, err = peer.Write(datagram)
		is.NoErr(err)
	}
	report(true)
	status := make(chan int, 200)
	send := func() {
		request, err := http.NewRequest(http.MethodGet, h.callerURLs[0]+"/p/0s", http.NoBody)
		is.NoErr(err)
		request.Host = host
		request.Header.Set(platform.HeaderRequestID, "id-waits")
		request.Header.Set("Authorization", platform.KeyScheme+"right")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			status <- 0
			return
		}
		_ = response.Body.Close()
		status <- response.StatusCode
	}
	eventually(t, "request waits", func() bool {
		go send() // The first ones may still have a turn.
		time.Sleep(100 * time.Millisecond)
		return strings.Contains(get(h.metricsURLs[0]+"/metrics"), `router_waiting{service="s"} 1`)
	})
	eventually(t, "wait is logged", func() bool {
		report(false)
		return strings.Contains(h.logs[0].String(), "wait=sent")
	})
	is.Equal(<-status, http.StatusOK)
	is.True(strings.Contains(get(h.metricsURLs[0]+"/metrics"), `router_waits_total{outcome="sent",service="s"}`))
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
