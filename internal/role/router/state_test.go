package router_test

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.yaml.in/yaml/v3"

	"vanillapond/internal/role/router"
	"vanillapond/pkg/ident"
	"vanillapond/platform"
)

// state fetches a router's current state.
func (h *harness) state(t *testing.T, index int) router.State {
	t.Helper()
	response, err := http.Get(h.metricsURLs[index] + router.PathState)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var state router.State
	if err := json.NewDecoder(response.Body).Decode(&state); err != nil {
		t.Fatal(err)
	}
	return state
}

// TestState checks that a running router serves its configuration, servers, peers, lease and retry budgets, and shows a
// failed server as ejected.
func TestState(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	h := startRouters(t, 2)
	second := h.startServer(t, "i-2")
	second.Close()
	eventually(t, "second server ejected", func() bool {
		h.send(0, "/p/x", "right")
		state := h.state(t, 0)
		return len(state.Servers) == 2 && state.Servers[1].EjectedMS > 0
	})
	eventually(t, "peer known", func() bool { return len(h.state(t, 0).Peers) == 1 })
	eventually(t, "lease held", func() bool { return h.state(t, 0).Fence+h.state(t, 1).Fence > 0 })
	state := h.state(t, 0)
	is.True(state.Ready)
	is.Equal(state.Version, ident.Version(1))
	is.Equal(state.Servers[0].Server, ident.Endpoint("i-1"))
	is.Equal(state.Servers[0].State, string(platform.ServerReady))
	is.Equal(state.Servers[0].EjectedMS, int64(0))
	is.True(state.Servers[1].Failures > 0)
	is.True(state.RetriesRemaining["s"] > 0)

	h.store.Put(platform.OperatorTable, platform.ConfigurationKey, configuration(2, "right"))
	eventually(t, "new version in force", func() bool { return h.state(t, 1).Version == 2 })

	response, err := http.Get(h.metricsURLs[0] + "/metrics")
	is.NoErr(err)
	content, err := io.ReadAll(response.Body)
	is.NoErr(err)
	_ = response.Body.Close()
	for _, name := range []string{
		"router_requests_total", "router_first_byte_seconds_bucket", "router_config_age_seconds",
		"router_servers_age_seconds", "router_store_lost 0",
		"router_store_call_seconds_bucket", "router_repeats_left", "router_usage_windows_open", "router_lease_fence",
	} {
		if !strings.Contains(string(content), "vanillapond_"+name) {
			t.Errorf("metric %s is not exported", name)
		}
	}
	h.stop()
}

// TestAlertRules checks that the example alert rules refer only to metrics that a router exports.
func TestAlertRules(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	rules, err := os.ReadFile("../../../docs/alerts.yaml")
	is.NoErr(err)
	var parsed struct {
		Groups []struct {
			Rules []struct{ Alert, Expr string }
		}
	}
	is.NoErr(yaml.Unmarshal(rules, &parsed))
	var source []byte
	for _, file := range []string{"metrics.go", "holdings.go"} {
		content, err := os.ReadFile(file)
		is.NoErr(err)
		source = append(source, content...)
	}
	references := 0
	for _, group := range parsed.Groups {
		for _, rule := range group.Rules {
			for _, name := range regexp.MustCompile(`vanillapond_router_\w+`).FindAllString(rule.Expr, -1) {
				references++
				if !strings.Contains(string(source), `"`+name+`"`) &&
					!strings.Contains(string(source), `"`+strings.TrimPrefix(name, "vanillapond_router_")+`"`) {
					t.Errorf("alert %s refers to an unknown metric %s", rule.Alert, name)
				}
			}
		}
	}
	is.True(references > 10)
}
