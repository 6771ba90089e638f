package scenario

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"vanillapond/internal/process/event"
)

// relaysByAddress holds the relays of all scripts by listen address.
var relaysByAddress sync.Map

// tcpRelay forwards TCP connections between processes until a script blocks it.
type tcpRelay struct {
	target string
	mu     sync.Mutex
	// blocked means that connections are accepted, but nothing is forwarded; guarded by mu.
	blocked bool
	// connections holds the open connections to both sides; guarded by mu.
	connections map[net.Conn]bool
}

// relay forwards connections from address FROM to address TO: relay FROM TO.
func relay(ts *testscript.TestScript, _ bool, args []string) {
	// A process that another script starts may hold a copy of a socket with this port for a moment, between fork and exec.
	var socket net.Listener
	poll(ts, startTimeout, func() error {
		var err error
		socket, err = net.Listen("tcp", args[0])
		return err
	})
	r := &tcpRelay{target: args[1], connections: make(map[net.Conn]bool)}
	relaysByAddress.Store(args[0], r)
	ts.Defer(func() {
		_ = socket.Close()
		r.setBlocked(true)
	})
	go func() {
		for {
			conn, err := socket.Accept()
			if err != nil {
				return
			}
			go r.forward(conn)
		}
	}()
}

func (r *tcpRelay) forward(from net.Conn) {
	r.mu.Lock()
	r.connections[from] = true
	blocked := r.blocked
	r.mu.Unlock()
	if blocked {
		return
	}
	to, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = from.Close()
		return
	}
	r.mu.Lock()
	r.connections[to] = true
	r.mu.Unlock()
	go func() {
		_, _ = io.Copy(to, from)
		_ = to.Close()
	}()
	_, _ = io.Copy(from, to)
	_ = from.Close()
}

// setBlocked sets whether the relay is blocked, and closes all open connections.
func (r *tcpRelay) setBlocked(blocked bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blocked = blocked
	for conn := range r.connections {
		_ = conn.Close()
	}
	clear(r.connections)
}

// cut blocks relays: they accept connections, but forward nothing. With ! they forward again: cut FROM...
func cut(ts *testscript.TestScript, neg bool, args []string) {
	for _, address := range args {
		r, found := relaysByAddress.Load(address)
		if !found {
			ts.Fatalf("cut: no relay listens on %s", address)
		}
		r.(*tcpRelay).setBlocked(!neg)
	}
}

// backgroundRequests holds the result channels of the requests that the command "hold" has sent, by script and name.
var backgroundRequests sync.Map

type backgroundKey struct {
	script *testscript.TestScript
	name   string
}

// hold sends a request in the background; the command "ended" awaits its response: hold NAME METHOD URL...
func hold(ts *testscript.TestScript, _ bool, args []string) {
	pending := make(chan result, 1)
	backgroundRequests.Store(backgroundKey{ts, args[0]}, pending)
	message := compose(ts, args[1:])
	go func() { pending <- exchange(message) }()
}

// ended checks that a request sent by the command "hold" ends with the status within the duration, and writes the response body to
// stdout: ended STATUS NAME DURATION. The status cut stands for an interrupted response or none.
func ended(ts *testscript.TestScript, _ bool, args []string) {
	pending, found := backgroundRequests.Load(backgroundKey{ts, args[1]})
	if !found {
		ts.Fatalf("no background request %s", args[1])
	}
	timeout, err := time.ParseDuration(args[2])
	ts.Check(err)
	select {
	case got := <-pending.(chan result):
		found := strconv.Itoa(got.status)
		if got.err != nil {
			found = "cut"
		}
		_, _ = ts.Stdout().Write(got.body)
		if found != args[0] {
			ts.Fatalf("%s: found status %s, want %s: %v %s", args[1], found, args[0], got.err, got.body)
		}
	case <-time.After(timeout):
		ts.Fatalf("%s: no response within %s", args[1], timeout)
	}
}

// shows waits until the response body of a GET of the URL matches: shows DURATION REGEXP URL.
func shows(ts *testscript.TestScript, _ bool, args []string) {
	timeout, err := time.ParseDuration(args[0])
	ts.Check(err)
	pattern, err := regexp.Compile(args[1])
	ts.Check(err)
	poll(ts, timeout, func() error {
		if got := send(ts, []string{http.MethodGet, args[2]}); !pattern.Match(got.body) {
			return fmt.Errorf("found body %s, want a match of %s", got.body, pattern)
		}
		return nil
	})
}

// bearer sets NAME to the Authorization header field with the key in a file, and NAME_VALUE to the key alone: bearer NAME FILE.
func bearer(ts *testscript.TestScript, _ bool, args []string) {
	key := strings.TrimSpace(ts.ReadFile(args[1]))
	ts.Setenv(args[0], "Authorization:Bearer "+key)
	ts.Setenv(args[0]+"_VALUE", key)
}

// race sends patches to entries concurrently, and checks that exactly one is accepted: race URL FILE URL FILE...
func race(ts *testscript.TestScript, _ bool, args []string) {
	var group sync.WaitGroup
	var accepted atomic.Int64
	outputs := make([]bytes.Buffer, len(args)/2)
	for index := range outputs {
		patch := exec.Command("vanillapond", "config", "patch", "--entry", args[2*index], "--file", args[2*index+1])
		patch.Dir = ts.Getenv("WORK")
		patch.Env = append(os.Environ(), "VANILLAPOND_OPERATOR="+ts.Getenv("VANILLAPOND_OPERATOR"))
		patch.Stdout, patch.Stderr = &outputs[index], &outputs[index]
		group.Go(func() {
			if err := patch.Run(); err == nil {
				accepted.Add(1)
			}
		})
	}
	group.Wait()
	for index := range outputs {
		_, _ = ts.Stdout().Write(outputs[index].Bytes())
	}
	if accepted.Load() != 1 {
		ts.Fatalf("found %d accepted patches, want 1", accepted.Load())
	}
}

// inforce waits until processes have a configuration version in force, and checks that the versions in force of each process only
// increased: inforce DURATION VERSION URL...
func inforce(ts *testscript.TestScript, _ bool, args []string) {
	timeout, err := time.ParseDuration(args[0])
	ts.Check(err)
	want, err := strconv.ParseInt(args[1], 10, 64)
	ts.Check(err)
	for _, url := range args[2:] {
		poll(ts, timeout, func() error {
			last, err := lastVersionInForce(ts, url)
			ts.Check(err)
			if last != want {
				return fmt.Errorf("%s: found version %d in force, want %d", url, last, want)
			}
			return nil
		})
	}
}

// lastVersionInForce returns the configuration version that a process has in force. It returns an error if the event log of the
// process shows that the versions did not increase.
func lastVersionInForce(ts *testscript.TestScript, url string) (int64, error) {
	got := send(ts, []string{http.MethodGet, url + event.PathEvents})
	var eventLog event.List
	if err := json.Unmarshal(got.body, &eventLog); err != nil {
		return 0, fmt.Errorf("%s: %w %w", url, err, got.err)
	}
	last := int64(0)
	for _, recorded := range eventLog.Events {
		if recorded.Name != "configuration_in_force" {
			continue
		}
		if int64(recorded.Version) <= last {
			return 0, fmt.Errorf("%s: version %d came into force after %d", url, recorded.Version, last)
		}
		last = int64(recorded.Version)
	}
	return last, nil
}
