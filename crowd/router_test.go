package crowd_test

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"vanillapond/internal/testport"
	"vanillapond/platform"
	"vanillapond/platform/platformtest"
)

const (
	host = "crowd.example"
	// slowResponse is how long the server takes for requests of the route "slow".
	slowResponse = 2 * time.Second
	// readyTimeout bounds the start of the process, and ordinaryTimeout how long an ordinary caller goes on trying.
	readyTimeout    = 20 * time.Second
	ordinaryTimeout = 30 * time.Second
	watchInterval   = 20 * time.Millisecond
)

// router is a router process.
type router struct {
	process        *exec.Cmd
	callers, ready string
	// done is closed when the process has ended.
	done chan struct{}
}

// programFile builds the program once.
var programFile = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "crowd")
	if err != nil {
		return "", err
	}
	file := filepath.Join(folder, "vanillapond")
	if out, err := exec.Command("go", "build", "-o", file, "../cmd/vanillapond").CombinedOutput(); err != nil {
		return "", fmt.Errorf("build: %w\n%s", err, out)
	}
	return file, nil
})

func TestMain(m *testing.M) {
	status := m.Run()
	if file, err := programFile(); err == nil {
		_ = os.RemoveAll(filepath.Dir(file))
	}
	os.Exit(status)
}

func configuration() platform.Configuration {
	return platform.Configuration{
		Version: 1,
		Routes: []platform.Route{
			{Name: "plain", Host: host, PathPrefix: "/p/", Kind: platform.Idempotent, Timeout: 5000, Service: "s", MaxServers: 2},
			{Name: "slow", Host: host, PathPrefix: "/slow/", Kind: platform.Idempotent, Timeout: 20_000, Service: "s", MaxServers: 2},
		},
		Services:  []platform.Service{{Name: "s", MaxConnections: 100}},
		Customers: []platform.Customer{{Name: "school", Keys: []string{"right"}}},
		Limits:    platform.Limits{HeaderBytes: maxHeaderBytes, BodyBytes: maxBodyBytes, HeaderTimeout: 3000, IdleTimeout: 15_000},
	}
}

// startRouter starts a process with so much memory, and waits until it is ready.
func startRouter(t *testing.T, memory int) *router {
	t.Helper()
	program, err := programFile()
	if err != nil {
		t.Fatal(err)
	}
	store, duties, server := platformtest.NewStore(), platformtest.NewDuties(), httptest.NewServer(http.HandlerFunc(serve))
	t.Cleanup(store.Close)
	t.Cleanup(duties.Close)
	t.Cleanup(server.Close)
	store.Put(platform.OperatorTable, platform.ConfigurationKey, configuration())
	store.Put(platform.ServersTable, "i-1", platform.Server{
		Service: "s", Address: server.Listener.Addr().String(), Domain: "a", State: platform.ServerReady, Slots: 64, StartedUnixMS: 1,
	})
	addresses := [3]string{}
	for index := range addresses {
		if addresses[index], err = testport.Address(); err != nil {
			t.Fatal(err)
		}
	}
	settings := filepath.Join(t.TempDir(), "settings")
	content := platformtest.Settings(platformtest.SettingsConfig{
		Process: "front-a", CallersAddress: addresses[0], ReadyAddress: addresses[1],
		PeerPort:     strconv.Itoa(int(netip.MustParseAddrPort(addresses[2]).Port())),
		StoreAddress: store.Address(), DutiesAddress: duties.Address(),
		Revoke: 5 * time.Second, Drain: 2 * time.Second, Grace: 6 * time.Second, Contact: 3 * time.Second,
		UsageWindow: 5 * time.Second, UsageLate: 10 * time.Second, MemoryMB: memory, MaxDescriptors: maxDescriptors,
	}) + "Bootstrap=true\n"
	if err := os.WriteFile(settings, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	r := &router{process: exec.Command(program, "router", "--settings", settings), callers: addresses[0], ready: addresses[1], done: make(chan struct{})}
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	r.process.Stdout, r.process.Stderr = log, log
	if err := r.process.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = r.process.Wait()
		close(r.done)
	}()
	t.Cleanup(func() {
		_ = r.process.Process.Signal(syscall.SIGKILL)
		<-r.done
		if content, err := os.ReadFile(log.Name()); t.Failed() && err == nil {
			t.Logf("end of the log: %s", content[max(0, len(content)-4000):])
		}
		_ = log.Close()
	})
	for end := time.Now().Add(readyTimeout); !r.isReady(); time.Sleep(watchInterval) {
		if time.Now().After(end) {
			t.Fatalf("not ready within %v", readyTimeout)
		}
	}
	return r
}

// serve responds with the digest of the request's body.
func serve(w http.ResponseWriter, request *http.Request) {
	digest := sha256.New()
	if _, err := io.Copy(digest, request.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if strings.HasPrefix(request.URL.Path, "/slow/") {
		time.Sleep(slowResponse)
	}
	w.Header().Set(platform.HeaderRequestID, request.Header.Get(platform.HeaderRequestID))
	w.Header().Set(platform.HeaderSignature, "seal")
	_, _ = io.WriteString(w, hex.EncodeToString(digest.Sum(nil)))
}

func (r *router) isReady() bool {
	response, err := http.Get("http://" + r.ready)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// isAlive reports whether the process still runs.
func (r *router) isAlive() bool {
	select {
	case <-r.done:
		return false
	default:
		return true
	}
}

// ordinaryRequest sends a small request. Like an ordinary caller it tries again, on a new connection, after a refusal that promises that the request did
// not run, and after a connection that was closed.
func (r *router) ordinaryRequest() error {
	body := strings.Repeat("ordinary ", 200)
	last := fmt.Errorf("not sent")
	for end, try := time.Now().Add(ordinaryTimeout), 0; time.Now().Before(end) && r.isAlive(); try++ {
		request := requestHead("POST", "/p/", "right", "ordinary-"+strconv.Itoa(try)) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
		status, got, err := r.roundTrip(func(conn net.Conn) error { return write(conn, request) })
		if err == nil && status == http.StatusOK {
			if want := digestOf(body); got != want {
				return fmt.Errorf("found body %q, want %q", got, want)
			}
			return nil
		}
		if last = err; err == nil {
			last = fmt.Errorf("found status %d: %s", status, got)
			if status != http.StatusServiceUnavailable && status != http.StatusRequestTimeout {
				return last
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return last
}

// serveLargest sends a request whose body is maxBodyBytes long.
func (r *router) serveLargest(send func(net.Conn, string) error) error {
	status, got, err := r.roundTrip(func(conn net.Conn) error { return send(conn, "largest") })
	if err != nil {
		return err
	}
	if want := digestOf(strings.Repeat("b", maxBodyBytes)); status != http.StatusOK || got != want {
		return fmt.Errorf("found status %d and body %q, want 200 and %q", status, got, want)
	}
	return nil
}

// roundTrip sends a request on a new connection and returns the response.
func (r *router) roundTrip(send func(net.Conn) error) (status int, body string, err error) {
	conn, err := dial(r.callers)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(ordinaryTimeout))
	if err := send(conn); err != nil {
		return 0, "", err
	}
	return readResponse(bufio.NewReader(conn))
}

func readResponse(reader *bufio.Reader) (status int, body string, err error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, string(content), err
}

func digestOf(body string) string {
	digest := sha256.Sum256([]byte(body))
	return hex.EncodeToString(digest[:])
}
