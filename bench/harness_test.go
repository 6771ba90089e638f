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
	h := &harness{tb: tb, platformAddress: freeAddress(tb), entryAddress: freeAddress(tb), operatorAddress: freeAddress(tb), privateAddress: freeAddress(tb)}
	h.start("", "stub", "platform", "--listen", h.platformAddress)
	h.awaitReady("http://" + h.platformAddress + "/vms")
	for index := range config.engines {
		h.addEngine(index, config)
	}
	platformTarget := h.platformAddress
	if config.countTraffic {
		h.platformRelay, platformTarget = newRelay(tb, h.platformAddress)
	}
	settings := fmt.Sprintf("process: entry-1\nfailure_domain: bench-1\nlisten: %s\noperator_listen: %s\nprivate_listen: %s\nplatform: http://%s\nroot_operator: %s\n",
		h.entryAddress, h.operatorAddress, h.privateAddress, platformTarget, ident.DigestKey(operatorCredential))
	h.entryProcess = h.start("GOMAXPROCS="+strconv.Itoa(config.maxProcs), "entry", "--settings", h.writeFile("entry.yaml", settings))
	h.awaitReady("http://" + h.privateAddress + "/health")
	for index := range config.otherEntries {
		h.addEntry(index)
	}
	h.registerVMs(config.otherEntries)
	h.configure(config.customers)
	return h
}

// addEntry starts an entry that is not measured.
func (h *harness) addEntry(index int) {
	private := freeAddress(h.tb)
	settings := fmt.Sprintf("process: entry-%d\nfailure_domain: bench-1\nlisten: %s\noperator_listen: %s\nprivate_listen: %s\nplatform: http://%s\n",
		index+2, freeAddress(h.tb), freeAddress(h.tb), private, h.platformAddress)
	h.start("GOMAXPROCS=2", "entry", "--settings", h.writeFile(fmt.Sprintf("entry-%d.yaml", index+2), settings))
	h.awaitReady("http://" + private + "/health")
	h.otherEntries = append(h.otherEntries, private)
}

// registerVMs sets the platform's list of VMs to all entries.
func (h *harness) registerVMs(otherEntries int) {
	list := platform.VMsResponse{VMs: []platform.VM{{ID: "entry-1", Domain: "bench-1", Role: "entry", Address: h.privateAddress}}}
	for index := range otherEntries {
		list.VMs = append(list.VMs, platform.VM{
			ID: fmt.Sprintf("entry-%d", index+2), Domain: "bench-1", Role: "entry", Address: h.otherEntries[index],
		})
	}
	body, err := json.Marshal(list)
	if err != nil {
		h.tb.Fatal(err)
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+h.platformAddress+platform.PathVMs, bytes.NewReader(body))
	if err != nil {
		h.tb.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		h.tb.Fatal(err)
	}
	_ = response.Body.Close()
}

func (h *harness) addEngine(index int, config harnessConfig) {
	engine, sidecar, private := freeAddress(h.tb), freeAddress(h.tb), freeAddress(h.tb)
	h.start("", "stub", "engine", "--listen", engine, "--token-delay", config.tokenDelay.String())
	settings := fmt.Sprintf("process: sidecar-%d\nfailure_domain: bench-1\nendpoint: engine-%d\nkind: engine\nlisten: %s\nprivate_listen: %s\nbackend: http://%s\nplatform: http://%s\nconcurrency: 4000\n",
		index, index, sidecar, private, engine, h.platformAddress)
	h.sidecarProcess = h.start("", "sidecar", "--settings", h.writeFile(fmt.Sprintf("sidecar-%d.yaml", index), settings))
	h.awaitReady("http://" + private + "/health")
	h.awaitReady("http://" + engine + "/stub/executions")
	h.engineAddresses = append(h.engineAddresses, engine)
	if config.countTraffic {
		var link *relay
		link, sidecar = newRelay(h.tb, sidecar)
		h.linkRelays = append(h.linkRelays, link)
	}
	h.sidecarAddresses = append(h.sidecarAddresses, sidecar)
}

func (h *harness) configure(customers int) {
	client := operator.New(operator.Config{BaseURL: "http://" + h.operatorAddress, Credential: operatorCredential})
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
	for index, sidecar := range h.sidecarAddresses {
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
		h.tb.Fatal(err)
	}
	deadline := time.Now().Add(startTimeout)
	for readStream(h.entryAddress, 1) != nil {
		if time.Now().After(deadline) {
			h.tb.Fatal("no request was served before the start timeout")
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (h *harness) writeFile(name, content string) string {
	path := filepath.Join(h.tb.TempDir(), name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		h.tb.Fatal(err)
	}
	return path
}

func (h *harness) start(variable string, arguments ...string) *exec.Cmd {
	process := exec.Command("vanillapond", arguments...)
	process.Env = append(os.Environ(), variable)
	if err := process.Start(); err != nil {
		h.tb.Fatal(err)
	}
	h.tb.Cleanup(func() {
		_ = process.Process.Kill()
		_ = process.Wait()
	})
	return process
}

func (h *harness) awaitReady(url string) {
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
			h.tb.Fatalf("%s: not ready before the start timeout", url)
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
