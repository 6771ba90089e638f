package crowd_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"vanillapond/pkg/api"
	"vanillapond/pkg/configuration"
	"vanillapond/pkg/ident"
	"vanillapond/pkg/operator"
)

// Limits of an entry and of a sidecar under test, and sizes of their crowds.
const (
	entryMemoryMB = 160
	entryMaxBody  = 8 << 20
	peerMaxBody   = 32 << 20
	entryBodies   = 30
	entryHeads    = 250
	linkClients   = 20
	peerClients   = 10
	operatorKey   = "root-secret"
	customerKey   = "school-key"
)

// entry is an entry process with a sidecar and an engine behind it.
type entry struct {
	*process
	// sidecar's callers are entries, and peer's are other entries.
	sidecar, peer *process
	client        *http.Client
	url           string
}

// startEntry starts the processes. The entry and the sidecar have entryMemoryMB each.
func startEntry(t *testing.T, encrypted bool) *entry {
	t.Helper()
	folder, addresses := t.TempDir(), freeAddresses(t, 7)
	platformAddress, engineAddress, entryAddress, operatorAddress := addresses[0], addresses[1], addresses[2], addresses[3]
	entryPrivate, sidecarAddress, sidecarPrivate := addresses[4], addresses[5], addresses[6]
	e := &entry{url: "http://" + entryAddress, client: &http.Client{Transport: &http.Transport{
		TLSClientConfig: &tls.Config{InsecureSkipVerify: true}, ForceAttemptHTTP2: true, DisableKeepAlives: !encrypted,
	}}}
	t.Cleanup(e.client.CloseIdleConnections)
	callerTLS := ""
	if encrypted {
		authority := start(t, nil, "", "stub", "authority", "--directory", folder)
		<-authority.done
		callerTLS = fmt.Sprintf("caller_tls: {certificate_file: %s/certificate.pem, key_file: %s/key.pem}\n", folder, folder)
		e.url = "https://" + entryAddress
	}
	entrySettings := writeFile(t, folder, "entry.yaml", fmt.Sprintf(`process: entry-1
failure_domain: a
listen: %s
operator_listen: %s
private_listen: %s
platform: http://%s
root_operator: %s
%s`, entryAddress, operatorAddress, entryPrivate, platformAddress, ident.DigestKey(operatorKey), callerTLS))
	sidecarSettings := writeFile(t, folder, "sidecar.yaml", fmt.Sprintf(`process: sidecar-1
failure_domain: a
endpoint: llm-1
kind: engine
listen: %s
private_listen: %s
backend: http://%s
platform: http://%s
concurrency: 4
`, sidecarAddress, sidecarPrivate, engineAddress, platformAddress))
	memory := []string{fmt.Sprintf("GOMEMLIMIT=%dMiB", entryMemoryMB)}
	start(t, nil, "", "stub", "platform", "--listen", platformAddress)
	start(t, nil, "", "stub", "engine", "--listen", engineAddress, "--token-delay", "300ms")
	e.sidecar = start(t, memory, sidecarAddress, "sidecar", "--settings", sidecarSettings)
	e.process = start(t, memory, entryAddress, "entry", "--settings", entrySettings)
	e.peer = &process{command: e.command, callers: entryPrivate, done: e.done}
	e.configure(t, operatorAddress, sidecarAddress)
	if err := e.ordinaryRequest(); err != nil {
		t.Fatal(err)
	}
	return e
}

func writeFile(t *testing.T, folder, name, content string) string {
	t.Helper()
	path := filepath.Join(folder, name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func (e *entry) configure(t *testing.T, operatorAddress, sidecarAddress string) {
	t.Helper()
	client := operator.New(operator.Config{BaseURL: "http://" + operatorAddress, Credential: operatorKey})
	patch := operator.PatchRequest{Patch: configuration.Patch{
		ID: "first", Billing: &configuration.Billing{WindowSeconds: 3600},
		Set: configuration.Entities{
			Partners:  []configuration.Partner{{ID: "vzorovna"}},
			Customers: []configuration.Customer{{ID: "school", Partner: "vzorovna", Weight: 1}},
			Keys:      []configuration.Key{{Digest: ident.DigestKey(customerKey), Customer: "school", Classes: []ident.Class{"drafting"}}},
			Classes: []configuration.Class{{
				ID: "drafting", Pool: "engines", Tier: 2, FirstTokenMS: 10_000, DeadlineMS: 60_000, Idempotent: true, FloorPercent: 20,
			}},
			Pools: []configuration.Pool{{
				ID: "engines", Kind: configuration.KindEngine, Models: []ident.Model{"pond-small"}, Concurrency: 4, MaxPerDomain: 1,
			}},
			Endpoints: []configuration.Endpoint{{ID: "llm-1", Pool: "engines", Domain: "a", Sidecar: sidecarAddress}},
		},
	}}
	last := fmt.Errorf("not sent")
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(watchInterval) {
		if _, last = client.Patch(t.Context(), patch); last == nil {
			return
		}
	}
	t.Fatalf("configuration: %v", last)
}

// ordinaryRequest sends a small request.
func (e *entry) ordinaryRequest() error {
	const body = `{"model":"pond-small","max_tokens":1,"messages":[{"role":"user","content":"Draft."}]}`
	return e.keepTrying(func(int) (status int, got string, err error) {
		ctx, cancel := context.WithTimeout(context.Background(), ordinaryTimeout)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url+api.PathChat, strings.NewReader(body))
		if err != nil {
			return 0, "", err
		}
		request.Header.Set("Authorization", "Bearer "+customerKey)
		response, err := e.client.Do(request)
		if err != nil {
			return 0, "", err
		}
		defer func() { _ = response.Body.Close() }()
		content, err := io.ReadAll(response.Body)
		if response.StatusCode == http.StatusOK && bytes.Contains(content, []byte(`"choices"`)) {
			return response.StatusCode, "", err
		}
		return response.StatusCode, string(content), err
	}, "")
}

// entryHead returns a head without its last, empty line.
func entryHead() string {
	return "POST " + api.PathChat + " HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer " + customerKey + "\r\n"
}

// largePrompt returns a valid request of the greatest size.
func largePrompt() string {
	const start, end = `{"model":"pond-small","max_tokens":1,"messages":[{"role":"user","content":"`, `"}]}`
	return start + strings.Repeat("p", entryMaxBody-len(start)-len(end)) + end
}

// TestEntryCrowd does for an entry what TestCrowd does for a router. GOMEMLIMIT states the memory.
func TestEntryCrowd(t *testing.T) {
	whole := entryHead() + fmt.Sprintf("Content-Length: %d\r\n\r\n", entryMaxBody) + largePrompt()
	for _, crowd := range []crowd{
		{"bodies_unfinished", entryBodies, func(conn net.Conn, _ string) error { return write(conn, whole[:len(whole)-1]) }},
		{"bodies_whole", entryBodies, func(conn net.Conn, _ string) error {
			if err := write(conn, whole); err != nil {
				return err
			}
			return awaitResponse(conn)
		}},
		{"chunks_endless", entryBodies, func(conn net.Conn, _ string) error {
			return sendEndlessChunks(conn, entryHead()+"Transfer-Encoding: chunked\r\n\r\n", 64<<10)
		}},
		{"chunks_small_endless", entryBodies, func(conn net.Conn, _ string) error {
			return sendEndlessChunks(conn, entryHead()+"Transfer-Encoding: chunked\r\n\r\n", 16)
		}},
		{"heads_of_short_fields", entryHeads, func(conn net.Conn, _ string) error { return write(conn, entryHead()+shortFields(60_000)) }},
	} {
		t.Run(crowd.name, func(t *testing.T) {
			e := startEntry(t, false)
			check(t, e.process, bounds{memoryMB: entryMemoryMB, sockets: maxDescriptors}, crowd, e.ordinaryRequest)
		})
	}
}

// TestEntryStreams does the same with streams of one HTTP/2 connection.
func TestEntryStreams(t *testing.T) {
	for _, whole := range []bool{false, true} {
		t.Run(fmt.Sprintf("whole_%t", whole), func(t *testing.T) {
			e := startEntry(t, true)
			act := func(_ net.Conn, _ string) error {
				ctx, cancel := context.WithTimeout(context.Background(), crowdTime)
				defer cancel()
				reader, writer := io.Pipe()
				go func() {
					_, _ = io.WriteString(writer, largePrompt()[:entryMaxBody-1])
					if whole {
						_, _ = io.WriteString(writer, "}")
						_ = writer.Close()
					}
					<-ctx.Done()
					_ = writer.Close()
				}()
				request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url+api.PathChat, reader)
				if err != nil {
					return err
				}
				request.Header.Set("Authorization", "Bearer "+customerKey)
				response, err := e.client.Do(request)
				if err != nil {
					return err
				}
				defer func() { _ = response.Body.Close() }()
				if response.ProtoMajor != 2 {
					t.Errorf("found HTTP/%d, want HTTP/2", response.ProtoMajor)
				}
				_, err = io.Copy(io.Discard, response.Body)
				return err
			}
			check(t, e.process, bounds{memoryMB: entryMemoryMB, sockets: maxDescriptors}, crowd{clients: entryBodies, act: act}, e.ordinaryRequest)
		})
	}
}

// TestPeerCrowd does the same at the port where other entries query an entry.
func TestPeerCrowd(t *testing.T) {
	e := startEntry(t, false)
	check(t, e.peer, bounds{memoryMB: entryMemoryMB, sockets: maxDescriptors}, crowd{clients: peerClients, act: func(conn net.Conn, _ string) error {
		head := fmt.Sprintf("POST /peer HTTP/1.1\r\nHost: entry\r\nAuthorization: Peer-Secret:\r\nContent-Length: %d\r\n\r\n", peerMaxBody)
		if err := write(conn, head); err != nil {
			return err
		}
		return sendPieces(conn, peerMaxBody-1, 64<<10)
	}}, e.ordinaryRequest)
}

// TestLinkCrowd does the same at a sidecar's port: the clients send a long message without its end instead of the hello.
func TestLinkCrowd(t *testing.T) {
	const messageBytes = 15 << 20
	e := startEntry(t, false)
	check(t, e.sidecar, bounds{memoryMB: entryMemoryMB, sockets: maxDescriptors}, crowd{clients: linkClients, act: func(conn net.Conn, _ string) error {
		handshake := "GET /link HTTP/1.1\r\nHost: sidecar\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n" +
			"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n"
		// A final, masked, binary frame with a length of eight bytes and a mask of zeros.
		frame := []byte{0x82, 0xff, 0, 0, 0, 0, byte(messageBytes >> 24), byte(messageBytes >> 16 & 0xff), byte(messageBytes >> 8 & 0xff), byte(messageBytes & 0xff), 0, 0, 0, 0}
		if err := write(conn, handshake+string(frame)); err != nil {
			return err
		}
		return sendPieces(conn, messageBytes-1, 64<<10)
	}}, e.ordinaryRequest)
}

// TestLargestEntryRequest checks that a request of the greatest size is served in calm.
func TestLargestEntryRequest(t *testing.T) {
	e := startEntry(t, false)
	stop := e.watch()
	request := entryHead() + fmt.Sprintf("Content-Length: %d\r\n\r\n", entryMaxBody) + largePrompt()
	for range 3 {
		status, body, err := e.roundTrip(func(conn net.Conn) error { return write(conn, request) })
		if err != nil || status != http.StatusOK {
			t.Errorf("found status %d, body %.200q and error %v, want 200", status, body, err)
		}
	}
	if peak := stop(); peak.memoryKiB > entryMemoryMB<<10 {
		t.Errorf("memory at its peak: found %d KiB, want at most %d MiB", peak.memoryKiB, entryMemoryMB)
	}
}
