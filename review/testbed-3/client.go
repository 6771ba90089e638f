package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"vanillapond/pkg/ident"
	"vanillapond/platform"
	"vanillapond/platform/platformtest"
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
	// prompt is nil for a request of a plain service.
	prompt *platform.Prompt
	body   string
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
	request.Header.Set(platform.HeaderRequestID, c.id)
	request.Header.Set(platform.HeaderDeadline, platform.FormatDeadline(c.deadline))
	if c.key != "" {
		request.Header.Set("Authorization", platform.KeyScheme+c.key)
	}
	if c.prompt != nil {
		request.Header.Set("X-Model", "m")
		platformtest.SetPrompt(request.Header, *c.prompt)
	}
	for name, value := range c.header {
		request.Header.Set(name, value)
	}
	return request, nil
}

// prompts counts the prompts of the run.
var prompts atomic.Uint64

// newPrompt returns a prompt of two parts, of which the first one is the same for all, with an answer of so many tokens.
func newPrompt(output ident.Tokens) *platform.Prompt {
	return &platform.Prompt{Tokens: 400, MaxOutput: output, Parts: []platform.PromptPart{{ID: 0x5c1e07a2, Tokens: 300}, {ID: prompts.Add(1), Tokens: 100}}}
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
