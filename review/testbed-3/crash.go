package main

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { testCases["crashing-request"] = crashingRequest }

// crashes holds when the crashing request crashed servers, and by which client attempts.
type crashes struct {
	mu       sync.Mutex
	at       []time.Time
	attempts []string
}

func (c *crashes) add(attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = append(c.at, time.Now())
	c.attempts = append(c.attempts, attempt)
}

// retriesAfter returns the number of crashes, and of client attempts that crashed servers later than a time after the given number of crashes.
func (c *crashes) retriesAfter(count int, later time.Duration) (total, retries int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.at) < count {
		return len(c.at), 0
	}
	from := c.at[count-1].Add(later)
	seen := make(map[string]bool)
	for index, attempt := range c.attempts {
		if c.at[index].After(from) {
			seen[attempt] = true
		}
	}
	return len(c.at), len(seen)
}

// crashingRequest sends a request that crashes each server that begins to run it, again and again, to a service whose servers come back under their
// ids, and counts how often it reaches servers after it has crashed the third.
func crashingRequest(ctx context.Context, b *bed, trouble bool) (verdict, error) {
	const (
		key          = "n2ctnfzs989anu6wsjnb"
		poison       = "/lookup/poison"
		backAfter    = 2 * time.Second
		registration = 100 * time.Millisecond
		pressing     = 70 * time.Second
		interval     = 1700 * time.Millisecond
		deadline     = 1500 * time.Millisecond
		crashLimit   = 3
		allowed      = 3
	)
	b.configure(map[string]any{
		"Routes": []any{map[string]any{
			"Name": "r-lookup", "Hostname": hostName, "PathPrefix": "/lookup/", "RouteType": "idempotent", "TimeoutMs": 1200,
			"TargetLatencyMs": 150, "Priority": 2, "Service": "issuance-api", "MaxAttempts": 2, "AuthExempt": false, "Sticky": false, "Resumable": false,
		}},
		"Services": []any{map[string]any{"Name": "issuance-api", "HealthPath": "/healthz", "MaxConnections": 96, "Protocol": "h1", "Tls": false}},
		"Tenants":  []any{map[string]any{"Name": "school", "ApiKeys": []string{key}, "Priority": 1}},
	})
	var crashed crashes
	respond := func(s *server, w http.ResponseWriter, request *http.Request) {
		if request.URL.Path != poison || !trouble {
			answerPlain(s, w, request)
			return
		}
		crashed.add(request.Header.Get("X-Attempt-Id"))
		s.crash()
		go func() {
			time.Sleep(backAfter)
			if ctx.Err() != nil || s.restart("v1") != nil {
				return
			}
			time.Sleep(registration)
			s.register()
		}()
	}
	for _, id := range []string{"i-1", "i-2"} {
		if err := b.addServer(id, "issuance-api", 6, respond); err != nil {
			return verdict{}, err
		}
	}
	if err := b.startRouters(ctx); err != nil {
		return verdict{}, err
	}
	time.Sleep(contactBound)
	client := newClient()
	var others sync.WaitGroup
	served, failed := 0, 0
	others.Go(func() { served, failed = lookUp(ctx, b, client, key, pressing) })
	for started, turn := time.Now(), 0; time.Since(started) < pressing && ctx.Err() == nil; turn++ {
		r := b.routers[turn%len(b.routers)]
		answer := send(ctx, client, r, call{method: http.MethodGet, path: poison, key: key, deadline: deadline})
		b.record.line("client: the crashing request %s to %s: %v", answer.id, r.name, answer)
		time.Sleep(interval)
	}
	others.Wait()
	total, late := crashed.retriesAfter(crashLimit, contactBound)
	text := sprintf("the request crashed servers %d times; %d retries reached servers later than %v after it had crashed the third, %d are allowed; "+
		"of the other callers' lookups %d were served and %d not", total, late, contactBound, allowed, served, failed)
	return verdict{broken: late > allowed, text: text}, nil
}

// lookUp sends sound lookups, as other callers do, and counts those that were served and those that were not.
func lookUp(ctx context.Context, b *bed, client *http.Client, key string, duration time.Duration) (served, failed int) {
	const interval, deadline = 100 * time.Millisecond, 1500 * time.Millisecond
	for started, turn := time.Now(), 0; time.Since(started) < duration && ctx.Err() == nil; turn++ {
		r := b.routers[turn%len(b.routers)]
		answer := send(ctx, client, r, call{method: http.MethodGet, path: sprintf("/lookup/%d", turn), key: key, deadline: deadline})
		if answer.status == http.StatusOK && answer.err == nil && strings.HasPrefix(answer.body, "done") {
			served++
		} else {
			failed++
			b.record.line("client: sound lookup %s to %s: %v", answer.id, r.name, answer)
		}
		time.Sleep(interval)
	}
	return served, failed
}
