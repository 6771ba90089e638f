package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// call is one client attempt.
type call struct {
	method, path string
	// key is the tenant's key, empty for none.
	key string
	// id is the attempt's id; empty for one that is made up.
	id       string
	deadline time.Duration
	header   map[string]string
	body     string
}

// reply is what the client of a call saw.
type reply struct {
	sentAt time.Time
	id     string
	status int
	body   string
	err    error
}

func (r reply) String() string {
	if r.err != nil {
		return fmt.Sprintf("status %d, then %v", r.status, r.err)
	}
	return fmt.Sprintf("status %d, %.60q", r.status, r.body)
}

var attempts atomic.Int64

// newAttempt returns an id that no other attempt of the run has.
func newAttempt() string { return fmt.Sprintf("a%015x", attempts.Add(1)) }

// newRequest returns the request of a call to a router.
func newRequest(ctx context.Context, r *router, c *call) (*http.Request, error) {
	if c.id == "" {
		c.id = newAttempt()
	}
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+r.callers+c.path, strings.NewReader(c.body))
	if err != nil {
		return nil, err
	}
	request.Host = hostName
	request.Header.Set("X-Attempt-Id", c.id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(c.deadline.Milliseconds(), 10))
	if c.key != "" {
		request.Header.Set("Authorization", "Token "+c.key)
	}
	for name, value := range c.header {
		request.Header.Set(name, value)
	}
	return request, nil
}

// newClient returns a client that opens a new connection for each call.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
}

// send makes one call and reads the whole answer.
func send(ctx context.Context, client *http.Client, r *router, c call) reply {
	ctx, cancel := context.WithTimeout(ctx, c.deadline)
	defer cancel()
	answer := reply{sentAt: time.Now()}
	request, err := newRequest(ctx, r, &c)
	answer.id = c.id
	if err != nil {
		answer.err = err
		return answer
	}
	response, err := client.Do(request)
	if err != nil {
		answer.err = err
		return answer
	}
	defer func() { _ = response.Body.Close() }()
	answer.status = response.StatusCode
	content, err := io.ReadAll(response.Body)
	answer.body, answer.err = strings.TrimSpace(string(content)), err
	return answer
}
