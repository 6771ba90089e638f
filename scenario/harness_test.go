package scenario

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/samber/oops"

	"vanillapond/internal/testport"
)

// Timeouts and intervals of the harness.
const (
	// startTimeout limits the time that a process may take to start; it allows for a busy machine.
	startTimeout   = 30 * time.Second
	requestTimeout = 60 * time.Second
	pollInterval   = 20 * time.Millisecond
)

// harnessKey is the key of the harness in the values of a script.
type harnessKey struct{}

// harness holds the processes and background load that one script started.
type harness struct {
	mu        sync.Mutex
	processes map[string]*exec.Cmd
	bursts    map[string]*burst
	balancers map[string]*balancer
	// listeners maps the addresses given with --listen to the names of the processes.
	listeners map[string]string
}

func setup(env *testscript.Env) error {
	h := &harness{
		processes: make(map[string]*exec.Cmd), bursts: make(map[string]*burst),
		balancers: make(map[string]*balancer), listeners: make(map[string]string),
	}
	env.Values[harnessKey{}] = h
	env.Defer(h.killAll)
	return nil
}

func (h *harness) killAll() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, process := range h.processes {
		_ = process.Process.Signal(syscall.SIGCONT)
		_ = process.Process.Kill()
		_ = process.Wait()
	}
}

func harnessOf(ts *testscript.TestScript) *harness {
	return ts.Value(harnessKey{}).(*harness)
}

func (h *harness) process(ts *testscript.TestScript, name string) *exec.Cmd {
	h.mu.Lock()
	defer h.mu.Unlock()
	process := h.processes[name]
	if process == nil {
		ts.Fatalf("no process %s", name)
	}
	return process
}

func commands() map[string]func(ts *testscript.TestScript, neg bool, args []string) {
	return map[string]func(ts *testscript.TestScript, neg bool, args []string){
		"ports":     ports,
		"expand":    expand,
		"start":     start,
		"await":     await,
		"request":   request,
		"until":     until,
		"shutdown":  shutdown,
		"crash":     crash,
		"freeze":    freeze,
		"thaw":      thaw,
		"sleep":     sleep,
		"deploy":    deploy,
		"burst":     startBurst,
		"verdict":   verdict,
		"ran":       ran,
		"bearer":    bearer,
		"field":     field,
		"race":      race,
		"relay":     relay,
		"cut":       cut,
		"hold":      hold,
		"ended":     ended,
		"inforce":   inforce,
		"shows":     shows,
		"leader":    leader,
		"ordered":   ordered,
		"balance":   balance,
		"balanced":  balanced,
		"runs":      runs,
		"idle":      idle,
		"listening": listening,
		"partition": partition,
		"retry":     retry,
		"billed":    billed,
		"accounted": accounted,
		"attained":  attained,
		"tiered":    tiered,
	}
}

// ports sets each named variable to a free loopback address: ports NAME...
func ports(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		ts.Setenv(name, freeAddress(ts))
	}
}

func freeAddress(ts *testscript.TestScript) string {
	address, err := testport.Address()
	ts.Check(err)
	return address
}

// expand replaces each $NAME in files by the variable's value: expand FILE...
func expand(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		path := ts.MkAbs(name)
		ts.Check(os.WriteFile(path, []byte(os.Expand(ts.ReadFile(name), ts.Getenv)), 0o600))
	}
}

// start runs the vanillapond command in the background, with its output in NAME.log: start NAME ARG...
func start(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: start NAME ARG...")
	}
	name := args[0]
	log, err := os.OpenFile(filepath.Join(ts.Getenv("WORK"), name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	ts.Check(err)
	defer func() { _ = log.Close() }()
	process := exec.Command("vanillapond", args[1:]...)
	process.Dir = ts.Getenv("WORK")
	process.Stdout = log
	process.Stderr = log
	ts.Check(process.Start())
	h := harnessOf(ts)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.processes[name] = process
	if at := slices.Index(args, "--listen"); at > 0 {
		h.listeners[args[at+1]] = name
	}
}

// await waits until a GET of each URL returns status 200: await URL...
func await(ts *testscript.TestScript, _ bool, args []string) {
	for _, url := range args {
		poll(ts, startTimeout, func() error {
			got := send(ts, []string{"GET", url})
			if got.status != http.StatusOK {
				return oops.Errorf("%s: status %d %v", url, got.status, got.err)
			}
			return nil
		})
	}
}

// result is the response of a request; err is set if there was none or it was interrupted.
type result struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// request sends a request and checks its status: request STATUS METHOD URL [-H FIELD:VALUE]... [-d BODY]
//
// It writes the response body to stdout and the response header to stderr. The status cut stands for an interrupted response or none.
func request(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 3 {
		ts.Fatalf("usage: request STATUS METHOD URL [-H FIELD:VALUE]... [-d BODY]")
	}
	err := expectStatus(ts, args)
	if (err != nil) != neg {
		ts.Fatalf("request: %v", err)
	}
}

func expectStatus(ts *testscript.TestScript, args []string) error {
	got := send(ts, args[1:])
	_, _ = ts.Stdout().Write(got.body)
	_ = got.header.Write(ts.Stderr())
	found := strconv.Itoa(got.status)
	if got.err != nil {
		found = "cut"
	}
	if found != args[0] {
		return oops.Errorf("found status %s, want %s: %v %s", found, args[0], got.err, got.body)
	}
	return nil
}

func send(ts *testscript.TestScript, args []string) result {
	return exchange(compose(ts, args))
}

// compose returns the request for the arguments METHOD URL [-H FIELD:VALUE]... [-d BODY] [-f FILE] [-t TIMEOUT], where FILE holds
// the body.
func compose(ts *testscript.TestScript, args []string) *http.Request {
	header := make(http.Header)
	var body string
	callerTimeout := requestTimeout
	for rest := args[2:]; len(rest) > 1; rest = rest[2:] {
		switch rest[0] {
		case "-H":
			name, value, _ := strings.Cut(rest[1], ":")
			header.Add(name, strings.TrimSpace(value))
		case "-d":
			body = rest[1]
		case "-f":
			body = ts.ReadFile(rest[1])
		case "-t":
			timeout, err := time.ParseDuration(rest[1])
			ts.Check(err)
			callerTimeout = timeout
		default:
			ts.Fatalf("request: unknown option %s", rest[0])
		}
	}
	message, err := http.NewRequest(args[0], args[1], strings.NewReader(body))
	ts.Check(err)
	message.Header = header
	return message.WithContext(context.WithValue(message.Context(), timeoutKey{}, callerTimeout))
}

// timeoutKey is the context key of the timeout after which a request's caller gives up.
type timeoutKey struct{}

// exchange sends a request over a new connection and reads the complete response.
func exchange(message *http.Request) result {
	timeout, _ := message.Context().Value(timeoutKey{}).(time.Duration)
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
	response, err := client.Do(message)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return result{status: response.StatusCode, header: response.Header, body: content, err: err}
}

// field sets NAME to the value of a header field of the last response: field NAME FIELD.
func field(ts *testscript.TestScript, _ bool, args []string) {
	for line := range strings.Lines(ts.ReadFile("stderr")) {
		if name, value, found := strings.Cut(line, ":"); found && strings.EqualFold(name, args[1]) {
			ts.Setenv(args[0], strings.TrimSpace(value))
			return
		}
	}
	ts.Fatalf("no header field %s in the last response", args[1])
}

// until repeats a request until the response has the status and its body contains the text:
// until DURATION TEXT STATUS METHOD URL...
func until(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 5 {
		ts.Fatalf("usage: until DURATION TEXT STATUS METHOD URL...")
	}
	timeout, err := time.ParseDuration(args[0])
	ts.Check(err)
	poll(ts, timeout, func() error {
		got := send(ts, args[3:])
		if strconv.Itoa(got.status) != args[2] || !bytes.Contains(got.body, []byte(args[1])) {
			return oops.Errorf("found status %d, body %s, error %v", got.status, got.body, got.err)
		}
		return nil
	})
}

func poll(ts *testscript.TestScript, timeout time.Duration, check func() error) {
	deadline := time.Now().Add(timeout)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("condition not met within %s: %v", timeout, err)
		}
		time.Sleep(pollInterval)
	}
}

// shutdown stops processes gracefully, with SIGTERM, and waits until they have ended with status 0: shutdown NAME...
func shutdown(ts *testscript.TestScript, _ bool, args []string) {
	stop(ts, args, syscall.SIGTERM)
}

// crash kills processes with SIGKILL: crash NAME...
func crash(ts *testscript.TestScript, _ bool, args []string) {
	stop(ts, args, syscall.SIGKILL)
}

func stop(ts *testscript.TestScript, args []string, signal syscall.Signal) {
	for _, name := range args {
		process := harnessOf(ts).process(ts, name)
		ts.Check(process.Process.Signal(signal))
		err := process.Wait()
		if signal == syscall.SIGTERM {
			ts.Check(err)
		}
		h := harnessOf(ts)
		h.mu.Lock()
		delete(h.processes, name)
		h.mu.Unlock()
	}
}

// freeze suspends a process with SIGSTOP and waits until all of its threads stand still: freeze NAME.
//
// The signal stops a process only when one of its threads gets processor time to handle it. On a busy machine the other threads may
// run a request until then.
func freeze(ts *testscript.TestScript, _ bool, args []string) {
	process := harnessOf(ts).process(ts, args[0]).Process
	ts.Check(process.Signal(syscall.SIGSTOP))
	const timeout = 5 * time.Second
	for end := time.Now().Add(timeout); !allThreadsStopped(ts, process.Pid); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			ts.Fatalf("freeze: process %s still runs %s after SIGSTOP", args[0], timeout)
		}
	}
}

// allThreadsStopped reports whether the kernel shows each thread of a process in the state T.
func allThreadsStopped(ts *testscript.TestScript, pid int) bool {
	paths, err := filepath.Glob("/proc/" + strconv.Itoa(pid) + "/task/*/stat")
	ts.Check(err)
	for _, path := range paths {
		content, err := os.ReadFile(path)
		if err != nil {
			return false // The thread has ended meanwhile.
		}
		// The state follows the command's name, which is in parentheses and may contain any characters.
		if _, state, _ := strings.Cut(string(content[bytes.LastIndexByte(content, ')')+1:]), " "); !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return len(paths) > 0
}

// thaw resumes a suspended process: thaw NAME.
func thaw(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(harnessOf(ts).process(ts, args[0]).Process.Signal(syscall.SIGCONT))
}

// sleep pauses the script: sleep DURATION.
func sleep(ts *testscript.TestScript, _ bool, args []string) {
	wait, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(wait)
}
