// Package bench measures the path from caller to engine over real processes.
package bench

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"vanillapond/internal/command"
	"vanillapond/internal/process/platform"
	"vanillapond/internal/testport"
	"vanillapond/pkg/api"
	"vanillapond/pkg/configuration"
	"vanillapond/pkg/ident"
	"vanillapond/pkg/operator"
)

// Values of the rig.
const (
	key        = "bench-key"
	credential = "bench-operator"
	upTimeout  = 30 * time.Second
	// clockTicks is the unit of processor time in /proc, per second.
	clockTicks = 100
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"vanillapond": func() { os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// rig is a platform, engines with sidecars and one entry, each a process of its own.
type rig struct {
	tb       testing.TB
	platform string
	entry    string
	operator string
	private  string
	engines  []string
	sidecars []string
	// table and links count what the entry sends and receives; nil without counted.
	table *relay
	links []*relay
	// others are the private addresses of the entries that are not measured.
	others []string
	// entryProcess is the process that is measured.
	entryProcess   *exec.Cmd
	sidecarProcess *exec.Cmd
}

// rigConfig says how large a rig is.
type rigConfig struct {
	engines int
	// processors is GOMAXPROCS of the entry.
	processors int
	tokenDelay time.Duration
	// customers is how many customers with a key each are configured beside the rig's own.
	customers int
	// entries is how many entries there are beside the measured one.
	entries int
	// counted puts relays between the entry and all that it talks to.
	counted bool
}

func newRig(tb testing.TB, config rigConfig) *rig {
	tb.Helper()
	r := &rig{tb: tb, platform: address(tb), entry: address(tb), operator: address(tb), private: address(tb)}
	r.start("", "stub", "platform", "--listen", r.platform)
	r.await("http://" + r.platform + "/vms")
	for index := range config.engines {
		r.addEngine(index, config)
	}
	base := r.platform
	if config.counted {
		r.table, base = newRelay(tb, r.platform)
	}
	settings := fmt.Sprintf("process: entry-1\nfailure_domain: bench-1\nlisten: %s\noperator_listen: %s\nprivate_listen: %s\nplatform: http://%s\nroot_operator: %s\n",
		r.entry, r.operator, r.private, base, ident.DigestKey(credential))
	r.entryProcess = r.start("GOMAXPROCS="+strconv.Itoa(config.processors), "entry", "--settings", r.file("entry.yaml", settings))
	r.await("http://" + r.private + "/health")
	for index := range config.entries {
		r.addEntry(index)
	}
	r.listEntries(config.entries)
	r.configure(config.customers)
	return r
}

// addEntry starts an entry that is not measured.
func (r *rig) addEntry(index int) {
	private := address(r.tb)
	settings := fmt.Sprintf("process: entry-%d\nfailure_domain: bench-1\nlisten: %s\noperator_listen: %s\nprivate_listen: %s\nplatform: http://%s\n",
		index+2, address(r.tb), address(r.tb), private, r.platform)
	r.start("GOMAXPROCS=2", "entry", "--settings", r.file(fmt.Sprintf("entry-%d.yaml", index+2), settings))
	r.await("http://" + private + "/health")
	r.others = append(r.others, private)
}

// listEntries tells the platform of all entries.
func (r *rig) listEntries(others int) {
	listed := platform.VMsResponse{VMs: []platform.VM{{ID: "entry-1", Domain: "bench-1", Role: "entry", Address: r.private}}}
	for index := range others {
		listed.VMs = append(listed.VMs, platform.VM{
			ID: fmt.Sprintf("entry-%d", index+2), Domain: "bench-1", Role: "entry", Address: r.others[index],
		})
	}
	body, err := json.Marshal(listed)
	if err != nil {
		r.tb.Fatal(err)
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+r.platform+platform.PathVMs, bytes.NewReader(body))
	if err != nil {
		r.tb.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		r.tb.Fatal(err)
	}
	_ = response.Body.Close()
}

func (r *rig) addEngine(index int, config rigConfig) {
	engine, sidecar, private := address(r.tb), address(r.tb), address(r.tb)
	r.start("", "stub", "engine", "--listen", engine, "--token-delay", config.tokenDelay.String())
	settings := fmt.Sprintf("process: sidecar-%d\nfailure_domain: bench-1\nendpoint: engine-%d\nkind: engine\nlisten: %s\nprivate_listen: %s\nbackend: http://%s\nplatform: http://%s\nconcurrency: 4000\n",
		index, index, sidecar, private, engine, r.platform)
	r.sidecarProcess = r.start("", "sidecar", "--settings", r.file(fmt.Sprintf("sidecar-%d.yaml", index), settings))
	r.await("http://" + private + "/health")
	r.await("http://" + engine + "/stub/executions")
	r.engines = append(r.engines, engine)
	if config.counted {
		var link *relay
		link, sidecar = newRelay(r.tb, sidecar)
		r.links = append(r.links, link)
	}
	r.sidecars = append(r.sidecars, sidecar)
}

func (r *rig) configure(customers int) {
	client := operator.New(operator.Config{BaseURL: "http://" + r.operator, Credential: credential})
	patch := configuration.Patch{
		ID:      "bench",
		Billing: &configuration.Billing{WindowSeconds: 3600},
		Set: configuration.Entities{
			Partners:  []configuration.Partner{{ID: "bench"}},
			Customers: []configuration.Customer{{ID: "bench", Partner: "bench", Weight: 1}},
			Keys:      []configuration.Key{{Digest: ident.DigestKey(key), Customer: "bench", Classes: []ident.Class{"chat"}}},
			Classes: []configuration.Class{{
				ID: "chat", Pool: "engines", Tier: 1, FirstTokenMS: 30000, DeadlineMS: 600000, Idempotent: true, FloorPercent: 10,
			}},
			Pools: []configuration.Pool{{
				ID: "engines", Kind: configuration.KindEngine, Models: []ident.Model{"pond-small"}, Concurrency: 4000, MaxPerDomain: 64,
			}},
		},
	}
	for index, sidecar := range r.sidecars {
		patch.Set.Endpoints = append(patch.Set.Endpoints, configuration.Endpoint{
			ID: ident.Endpoint(fmt.Sprintf("engine-%d", index)), Pool: "engines", Domain: "bench-1", Sidecar: sidecar,
		})
	}
	for index := range customers {
		id := ident.Customer(fmt.Sprintf("customer-%05d", index))
		patch.Set.Customers = append(patch.Set.Customers, configuration.Customer{ID: id, Partner: "bench", Weight: 1})
		patch.Set.Keys = append(patch.Set.Keys, configuration.Key{
			Digest: ident.DigestKey(string(id)), Customer: id, Classes: []ident.Class{"chat"},
		})
	}
	if _, err := client.Patch(context.Background(), operator.PatchRequest{Patch: patch}); err != nil {
		r.tb.Fatal(err)
	}
	deadline := time.Now().Add(upTimeout)
	for ask(r.entry, 1) != nil {
		if time.Now().After(deadline) {
			r.tb.Fatal("the rig gives no answer")
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (r *rig) file(name, content string) string {
	path := filepath.Join(r.tb.TempDir(), name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		r.tb.Fatal(err)
	}
	return path
}

func (r *rig) start(variable string, arguments ...string) *exec.Cmd {
	process := exec.Command("vanillapond", arguments...)
	process.Env = append(os.Environ(), variable)
	if err := process.Start(); err != nil {
		r.tb.Fatal(err)
	}
	r.tb.Cleanup(func() {
		_ = process.Process.Kill()
		_ = process.Wait()
	})
	return process
}

func (r *rig) await(url string) {
	deadline := time.Now().Add(upTimeout)
	for {
		response, err := http.Get(url)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Now().After(deadline) {
			r.tb.Fatalf("%s: not up", url)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func address(tb testing.TB) string {
	tb.Helper()
	free, err := testport.Address()
	if err != nil {
		tb.Fatal(err)
	}
	return free
}

// client keeps enough connections for many streams.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}

// stream opens a streamed request of some tokens.
func stream(base string, tokens int) (io.ReadCloser, error) {
	body := fmt.Sprintf(`{"model":"pond-small","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"Draft."}]}`, tokens)
	request, err := http.NewRequest(http.MethodPost, "http://"+base+api.PathChat, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set(api.HeaderAuthorization, "Bearer "+key)
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		content, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		return nil, fmt.Errorf("status %d: %s", response.StatusCode, content)
	}
	return response.Body, nil
}

// ask reads a streamed answer to its end mark.
func ask(base string, tokens int) error {
	body, err := stream(base, tokens)
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	content, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	if !bytes.Contains(content, []byte("[DONE]")) {
		return fmt.Errorf("no end mark in %d bytes", len(content))
	}
	return nil
}

// firstToken returns the time to the first event, and reads the answer to its end.
func firstToken(base string, tokens int) (time.Duration, error) {
	started := time.Now()
	body, err := stream(base, tokens)
	if err != nil {
		return 0, err
	}
	defer func() { _ = body.Close() }()
	reader := bufio.NewReader(body)
	if _, err := reader.ReadString('\n'); err != nil {
		return 0, err
	}
	elapsed := time.Since(started)
	_, err = io.Copy(io.Discard, reader)
	return elapsed, err
}

// processorTime returns the processor time that a process has used.
func processorTime(tb testing.TB, process *exec.Cmd) time.Duration {
	tb.Helper()
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", process.Process.Pid))
	if err != nil {
		tb.Fatal(err)
	}
	fields := strings.Fields(string(content[bytes.LastIndexByte(content, ')')+2:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * time.Second / clockTicks
}

// residentBytes returns the memory that a process holds.
func residentBytes(tb testing.TB, process *exec.Cmd) int64 {
	tb.Helper()
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.Process.Pid))
	if err != nil {
		tb.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(content), "VmRSS:")
	kilobytes, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
	return kilobytes << 10
}
