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

// state asks a router what it believes.
func (r *rig) state(t *testing.T, entry int) router.State {
	t.Helper()
	response, err := http.Get(r.metrics[entry] + router.PathState)
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

// TestState holds that a running router shows its configuration, servers, peers, lease and budgets, and why a server is out.
func TestState(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := start(t, 2)
	second := r.serve(t, "i-2")
	second.Close()
	eventually(t, "second server out", func() bool {
		r.ask(0, "/p/x", "right")
		state := r.state(t, 0)
		return len(state.Servers) == 2 && state.Servers[1].EjectedMS > 0
	})
	eventually(t, "peers known", func() bool { return len(r.state(t, 0).Peers) == 1 })
	eventually(t, "lease held", func() bool { return r.state(t, 0).Fence+r.state(t, 1).Fence > 0 })
	state := r.state(t, 0)
	is.True(state.Ready)
	is.Equal(state.Version, ident.Version(1))
	is.Equal(state.Servers[0].Server, ident.Endpoint("i-1"))
	is.Equal(state.Servers[0].State, string(platform.ServerReady))
	is.Equal(state.Servers[0].EjectedMS, int64(0))
	is.True(state.Servers[1].Failures > 0)
	is.True(state.RetriesRemaining["s"] > 0)

	r.store.Put(platform.OperatorTable, platform.ConfigurationKey, configuration(2, "right"))
	eventually(t, "new version", func() bool { return r.state(t, 1).Version == 2 })

	response, err := http.Get(r.metrics[0] + "/metrics")
	is.NoErr(err)
	content, err := io.ReadAll(response.Body)
	is.NoErr(err)
	_ = response.Body.Close()
	for _, name := range []string{
		"router_requests_total", "router_first_byte_seconds_bucket", "router_config_age_seconds", "router_servers_age_seconds", "router_store_lost 0",
		"router_store_call_seconds_bucket", "router_repeats_left", "router_usage_windows_open", "router_lease_fence",
	} {
		if !strings.Contains(string(content), "vanillapond_"+name) {
			t.Errorf("no metric %s", name)
		}
	}
	r.stop()
}

// TestAlertRules holds that the example rules name only counters that a router has.
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
	source, err := os.ReadFile("metrics.go")
	is.NoErr(err)
	named := 0
	for _, group := range parsed.Groups {
		for _, rule := range group.Rules {
			for _, name := range regexp.MustCompile(`vanillapond_router_\w+`).FindAllString(rule.Expr, -1) {
				named++
				if !strings.Contains(string(source), `"`+name+`"`) && !strings.Contains(string(source), `"`+strings.TrimPrefix(name, "vanillapond_router_")+`"`) {
					t.Errorf("%s: no counter %s", rule.Alert, name)
				}
			}
		}
	}
	is.True(named > 10)
}
