package router_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/platform"
	"vanillapond/platform/platformtest"
	"vanillapond/platform/storewire"
)

// TestDeploymentLifecycle follows one deployment from start to stop.
func TestDeploymentLifecycle(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := start(t, 2)
	code, body := r.ask(0, "/p/x", "right")
	is.Equal(code, http.StatusOK)
	is.Equal(body, "i-1")

	// A new version is in force everywhere, and the key that it takes away is refused.
	r.store.Put(platform.OperatorTable, platform.ConfigurationKey, configuration(2, "other"))
	for entry := range r.urls {
		eventually(t, "withdrawn key refused", func() bool { code, _ := r.ask(entry, "/p/x", "right"); return code == http.StatusUnauthorized })
	}
	// An older one and one that cannot be read change nothing.
	r.store.Put(platform.OperatorTable, platform.ConfigurationKey, configuration(1, "right"))
	r.store.Put(platform.OperatorTable, platform.ConfigurationKey, []byte("{"))
	time.Sleep(300 * time.Millisecond)
	code, _ = r.ask(0, "/p/x", "right")
	is.Equal(code, http.StatusUnauthorized)
	r.store.Put(platform.OperatorTable, platform.ConfigurationKey, configuration(3, "right"))
	eventually(t, "third version", func() bool { code, _ := r.ask(1, "/p/x", "right"); return code == http.StatusOK })

	// A server that leaves gets nothing new; rows of others that cannot be read disturb nothing.
	second := r.serve(t, "i-2")
	eventually(t, "second server used", func() bool { _, body := r.ask(0, "/p/x", "right"); return body == "i-2" })
	r.store.Put(platform.ServersTable, "i-3", []byte("\x00"))
	r.enter("i-2", second, platform.ServerDraining)
	eventually(t, "leaving server not used", func() bool {
		for range 10 {
			if _, body := r.ask(0, "/p/x", "right"); body != "i-1" {
				return false
			}
		}
		return true
	})
	for _, log := range r.logs {
		eventually(t, "logged", func() bool { return strings.Contains(log.String(), "event=server_unreadable server=i-3") })
		is.True(strings.Contains(log.String(), "event=configuration_unreadable"))
		is.True(strings.Contains(log.String(), "event=configuration_older"))
		is.True(!strings.Contains(log.String(), "right")) // No key is in any line.
	}
	r.stop()
}

// TestServerRegistrations holds that the last word on a row counts, and that a server that left unheard is not used for longer
// than it takes to list the servers again.
func TestServerRegistrations(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := start(t, 1)
	r.serve(t, "i-2")
	uses := func(id string) func() bool {
		return func() bool { _, body := r.ask(0, "/p/x", "right"); return body == id }
	}
	eventually(t, "second server used", uses("i-2"))
	r.store.Replace(platform.ServersTable, "i-2")
	time.Sleep(time.Second)
	eventually(t, "server that came back used", uses("i-2"))

	r.store.DeleteUnheard(platform.ServersTable, "i-2")
	time.Sleep(1500 * time.Millisecond)
	for range 20 {
		is.True(uses("i-1")())
	}
	r.stop()
}

// TestKeysDuringStoreOutage holds that a router cut off from the store stops taking keys in time, serves open routes, and
// takes keys again when the store is back.
func TestKeysDuringStoreOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := start(t, 1)
	code, _ := r.ask(0, "/p/x", "right")
	is.Equal(code, http.StatusOK)
	r.store.Fail(func(string, int) platformtest.Fault { return platformtest.Reset })
	time.Sleep(revoke)
	code, _ = r.ask(0, "/p/x", "right")
	is.Equal(code, http.StatusServiceUnavailable)
	code, _ = r.ask(0, "/p/x", "unknown")
	is.Equal(code, http.StatusServiceUnavailable) // Not 401: the key may be new.
	code, _ = r.ask(0, "/none/", "right")
	is.Equal(code, http.StatusServiceUnavailable)
	code, _ = r.ask(0, "/o/x", "")
	is.Equal(code, http.StatusOK)
	r.store.Heal()
	eventually(t, "keys taken again", func() bool { code, _ := r.ask(0, "/p/x", "right"); return code == http.StatusOK })
	r.stop()
	is.True(strings.Contains(r.logs[0].String(), "event=store_lost"))
	is.True(strings.Contains(r.logs[0].String(), "event=store_regained"))
}

// TestStaysReady holds that a router that nothing disturbs is always ready and takes keys at any time.
func TestStaysReady(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := start(t, 1)
	for end := time.Now().Add(2 * revoke); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if got := status(r.ready[0]); got != http.StatusOK {
			t.Fatalf("readiness answers %d", got)
		}
		code, _ := r.ask(0, "/p/x", "right")
		is.Equal(code, http.StatusOK)
		code, _ = r.ask(0, "/p/x", "wrong")
		is.Equal(code, http.StatusUnauthorized)
	}
	r.stop()
}

// TestStaysReadyWithLostWriteResponses holds that a router of which many writes go unanswered, but whose questions are answered,
// stays ready: what it knows does not grow old because each lost answer casts doubt on all connections.
func TestStaysReadyWithLostWriteResponses(t *testing.T) {
	t.Parallel()
	r := start(t, 1)
	r.store.Fail(func(path string, calls int) platformtest.Fault {
		if path == storewire.PathCommit && calls%2 == 0 {
			return platformtest.LoseAnswer
		}
		return 0
	})
	for end := time.Now().Add(3 * revoke); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if got := status(r.ready[0]); got != http.StatusOK {
			t.Fatalf("readiness answers %d", got)
		}
	}
	r.store.Heal()
	r.stop()
}

// TestUsage holds that each window is reported with what began in it, never twice with other figures, though answers to
// reports and to writes are lost.
func TestUsage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := start(t, 2)
	r.duties.LoseAnswers(func(reports int) bool { return reports%3 == 0 })
	r.store.Fail(func(path string, calls int) platformtest.Fault {
		if strings.HasSuffix(path, "tx") && calls%5 == 4 {
			return platformtest.LoseAnswer
		}
		return 0
	})
	sent := int64(0)
	for range 30 {
		for entry := range r.urls {
			if code, _ := r.ask(entry, "/p/x", "right"); code == http.StatusOK {
				sent++
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	counted := func() int64 {
		byWindow := make(map[int64]int64)
		for _, report := range r.duties.Reports() {
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
	eventually(t, "all reported", func() bool { return counted() == sent })
	r.stop()
}

// TestStop holds that a stopping router says so, goes on taking requests for a while, and cuts none.
func TestStop(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := start(t, 1)
	type answer struct {
		code int
		body string
	}
	slow := make(chan answer, 1)
	go func() {
		code, body := r.ask(0, "/p/2s", "right")
		slow <- answer{code, body}
	}()
	time.Sleep(100 * time.Millisecond)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		r.stop()
	}()
	eventually(t, "not ready", func() bool { return status(r.ready[0]) == http.StatusServiceUnavailable })
	code, _ := r.ask(0, "/p/x", "right")
	is.Equal(code, http.StatusOK)
	is.Equal(<-slow, answer{http.StatusOK, "i-1"})
	<-stopped
	is.Equal(status(r.ready[0]), 0)
}

// TestLogsExplainFailedRequests goes from the id of a refused, a failed and a denied request to its cause, by the logs alone.
func TestLogsExplainFailedRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := start(t, 1)
	lookup := func(id string) string {
		found := ""
		eventually(t, "line of "+id, func() bool {
			for line := range strings.Lines(r.logs[0].String()) {
				if strings.Contains(line, "event=request id="+id+" ") {
					found = line
				}
			}
			return found != ""
		})
		return found
	}
	has := func(line string, parts ...string) {
		for _, part := range parts {
			if !strings.Contains(line, part) {
				t.Errorf("line has no %s: %s", part, line)
			}
		}
	}

	code, _ := r.ask(0, "/p/denied", "wrong")
	is.Equal(code, http.StatusUnauthorized)
	has(lookup("id--p-denied"), "outcome=denied", "status=401", `reason="no such key"`, "version=1", "config_age_ms=")
	has(r.logs[0].String(), "event=configuration version=1", "customers=1")

	code, _ = r.ask(0, "/none/x", "right")
	is.Equal(code, http.StatusNotFound)
	has(lookup("id--none-x"), "outcome=denied", "status=404", `reason="no such route"`, "host="+host, "path=/none/x\n")

	code, _ = r.ask(0, "/p/vanish", "right")
	is.Equal(code, http.StatusBadGateway)
	has(lookup("id--p-vanish"), "outcome=failed", "status=502", `reason="server gave no whole answer and no other takes work"`, "server=i-1", "sent=lost")

	r.store.Delete(platform.ServersTable, "i-1")
	eventually(t, "no server", func() bool { code, _ := r.ask(0, "/p/none", "right"); return code == http.StatusServiceUnavailable })
	has(lookup("id--p-none"), "outcome=", "service=s")
	eventually(t, "refusal logged", func() bool {
		return strings.Contains(r.logs[0].String(), `outcome=refused status=503 reason="no server takes work"`)
	})
	has(r.logs[0].String(), "event=server_gone server=i-1")
	r.stop()
}

// TestReload takes over changed bounds, and keeps the old ones where the file is wrong.
func TestReload(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := start(t, 1)
	changed := r.settings[0]
	changed.Bounds.Revoke = time.Minute
	r.routers[0].Reload(changed, nil)
	r.routers[0].Reload(platform.Settings{}, io.ErrUnexpectedEOF)
	r.store.Fail(func(string, int) platformtest.Fault { return platformtest.Refuse })
	time.Sleep(revoke)
	code, _ := r.ask(0, "/p/x", "right")
	is.Equal(code, http.StatusOK)
	r.stop()
	is.True(strings.Contains(r.logs[0].String(), "event=reload outcome=read changed=1 fields=[Bounds.Revoke]"))
	is.True(strings.Contains(r.logs[0].String(), "event=reload outcome=kept"))
}
