// Command 2 shows that a client is told that its request has not run, although it has, and that its certificate is issued twice.
package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"vanillapond/review/testbed"
)

const (
	// clients is the number of clients of a zone on the sheet.
	clients = 12
	// certificates is the number of certificates that a client orders, and interval the time between two.
	certificates = 20
	interval     = 200 * time.Millisecond
	// Of failOf requests of the faulty server, failed ones fail: 2 of 5 (x = .4).
	failOf, failed = 5, 2
	// retryPause is how long a client waits before its retry if the refusal does not say.
	retryPause = 100 * time.Millisecond
	bodyBytes  = 600
)

func main() { testbed.Main(run) }

func run(bed *testbed.Bed, trouble bool) ([]string, error) {
	runs := &testbed.Runs{}
	router, err := bed.StartIssuance(runs, func(index int, config *testbed.ServerConfig) {
		if trouble && index == 0 {
			config.Respond = newFaultyResponses(bed).respond
		}
	})
	if err != nil {
		return nil, err
	}
	time.Sleep(testbed.Contact)
	var all sync.WaitGroup
	var mu sync.Mutex
	var violations []string
	for index := range clients {
		all.Go(func() {
			for number := range certificates {
				found := order(bed, runs, router.Callers, fmt.Sprintf("%02d-%02d", index, number))
				mu.Lock()
				violations = append(violations, found...)
				mu.Unlock()
				time.Sleep(interval)
			}
		})
	}
	all.Wait()
	return violations, nil
}

// faultyResponses are those of a server that fails part of its requests after it has run them.
type faultyResponses struct {
	bed   *testbed.Bed
	count atomic.Int64
}

func newFaultyResponses(bed *testbed.Bed) *faultyResponses { return &faultyResponses{bed: bed} }

// respond writes a success, or a failure with status 503. The failure does not have the header that says that the request was not run.
func (f *faultyResponses) respond(w http.ResponseWriter, r *http.Request) {
	if f.count.Add(1)%failOf < failed {
		f.bed.Record("faulty server: %s has run, and gets status 503 without the header that says otherwise", r.URL.Path)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write(make([]byte, bodyBytes))
}

// order orders one certificate, with one retry after a refusal, as the clients on the sheet do. It returns where the rule was broken.
func order(bed *testbed.Bed, runs *testbed.Runs, address, certificate string) []string {
	var violations []string
	defer func() {
		if total := len(runs.At(testbed.IssuePath + certificate)); total > 1 {
			bed.Record("certificate %s was issued %d times", certificate, total)
		}
	}()
	for attempt := range 2 {
		id := certificate + "-" + strconv.Itoa(attempt)
		request := testbed.Issue(id, certificate, make([]byte, bodyBytes))
		conn, err := testbed.Connect(address)
		if err != nil {
			bed.Record("%s not sent: %v", id, err)
			return violations
		}
		_, _ = conn.Write(request.Encode())
		answer := conn.Receive(request.Method, testbed.ClientDeadline)
		_ = conn.Close()
		ran := len(runs.Of(id))
		bed.Record("%s answered: %s; ran %d times", id, answer, ran)
		if !isPromise(answer.Status) {
			return violations
		}
		if ran > 0 {
			violations = append(violations, fmt.Sprintf("REFUSED: %s answered %d and has run", id, answer.Status))
		}
		time.Sleep(retryPause)
	}
	return violations
}

// isPromise reports whether a status promises that the request has not run.
func isPromise(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}
