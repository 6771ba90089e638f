package router_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/peers"
	"vanillapond/internal/role/router"
)

// restart stops a router and starts it again with the same settings, and waits until it is ready.
func (h *harness) restart(t *testing.T, index int) {
	t.Helper()
	h.routers[index].Stop(context.Background())
	log := &logBuffer{}
	started, err := router.Start(t.Context(), router.Config{Settings: h.settings[index], Log: log, Build: "test"})
	if err != nil {
		t.Fatal(err)
	}
	h.routers[index], h.logs[index] = started, log
	eventually(t, "ready again", func() bool { return status(h.readyURLs[index]) == http.StatusOK })
}

// TestStreamsOutliveRestartsInTurn guards against streams that can't be taken up after a planned restart of all routers, one after the other: each was
// told of them once, as they began, and those that have started since were not.
func TestStreamsOutliveRestartsInTurn(t *testing.T) {
	t.Parallel()
	for _, routers := range []int{2, 3} {
		t.Run(strconv.Itoa(routers), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := startSoftwareRouters(t, routers)
			begun := make(map[string]string)
			begin := func(index int, id string) {
				status, versions, _ := h.stream(t, index, id, "", 1)
				is.Equal(status, http.StatusOK)
				is.Equal(len(versions), 1)
				begun[id] = versions[0]
			}
			begin(0, strings.Repeat("x", 15_000))
			for index := range 6 * routers {
				begin(index%routers, "first-"+strconv.Itoa(index))
			}
			for index := range routers {
				h.restart(t, index)
			}
			for index := range routers {
				for id, version := range begun {
					status, versions, _ := h.stream(t, index, fmt.Sprintf("second-%d-%.20s", index, id), id, 2)
					is.Equal(status, http.StatusOK)
					is.Equal(versions, []string{version, version})
				}
			}
			h.stop()
			for _, log := range h.logs {
				is.True(strings.Contains(log.String(), "event=streams_handed_over"))
				is.True(!strings.Contains(log.String(), "event=peers_untold"))
				is.True(!strings.Contains(log.String(), "event=peer_report_refused"))
			}
		})
	}
}

// TestSilentPeerDelaysNoRouter guards against a router that never gets ready because another one, of an earlier version or gone, does not hand over.
func TestSilentPeerDelaysNoRouter(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	silent := peers.Row{Process: "front-z", Incarnation: "front-z.1", Address: netip.MustParseAddrPort(freeAddress(t)), Sequence: 1}
	start := time.Now()
	h := startRoutersAfter(t, 1, func(h *harness) { h.store.Put(peers.TableName, string(silent.Incarnation), silent) })
	is.True(time.Since(start) < 3*time.Second)
	h.stop()
	is.True(strings.Contains(h.logs[0].String(), "event=streams_handed_over"))
}
