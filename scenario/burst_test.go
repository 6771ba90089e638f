package scenario

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"vanillapond/pkg/api"
)

// markerPlaceholder is replaced by each request's marker in the options of burst.
const markerPlaceholder = "MARK"

// burst is a group of concurrent requests in the background.
type burst struct {
	name string
	// done is closed when all requests have ended.
	done chan struct{}
	// results holds the result of each request; it may be read once done is closed.
	results []result
}

// startBurst sends concurrent requests in the background: burst NAME COUNT METHOD URL[,URL] OPTIONS...
//
// The text MARK in an option is replaced by the request's marker (NAME-0. for the first request, NAME-1. for the second, and so on).
// The requests go to the URLs in turn.
func startBurst(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 4 {
		ts.Fatalf("usage: burst NAME COUNT METHOD URL[,URL] OPTIONS...")
	}
	b := &burst{name: args[0], done: make(chan struct{}), results: make([]result, number(ts, args[1]))}
	urls := strings.Split(args[3], ",")
	var senders sync.WaitGroup
	for index := range b.results {
		options := append([]string{args[2], urls[index%len(urls)]}, args[4:]...)
		for position := range options {
			options[position] = strings.ReplaceAll(options[position], markerPlaceholder, b.marker(index))
		}
		message := compose(ts, options)
		senders.Go(func() { b.results[index] = exchange(message) })
	}
	go func() {
		senders.Wait()
		close(b.done)
	}()
	h := harnessOf(ts)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bursts[b.name] = b
}

// number parses an argument as an integer.
func number(ts *testscript.TestScript, text string) int {
	value, err := strconv.Atoi(text)
	ts.Check(err)
	return value
}

// marker returns the text that identifies a request. A suffix of the burst's name from @ on is left out, so that the burst NAME@2
// repeats the requests of the burst NAME.
func (b *burst) marker(index int) string {
	name, _, _ := strings.Cut(b.name, "@")
	return fmt.Sprintf("%s-%d.", name, index)
}

// verdict waits for a burst and compares each result with the executions at the URLs of the stubs:
// verdict NAME at_most_once|idempotent LEAST URL...
//
// It checks that a request refused as not run was never executed, that a request with a complete response was executed and its
// response contains its marker, that with at_most_once no request was executed twice, and that at least LEAST requests got a
// complete response.
func verdict(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 4 {
		ts.Fatalf("usage: verdict NAME at_most_once|idempotent LEAST URL...")
	}
	minServed := number(ts, args[2])
	h := harnessOf(ts)
	h.mu.Lock()
	b := h.bursts[args[0]]
	h.mu.Unlock()
	select {
	case <-b.done:
	case <-time.After(requestTimeout):
		ts.Fatalf("verdict: burst %s has not ended", b.name)
	}
	log := executions(ts, args[3:])
	counts := make(map[string]int)
	for index, got := range b.results {
		count := strings.Count(log, b.marker(index))
		kind := classify(ts, got, b.marker(index), count)
		counts[kind]++
		if args[1] == "at_most_once" && count > 1 {
			ts.Fatalf("verdict: request %s was executed %d times, want at most 1", b.marker(index), count)
		}
	}
	_, _ = fmt.Fprintln(ts.Stdout(), counts)
	ts.Logf("burst %s: %v", b.name, counts)
	if counts["served"] < minServed {
		ts.Fatalf("verdict: %d served, want at least %d: %v", counts["served"], minServed, counts)
	}
}

// classify returns the kind of a result: served, cut (no response or an interrupted one), not_run or another error code. It fails
// the script if the number of executions contradicts the result.
func classify(ts *testscript.TestScript, got result, marker string, executed int) string {
	if got.err != nil {
		if strings.Contains(string(got.body), "[DONE]") {
			ts.Fatalf("verdict: the response of request %s was interrupted but has an end marker: %s", marker, got.body)
		}
		return "cut"
	}
	if got.status < http.StatusMultipleChoices {
		if executed == 0 || !strings.Contains(string(got.body), marker) {
			ts.Fatalf("verdict: request %s was executed %d times, with response %s", marker, executed, got.body)
		}
		if strings.HasPrefix(string(got.body), "data:") && !completeStream(string(got.body), marker) {
			ts.Fatalf("verdict: request %s got an incomplete stream: %s", marker, got.body)
		}
		return "served"
	}
	var failure api.Error
	if err := json.Unmarshal(got.body, &failure); err != nil {
		ts.Fatalf("verdict: request %s: error response is not valid JSON: status %d, body %s", marker, got.status, got.body)
	}
	if failure.Error.NotRun && executed > 0 {
		ts.Fatalf("verdict: request %s was executed %d times, but refused as not run: %s", marker, executed, got.body)
	}
	if failure.Error.NotRun {
		return "not_run"
	}
	return string(failure.Error.Code)
}

// completeStream reports whether every event belongs to the request, no token is missing, and the last event is the end marker.
func completeStream(body, marker string) bool {
	events := strings.Split(strings.TrimSpace(body), "\n\n")
	last := len(events) - 1
	for index, event := range events[:last] {
		if !strings.Contains(event, marker) || !strings.Contains(event, fmt.Sprintf(`"w%d "`, index)) {
			return false
		}
	}
	return events[last] == "data: [DONE]"
}

// executions returns the execution logs of the stubs with the given URLs as one text. It includes stubs that have ended.
func executions(ts *testscript.TestScript, urls []string) string {
	var text strings.Builder
	h := harnessOf(ts)
	for _, url := range urls {
		h.mu.Lock()
		name, found := h.listeners[strings.TrimPrefix(url, "http://")]
		h.mu.Unlock()
		if !found {
			ts.Fatalf("executions: no stub was started with address %s", url)
		}
		for line := range strings.Lines(ts.ReadFile(name + ".log")) {
			if strings.HasPrefix(line, "event=executed ") {
				text.WriteString(line)
			}
		}
	}
	return text.String()
}

// listening checks that at least LEAST of the addresses accept connections: listening LEAST ADDRESS...
func listening(ts *testscript.TestScript, _ bool, args []string) {
	reachable := 0
	for _, address := range args[1:] {
		if send(ts, []string{"GET", "http://" + address}).err == nil {
			reachable++
		}
	}
	if minimum := number(ts, args[0]); reachable < minimum {
		ts.Fatalf("listening: %d of %v accept connections, want at least %d", reachable, args[1:], minimum)
	}
}

// ran checks that the execution logs of the stubs contain a text COUNT times: ran COUNT TEXT URL...
func ran(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 3 {
		ts.Fatalf("usage: ran COUNT TEXT URL...")
	}
	want := number(ts, args[0])
	if found := strings.Count(executions(ts, args[2:]), args[1]); (found == want) == neg {
		ts.Fatalf("ran: found %d executions of %s, want %d (negated: %t)", found, args[1], want, neg)
	}
}
