package router_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/explain"
	"vanillapond/internal/version/routes"
	"vanillapond/platform"
	"vanillapond/platform/platformtest"
	"vanillapond/platform/storewire"
)

// TestDeploymentLifecycle takes a deployment of two routers through configuration and server changes, from start to stop.
func TestDeploymentLifecycle(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := startRouters(t, 2)
	code, body := h.send(0, "/p/x", "right")
	is.Equal(code, http.StatusOK)
	is.Equal(body, "i-1")

	// A new version takes effect in all routers, and the key that it withdraws is refused.
	h.store.Put(platform.OperatorTable, platform.ConfigurationKey, configuration(2, "other"))
	for index := range h.callerURLs {
		eventually(t, "withdrawn key refused", func() bool {
			code, _ := h.send(index, "/p/x", "right")
			return code == http.StatusUnauthorized
		})
	}
	// An older version and an unreadable one change nothing.
	h.store.Put(platform.OperatorTable, platform.ConfigurationKey, configuration(1, "right"))
	h.store.Put(platform.OperatorTable, platform.ConfigurationKey, []byte("{"))
	time.Sleep(300 * time.Millisecond)
	code, _ = h.send(0, "/p/x", "right")
	is.Equal(code, http.StatusUnauthorized)
	h.store.Put(platform.OperatorTable, platform.ConfigurationKey, configuration(3, "right"))
	eventually(t, "third version in force", func() bool { code, _ := h.send(1, "/p/x", "right"); return code == http.StatusOK })

	// A draining server gets no new requests, and an unreadable registration does not affect other servers.
	second := h.startServer(t, "i-2")
	eventually(t, "second server used", func() bool { _, body := h.send(0, "/p/x", "right"); return body == "i-2" })
	h.store.Put(platform.ServersTable, "i-3", []byte("\x00"))
	h.register("i-2", second, platform.ServerDraining)
	eventually(t, "draining server not used", func() bool {
		for range 10 {
			if _, body := h.send(0, "/p/x", "right"); body != "i-1" {
				return false
			}
		}
		return true
	})
	for _, log := range h.logs {
		eventually(t, "logged", func() bool {
			return strings.Contains(log.String(), "event=server_unreadable server=i-3")
		})
		is.True(strings.Contains(log.String(), "event=configuration_unreadable"))
		is.True(strings.Contains(log.String(), "event=configuration_older"))
		is.True(!strings.Contains(log.String(), "right")) // Keys are never logged.
	}
	h.stop()
}

// TestServerRegistrations checks that the last change of a registration counts, and that a server whose removal was not reported
// as a change is not used for longer than it takes to list the servers again.
func TestServerRegistrations(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := startRouters(t, 1)
	h.startServer(t, "i-2")
	servedBy := func(want string) func() bool {
		return func() bool { _, body := h.send(0, "/p/x", "right"); return body == want }
	}
	eventually(t, "second server used", servedBy("i-2"))
	h.store.Recreate(platform.ServersTable, "i-2")
	time.Sleep(time.Second)
	eventually(t, "re-registered server used", servedBy("i-2"))

	h.store.DeleteAndTruncate(platform.ServersTable, "i-2")
	time.Sleep(1500 * time.Millisecond)
	for range 20 {
		is.True(servedBy("i-1")())
	}
	h.stop()
}

// TestPeersLearnOfLeavingServer checks that a server's announcement that it is leaving, received by one router, keeps the other one
// from sending it requests, too, although the store lists the server as ready.
func TestPeersLearnOfLeavingServer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := startRouters(t, 2)
	h.startServer(t, "i-2")
	eventually(t, "server announced", func() bool {
		h.send(0, "/p/leave/i-2", "right")
		return strings.Contains(h.logs[0].String(), "event=server_announced_leaving server=i-2")
	})
	eventually(t, "announcement received", func() bool {
		return strings.Contains(h.logs[1].String(), "event=server_announced_leaving server=i-2")
	})
	for index := range 40 {
		_, body := h.send(index%2, "/p/x", "right")
		is.Equal(body, "i-1")
	}
	h.stop()
}

// TestKeysDuringStoreOutage checks that a router without access to the store stops accepting keys within the revocation bound,
// keeps serving open routes, and accepts keys again when the store is back.
func TestKeysDuringStoreOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := startRouters(t, 1)
	code, _ := h.send(0, "/p/x", "right")
	is.Equal(code, http.StatusOK)
	h.store.InjectFaults(func(string, int) platformtest.Fault { return platformtest.Reset })
	time.Sleep(revocationBound)
	code, _ = h.send(0, "/p/x", "right")
	is.Equal(code, http.StatusServiceUnavailable)
	code, _ = h.send(0, "/p/x", "unknown")
	is.Equal(code, http.StatusServiceUnavailable) // Not 401: the key may be new.
	code, _ = h.send(0, "/none/", "right")
	is.Equal(code, http.StatusServiceUnavailable)
	code, _ = h.send(0, "/o/x", "")
	is.Equal(code, http.StatusOK)
	h.store.ClearFaults()
	eventually(t, "keys accepted again", func() bool { code, _ := h.send(0, "/p/x", "right"); return code == http.StatusOK })
	h.stop()
	is.True(strings.Contains(h.logs[0].String(), "event=store_lost"))
	is.True(strings.Contains(h.logs[0].String(), "event=store_regained"))
}

// TestStaysReady checks that without faults a router is always ready and accepts keys at any time.
func TestStaysReady(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := startRouters(t, 1)
	for end := time.Now().Add(2 * revocationBound); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if got := status(h.readyURLs[0]); got != http.StatusOK {
			t.Fatalf("readiness probe returned status %d, want 200", got)
		}
		code, _ := h.send(0, "/p/x", "right")
		is.Equal(code, http.StatusOK)
		code, _ = h.send(0, "/p/x", "wrong")
		is.Equal(code, http.StatusUnauthorized)
	}
	h.stop()
}

// TestStaysReadyWithLostWriteResponses checks that a router stays ready while the responses to many of its writes to the
// store are lost and its polls get responses. Each lost response makes the client cancel its polls and close its idle connections,
// which must not make the known configuration stale.
func TestStaysReadyWithLostWriteResponses(t *testing.T) {
	t.Parallel()
	h := startRouters(t, 1)
	h.store.InjectFaults(func(path string, calls int) platformtest.Fault {
		if path == storewire.PathCommit && calls%2 == 0 {
			return platformtest.LoseResponse
		}
		return 0
	})
	for end := time.Now().Add(3 * revocationBound); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if got := status(h.readyURLs[0]); got != http.StatusOK {
			t.Fatalf("readiness probe returned status %d, want 200", got)
		}
	}
	h.store.ClearFaults()
	h.stop()
}

// TestUsage checks that each usage window is reported with the requests that started in it, and never twice with different
// counts, although responses to reports and to writes are lost.
func TestUsage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := startRouters(t, 2)
	h.duties.LoseResponses(func(reports int) bool { return reports%3 == 0 })
	h.store.InjectFaults(func(path string, calls int) platformtest.Fault {
		if strings.HasSuffix(path, "tx") && calls%5 == 4 {
			return platformtest.LoseResponse
		}
		return 0
	})
	sent := int64(0)
	for range 30 {
		for index := range h.callerURLs {
			if code, _ := h.send(index, "/p/x", "right"); code == http.StatusOK {
				sent++
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	reportedTotal := func() int64 {
		byWindow := make(map[int64]int64)
		for _, report := range h.duties.Reports() {
			before, found := byWindow[report.Window]
			is.True(!found || before == report.Started["school"])
			byWindow[report.Window] = report.Started["school"]
		}
		total := int64(0)
		for _, count := range byWindow {
			total += count
		}
		return total
	}
	eventually(t, "all usage reported", func() bool { return reportedTotal() == sent })
	h.stop()
}

// TestStop checks that a stopping router reports not ready, still accepts requests for a while, and completes running ones.
func TestStop(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := startRouters(t, 1)
	type response struct {
		code int
		body string
	}
	slowResponse := make(chan response, 1)
	go func() {
		code, body := h.send(0, "/p/2s", "right")
		slowResponse <- response{code, body}
	}()
	time.Sleep(100 * time.Millisecond)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		h.stop()
	}()
	eventually(t, "readiness probe fails", func() bool { return status(h.readyURLs[0]) == http.StatusServiceUnavailable })
	code, _ := h.send(0, "/p/x", "right")
	is.Equal(code, http.StatusOK)
	is.Equal(<-slowResponse, response{http.StatusOK, "i-1"})
	<-stopped
	is.Equal(status(h.readyURLs[0]), 0)
}

// TestLogsExplainFailedRequests checks that the cause of a refused, failed or denied request can be found from its id with the log
// alone.
func TestLogsExplainFailedRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := startRouters(t, 1)
	requestLine := func(id string) string {
		found := ""
		eventually(t, "log line of request "+id, func() bool {
			for line := range strings.Lines(h.logs[0].String()) {
				if strings.Contains(line, "event=request id="+id+" ") {
					found = line
				}
			}
			return found != ""
		})
		return found
	}
	assertContains := func(line string, parts ...string) {
		for _, part := range parts {
			if !strings.Contains(line, part) {
				t.Errorf("log line lacks %s: %s", part, line)
			}
		}
	}

	code, _ := h.send(0, "/p/denied", "wrong")
	is.Equal(code, http.StatusUnauthorized)
	assertContains(requestLine("id--p-denied"), "outcome=denied", "status=401", `reason="no such key"`, "version=1", "config_age_ms=",
		"key="+string(routes.Digest("wrong")), "key_customer= ", "withdrawn_version=0")
	assertContains(h.logs[0].String(), "event=configuration version=1", "customers=1")

	code, _ = h.send(0, "/none/x", "right")
	is.Equal(code, http.StatusNotFound)
	assertContains(requestLine("id--none-x"), "outcome=denied", "status=404", `reason="no such route"`,
		"host="+host, "path=/none/x\n")

	code, _ = h.send(0, "/p/vanish", "right")
	is.Equal(code, http.StatusBadGateway)
	assertContains(requestLine("id--p-vanish"), "outcome=failed", "status=502",
		`reason="server gave no whole answer and no other takes work"`,
		"server=i-1", "sent=lost")

	h.store.Delete(platform.ServersTable, "i-1")
	eventually(t, "request refused without a server", func() bool {
		code, _ := h.send(0, "/p/none", "right")
		return code == http.StatusServiceUnavailable
	})
	assertContains(requestLine("id--p-none"), "outcome=", "service=s")
	eventually(t, "refusal logged", func() bool {
		return strings.Contains(h.logs[0].String(), `outcome=refused status=503 reason="no server takes work"`)
	})
	assertContains(h.logs[0].String(), "event=server_gone server=i-1")
	h.stop()

	story, err := explain.Explain("id--p-vanish", []explain.Log{{Name: "front-a", Reader: strings.NewReader(h.logs[0].String())}})
	is.NoErr(err)
	is.Equal(len(story.Tries), 1)
	is.Equal(story.Tries[0].Process, "front-a")
	is.True(len(story.Tries[0].Attempts) > 0)
	is.Equal(story.Tries[0].Attempts[0].Server, "i-1")
	is.Equal(story.Tries[0].Attempts[0].Outcome, "lost")
	is.Equal(story.Unreadable, 0)
}

// TestReload checks that changed bounds take effect, and that the current ones stay in force if the settings are invalid.
func TestReload(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := startRouters(t, 1)
	changed := h.settings[0]
	changed.Bounds.Revoke = time.Minute
	h.routers[0].Reload(changed, nil)
	h.routers[0].Reload(platform.Settings{}, io.ErrUnexpectedEOF)
	h.store.InjectFaults(func(string, int) platformtest.Fault { return platformtest.Refuse })
	time.Sleep(revocationBound)
	code, _ := h.send(0, "/p/x", "right")
	is.Equal(code, http.StatusOK)
	h.stop()
	is.True(strings.Contains(h.logs[0].String(), "event=reload outcome=read changed=1 fields=[Bounds.Revoke]"))
	is.True(strings.Contains(h.logs[0].String(), "event=reload outcome=kept"))
}

// TestBudgetBeforeFleetIsKnown checks that a router that cannot tell yet how many others there are uses nothing of the retries that all of
// them share: many that start together would each use most of it.
func TestBudgetBeforeFleetIsKnown(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := startRoutersAfter(t, 1, func(h *harness) {
		h.store.InjectFaults(func(path string, _ int) platformtest.Fault {
			if path == storewire.PathCommit {
				return platformtest.Refuse
			}
			return 0
		})
	})
	code, _ := h.send(0, "/p/x", "right")
	is.Equal(code, http.StatusOK)
	is.True(h.state(t, 0).RetriesRemaining["s"] < 1)
	h.store.ClearFaults()
	h.stop()
}

// TestEvacuatedDomain checks that servers of a failure domain that the operator has evacuated get no requests until the domain is taken back,
// also by a router that starts meanwhile.
func TestEvacuatedDomain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := startRouters(t, 1)
	h.startServerIn(t, "i-2", "b")
	servedBy := func(want string) func() bool {
		return func() bool { _, body := h.send(0, "/p/x", "right"); return body == want }
	}
	evacuation := platform.EvacuationKey("a")
	eventually(t, "own domain's server used", servedBy("i-1"))
	h.store.Put(platform.OperatorTable, evacuation, "")
	for range 2 {
		eventually(t, "other server used", servedBy("i-2"))
		time.Sleep(500 * time.Millisecond)
		for range 30 {
			is.True(servedBy("i-2")())
		}
		h.restartAll(t)
	}
	h.store.Delete(platform.OperatorTable, evacuation)
	eventually(t, "own domain's server used again", servedBy("i-1"))
	h.store.Put(platform.OperatorTable, evacuation, "")
	eventually(t, "other server used again", servedBy("i-2"))
	h.store.DeleteAndTruncate(platform.OperatorTable, evacuation)
	eventually(t, "own domain's server used after a lost history", servedBy("i-1"))
	h.stop()
}
