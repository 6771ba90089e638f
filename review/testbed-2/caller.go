package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"vanillapond/platform"
)

const (
	connectTimeout = time.Second
	probeTimeout   = time.Second
)

// caller sends requests to machines, with a new connection for each request unless keepsConnections is set.
type caller struct {
	transport *http.Transport
	name      string
	next      atomic.Int64
}

func newCaller(name string, keepsConnections bool) *caller {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &caller{name: name, transport: &http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true, DisableKeepAlives: !keepsConnections, MaxIdleConnsPerHost: 64,
		IdleConnTimeout: 8 * time.Second,
	}}
}

// newID returns the id of the caller's next request.
func (c *caller) newID() string { return fmt.Sprintf("%s-%06d", c.name, c.next.Add(1)) }

// answer is the answer to one request, status 0 if there was none.
type answer struct {
	status     int
	body       string
	whole      bool
	seal       string
	retryAfter time.Duration
	err        error
}

// send sends one request and reads the answer; header holds further headers.
func (c *caller) send(m *machine, method, path, id string, timeout time.Duration, body io.Reader, header map[string]string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	response, err := c.open(ctx, m, method, path, id, timeout, body, header)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return answer{
		status: response.StatusCode, body: string(content), whole: err == nil, seal: response.Header.Get(platform.HeaderSignature), err: err,
		retryAfter: time.Duration(seconds * float64(time.Second)),
	}
}

// open sends one request and returns the response, whose body must be closed.
func (c *caller) open(
	ctx context.Context, m *machine, method, path, id string, timeout time.Duration, body io.Reader, header map[string]string,
) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+m.front+path, body)
	if err != nil {
		return nil, err
	}
	request.Host = hostName
	request.Header.Set(platform.HeaderRequestID, id)
	request.Header.Set(platform.HeaderDeadline, strconv.FormatInt(timeout.Milliseconds(), 10))
	request.Header.Set("Authorization", platform.KeyScheme+apiKey)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	return c.transport.RoundTrip(request)
}

// probe asks a machine whether it is ready, as the platform does.
func probe(address string) bool {
	client := http.Client{Timeout: probeTimeout}
	response, err := client.Get("http://" + address + "/readyz") //nolint:noctx,gosec // The client has a timeout; the address is that of a machine.
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
