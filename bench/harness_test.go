// Package bench measures the latency and resource use of requests from caller to engine, with each part of the system as a separate
// process.
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

// Settings of the harness.
const (
	customerKey        = "bench-key"
	operatorCredential = "bench-operator"
	startTimeout       = 30 * time.Second
	// clockTicksPerSecond is the number of clock ticks per second; CPU times in /proc are in clock ticks.
	clockTicksPerSecond = 100
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"vanillapond": func() { os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// harness runs a platform stub, engine stubs with their sidecars, and the measured entry, each as a separate process.
type harness struct {
	tb               testing.TB
	platformAddress  string
	entryAddress     string
	operatorAddress  string
	privateAddress   string
	engineAddresses  []string
	sidecarAddresses []string
	// platformRelay and linkRelays count the bytes between the entry and the platform or the sidecars; nil without countTraffic.
	platformRelay *relay
	linkRelays    []*relay
	// otherEntries holds the private addresses of the entries that are not measured.
	otherEntries []string
	// entryProcess is the measured entry, sidecarProcess the last sidecar that was started.
	entryProcess   *exec.Cmd
	sidecarProcess *exec.Cmd
}

// harnessConfig sets the size of a harness.
type harnessConfig struct {
	engines int
	// maxProcs is GOMAXPROCS of the entry.
	maxProcs   int
	tokenDelay time.Duration
	// customers is the number of configured customers, with one key each, besides the one that sends the requests.
	customers int
	// otherEntries is the number of entries besides the measured one.
	otherEntries int
	// countTraffic puts relays between the entry and the platform and sidecars.
	countTraffic bool
}

func newHarness(tb testing.TB, config harnessConfig) *harness {
	tb.Helper()
	r := &harness{tb: tb, platformAddress: freeAddress(tb), entryAddress: freeAddress(tb), operatorAddress: freeAddress(tb), privateAddress: freeAddress(tb)}
	r.start("", "stub", "platform", "--listen", r.platformAddress)
	r.awaitReady("http://" + r.platformAddress + "/vms")
	for index := range config.engines {
		r.addEngine(index, config)
	}
	platformTarget := r.platformAddress
	if config.countTraffic {
		r.platformRelay, platformTarget = newRelay(tb, r.platformAddress)
	}
	settings := fmt.Sprintf("process: entry-1\nfailure_domain: bench-1\nlisten: %s\noperator_listen: %s\nprivate_listen: %s\nplatform: http://%s\nroot_operator: %s\n",
		r.entryAddress, r.operatorAddress, r.privateAddress, platformTarget, ident.DigestKey(operatorCredential))
	r.entryProcess = r.start("GOMAXPROCS="+strconv.Itoa(config.maxProcs), "entry", "--settings", r.writeFile("entry.yaml", settings))
	r.awaitReady("http://" + r.privateAddress + "/health")
	for index := range config.otherEntries {
		r.addEntry(index)
	}
	r.registerVMs(config.otherEntries)
	r.configure(config.customers)
	return r
}

// addEntry starts an entry that is not measured.
func (r *harness) addEntry(index int) {
	private := freeAddress(r.tb)
	settings := fmt.Sprintf("process: entry-%d\nfailure_domain: bench-1\nlisten: %s\noperator_listen: %s\nprivate_listen: %s\nplatform: http://%s\n",
		index+2, freeAddress(r.tb), freeAddress(r.tb), private, r.platformAddress)
	r.start("GOMAXPROCS=2", "entry", "--settings", r.writeFile(fmt.Sprintf("entry-%d.yaml", index+2), settings))
	r.awaitReady("http://" + private + "/health")
	r.otherEntries = append(r.otherEntries, private)
}

// registerVMs sets the platform's list of VMs to all entries.
func (r *harness) registerVMs(otherEntries int) {
	list := platform.VMsResponse{VMs: []platform.VM{{ID: "entry-1", Domain: "bench-1", Role: "entry", Address: r.privateAddress}}}
	for index := range otherEntries {
		list.VMs = append(list.VMs, platform.VM{
			ID: fmt.Sprintf("entry-%d", index+2), Domain: "bench-1", Role: "entry", Address: r.otherEntries[index],
		})
	}
	body, err := json.Marshal(list)
	if err != nil {
		r.tb.Fatal(err)
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+r.platformAddress+platform.PathVMs, bytes.NewReader(body))
	if err != nil {
		r.tb.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		r.tb.Fatal(err)
	}
	_ = response.Body.Close()
}

func (r *harness) addEngine(index int, config harnessConfig) {
	engine, sidecar, private := freeAddress(r.tb), freeAddress(r.tb), freeAddress(r.tb)
	r.start("", "stub", "engine", "--listen", engine, "--token-delay", config.tokenDelay.String())
	settings := fmt.Sprintf("process: sidecar-%d\nfailure_domain: bench-1\nendpoint: engine-%d\nkind: engine\nlisten: %s\nprivate_listen: %s\nbackend: http://%s\nplatform: http://%s\nconcurrency: 4000\n",
		index, index, sidecar, private, engine, r.platformAddress)
	r.sidecarProcess = r.start("", "sidecar", "--settings", r.writeFile(fmt.Sprintf("sidecar-%d.yaml", index), settings))
	r.awaitReady("http://" + private + "/health")
	r.awaitReady("http://" + engine + "/stub/executions")
	r.engineAddresses = append(r.engineAddresses, engine)
	if config.countTraffic {
		var link *relay
		link, sidecar = newRelay(r.tb, sidecar)
		r.linkRelays = append(r.linkRelays, link)
	}
	r.sidecarAddresses = append(r.sidecarAddresses, sidecar)
}

func (r *harness) configure(customers int) {
	client := operator.New(operator.Config{BaseURL: "http://" + r.operatorAddress, Credential: operatorCredential})
	patch := configuration.Patch{
		ID:      "bench",
		Billing: &configuration.Billing{WindowSeconds: 3600},
		Set: configuration.Entities{
			Partners:  []configuration.Partner{{ID: "bench"}},
			Customers: []configuration.Customer{{ID: "bench", Partner: "bench", Weight: 1}},
			Keys:      []configuration.Key{{Digest: ident.DigestKey(customerKey), Customer: "bench", Classes: []ident.Class{"chat"}}},
			Classes: []configuration.Class{{
				ID: "chat", Pool: "engines", Tier: 1, FirstTokenMS: 30000, DeadlineMS: 600000, Idempotent: true, FloorPercent: 10,
			}},
			Pools: []configuration.Pool{{
				ID: "engines", Kind: configuration.KindEngine, Models: []ident.Model{"pond-small"}, Concurrency: 4000, MaxPerDomain: 64,
			}},
		},
	}
	for index, sidecar := range r.sidecarAddresses {
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
	deadline := time.Now().Add(startTimeout)
	for readStream(r.entryAddress, 1) != nil {
		if time.Now().After(deadline) {
			r.tb.Fatal("no request was served before the start timeout")
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (r *harness) writeFile(name, content string) string {
	path := filepath.Join(r.tb.TempDir(), name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		r.tb.Fatal(err)
	}
	return path
}

func (r *harness) start(variable string, arguments ...string) *exec.Cmd {
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

func (r *harness) awaitReady(url string) {
	deadline := time.Now().Add(startTimeout)
	for {
		response, err := http.Get(url)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Now().After(deadline) {
			r.tb.Fatalf("%s: not ready before the start timeout", url)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func freeAddress(tb testing.TB) string {
	tb.Helper()
	free, err := testport.Address()
	if err != nil {
		tb.Fatal(err)
	}
	return free
}

// client keeps enough idle connections for the concurrent streams.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}

// openStream sends a streaming request for a number of tokens and returns the response body.
func openStream(address string, tokens int) (io.ReadCloser, error) {
	body := fmt.Sprintf(`{"model":"pond-small","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"Draft."}]}`, tokens)
	request, err := http.NewRequest(http.MethodPost, "http://"+address+api.PathChat, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set(api.HeaderAuthorization, "Bearer "+customerKey)
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

// readStream sends a streaming request and reads the response up to its end marker.
func readStream(address string, tokens int) error {
	body, err := openStream(address, tokens)
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	content, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	if !bytes.Contains(content, []byte("[DONE]")) {
		return fmt.Errorf("stream has no end marker in %d bytes", len(content))
	}
	return nil
}

// firstToken returns the time to the first token of a streaming request, and reads the response to its end.
func firstToken(address string, tokens int) (time.Duration, error) {
	started := time.Now()
	body, err := openStream(address, tokens)
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

// cpuTimeOf returns the user and system CPU time of a process.
func cpuTimeOf(tb testing.TB, process *exec.Cmd) time.Duration {
	tb.Helper()
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", process.Process.Pid))
	if err != nil {
		tb.Fatal(err)
	}
	fields := strings.Fields(string(content[bytes.LastIndexByte(content, ')')+2:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * time.Second / clockTicksPerSecond
}

// residentBytes returns the resident memory of a process.
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
