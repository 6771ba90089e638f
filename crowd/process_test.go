package crowd_test

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"vanillapond/internal/testport"
)

// process is a running process of the system.
type process struct {
	command *exec.Cmd
	// callers is the address of its listener for callers.
	callers string
	// servers is the address of the servers behind it; empty if there are none, or they have several.
	servers string
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

// start starts a process, which is killed at the end of the test. The variables are added to the environment.
func start(t *testing.T, variables []string, callers string, arguments ...string) *process {
	t.Helper()
	program, err := programFile()
	if err != nil {
		t.Fatal(err)
	}
	p := &process{command: exec.Command(program, arguments...), callers: callers, done: make(chan struct{})}
	p.command.Env = append(os.Environ(), variables...)
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.command.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		_ = p.command.Process.Signal(syscall.SIGKILL)
		<-p.done
		if content, err := os.ReadFile(log.Name()); t.Failed() && err == nil {
			t.Logf("end of the log of %v: %s", arguments, content[max(0, len(content)-4000):])
		}
		_ = log.Close()
	})
	return p
}

func freeAddresses(t *testing.T, count int) []string {
	t.Helper()
	addresses := make([]string, count)
	for index := range addresses {
		var err error
		if addresses[index], err = testport.Address(); err != nil {
			t.Fatal(err)
		}
	}
	return addresses
}

// isAlive reports whether the process still runs.
func (p *process) isAlive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// keepTrying sends a request as an ordinary caller does: it tries again after a refusal that promises that the request did not run, and after a
// connection that was closed. want is the body of the response.
func (p *process) keepTrying(send func(try int) (status int, body string, err error), want string) error {
	last := fmt.Errorf("not sent")
	for end, try := time.Now().Add(ordinaryTimeout), 0; time.Now().Before(end) && p.isAlive(); try++ {
		status, got, err := send(try)
		switch {
		case err != nil:
			last = err
		case status == http.StatusOK && got != want:
			return fmt.Errorf("found body %q, want %q", got, want)
		case status == http.StatusOK:
			return nil
		case status == http.StatusServiceUnavailable, status == http.StatusRequestTimeout:
			last = fmt.Errorf("found status %d: %s", status, got)
		default:
			return fmt.Errorf("found status %d: %s", status, got)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return last
}

// roundTrip sends a request on a new connection and returns the response.
func (p *process) roundTrip(send func(net.Conn) error) (status int, body string, err error) {
	conn, err := dial(p.callers)
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
