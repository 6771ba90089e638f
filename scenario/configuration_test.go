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

// relays holds the relays of all scripts by their address.
var relays sync.Map

// relayed is a TCP connection point between processes that a script can cut.
type relayed struct {
	target string
	mu     sync.Mutex
	// cut says that connections are taken and left without an answer; guarded by mu.
	cut bool
	// open holds the connections on both sides; guarded by mu.
	open map[net.Conn]bool
}

// relay passes connections to FROM on to TO, until it is cut: relay FROM TO.
func relay(ts *testscript.TestScript, _ bool, args []string) {
	// A process that another script is starting may still hold the port for a moment, between fork and exec.
	var socket net.Listener
	poll(ts, startTimeout, func() error {
		var err error
		socket, err = net.Listen("tcp", args[0])
		return err
	})
	r := &relayed{target: args[1], open: make(map[net.Conn]bool)}
	relays.Store(args[0], r)
	ts.Defer(func() {
		_ = socket.Close()
		r.set(true)
	})
	go func() {
		for {
			conn, err := socket.Accept()
			if err != nil {
				return
			}
			go r.pass(conn)
		}
	}()
}

func (r *relayed) pass(from net.Conn) {
	r.mu.Lock()
	r.open[from] = true
	cut := r.cut
	r.mu.Unlock()
	if cut {
		return
	}
	to, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = from.Close()
		return
	}
	r.mu.Lock()
	r.open[to] = true
	r.mu.Unlock()
	go func() {
		_, _ = io.Copy(to, from)
		_ = to.Close()
	}()
	_, _ = io.Copy(from, to)
	_ = from.Close()
}

// set changes the state and ends the connections of the old one.
func (r *relayed) set(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	for conn := range r.open {
		_ = conn.Close()
	}
	clear(r.open)
}

// cut lets relays give no answer any more; with ! they pass connections again: cut FROM...
func cut(ts *testscript.TestScript, neg bool, args []string) {
	for _, address := range args {
		r, found := relays.Load(address)
		if !found {
			ts.Fatalf("no relay %s", address)
		}
		r.(*relayed).set(!neg)
	}
}

// held holds the requests that run in the background, by script and name.
var held sync.Map

type heldKey struct {
	script *testscript.TestScript
	name   string
}

// hold sends a request in the background: hold NAME METHOD URL...
func hold(ts *testscript.TestScript, _ bool, args []string) {
	ended := make(chan answer, 1)
	held.Store(heldKey{ts, args[0]}, ended)
	message := compose(ts, args[1:])
	go func() { ended <- exchange(message) }()
}

// ended checks that a held request ends in time with the status, and makes its body stdout: ended STATUS NAME DURATION.
func ended(ts *testscript.TestScript, _ bool, args []string) {
	waiting, found := held.Load(heldKey{ts, args[1]})
	if !found {
		ts.Fatalf("no held request %s", args[1])
	}
	bound, err := time.ParseDuration(args[2])
	ts.Check(err)
	select {
	case got := <-waiting.(chan answer):
		found := strconv.Itoa(got.status)
		if got.err != nil {
			found = "cut"
		}
		_, _ = ts.Stdout().Write(got.body)
		if found != args[0] {
			ts.Fatalf("%s: found status %s, want %s: %v %s", args[1], found, args[0], got.err, got.body)
		}
	case <-time.After(bound):
		ts.Fatalf("%s: no end in %s", args[1], bound)
	}
}

// shows waits until the body at a URL matches: shows DURATION REGEXP URL.
func shows(ts *testscript.TestScript, _ bool, args []string) {
	bound, err := time.ParseDuration(args[0])
	ts.Check(err)
	pattern, err := regexp.Compile(args[1])
	ts.Check(err)
	poll(ts, bound, func() error {
		if got := send(ts, []string{http.MethodGet, args[2]}); !pattern.Match(got.body) {
			return fmt.Errorf("found %s, want a match of %s", got.body, pattern)
		}
		return nil
	})
}

// bearer sets NAME to a header field with the key in a file, and NAME_VALUE to the key alone: bearer NAME FILE.
func bearer(ts *testscript.TestScript, _ bool, args []string) {
	key := strings.TrimSpace(ts.ReadFile(args[1]))
	ts.Setenv(args[0], "Authorization:Bearer "+key)
	ts.Setenv(args[0]+"_VALUE", key)
}

// race gives patches to entries at the same time, and checks that exactly one is accepted: race URL FILE URL FILE...
func race(ts *testscript.TestScript, _ bool, args []string) {
	var wait sync.WaitGroup
	var accepted atomic.Int64
	outputs := make([]bytes.Buffer, len(args)/2)
	for index := range outputs {
		patch := exec.Command("vanillapond", "config", "patch", "--entry", args[2*index], "--file", args[2*index+1])
		patch.Dir = ts.Getenv("WORK")
		patch.Env = append(os.Environ(), "VANILLAPOND_OPERATOR="+ts.Getenv("VANILLAPOND_OPERATOR"))
		patch.Stdout, patch.Stderr = &outputs[index], &outputs[index]
		wait.Go(func() {
			if err := patch.Run(); err == nil {
				accepted.Add(1)
			}
		})
	}
	wait.Wait()
	for index := range outputs {
		_, _ = ts.Stdout().Write(outputs[index].Bytes())
	}
	if accepted.Load() != 1 {
		ts.Fatalf("found %d accepted patches, want 1", accepted.Load())
	}
}

// inforce waits until processes have a version in force, and checks that theirs only went up: inforce DURATION VERSION URL...
func inforce(ts *testscript.TestScript, _ bool, args []string) {
	bound, err := time.ParseDuration(args[0])
	ts.Check(err)
	want, err := strconv.ParseInt(args[1], 10, 64)
	ts.Check(err)
	for _, url := range args[2:] {
		poll(ts, bound, func() error {
			last, err := lastInForce(ts, url)
			ts.Check(err)
			if last != want {
				return fmt.Errorf("%s: found version %d in force, want %d", url, last, want)
			}
			return nil
		})
	}
}

// lastInForce returns the version in force, or an error where an earlier one was greater.
func lastInForce(ts *testscript.TestScript, url string) (int64, error) {
	got := send(ts, []string{http.MethodGet, url + event.PathEvents})
	var timeline event.List
	if err := json.Unmarshal(got.body, &timeline); err != nil {
		return 0, fmt.Errorf("%s: %w %w", url, err, got.err)
	}
	last := int64(0)
	for _, recorded := range timeline.Events {
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
