package main

import (
	"context"
	"io"
	"net/http"
	"time"

	"vanillapond/platform"
)

func init() { testCases["last-key"] = lastKeyWithdrawn }

// lastKeyWithdrawn takes the last key of the only tenant away, and checks that nothing runs afterwards for callers without a key in force.
func lastKeyWithdrawn(ctx context.Context, b *bed, trouble bool) (verdict, error) {
	const (
		key       = "n2ctnfzs989anu6wsjnb"
		neverHeld = "zzzzzzzzzzzzzzzzzzzz"
		pressing  = 6 * time.Second
		interval  = 200 * time.Millisecond
		deadline  = 1500 * time.Millisecond
		// What the client of a request holds.
		inForce   = "the tenant's key"
		withdrawn = "the withdrawn key"
		unknown   = "a key that no configuration held"
		none      = "no key"
	)
	configuration := func(timeout platform.Milliseconds, keys ...string) platform.Configuration {
		return platform.Configuration{
			Routes:    []platform.Route{newRoute(platform.NonIdempotent, "/issue/", plainService, timeout)},
			Services:  []platform.Service{plainService},
			Customers: tenant(keys...),
		}
	}
	b.configure(configuration(1200, key))
	for _, id := range []string{"i-1", "i-2"} {
		if err := b.addServer(id, "v1", plainService, plainSlots, answerPlain); err != nil {
			return verdict{}, err
		}
	}
	if err := b.startRouters(ctx); err != nil {
		return verdict{}, err
	}
	client := newClient()
	issue := func(key, holder string) []reply {
		var answers []reply
		for _, r := range b.routers {
			answer := send(ctx, client, r, call{method: http.MethodPost, path: "/issue/1", key: key, deadline: deadline, body: "{}"})
			b.record.line("client: request %s with %s to %s: %v", answer.id, holder, r.name, answer)
			answers = append(answers, answer)
		}
		return answers
	}
	for _, answer := range issue(key, inForce) {
		if answer.status != http.StatusOK {
			return verdict{}, errorf("a request with a key in force is not served: %v", answer)
		}
	}
	for _, answer := range issue(neverHeld, unknown) {
		if answer.status != http.StatusUnauthorized {
			return verdict{}, errorf("a key that was never held is not refused although another one is in force: %v", answer)
		}
	}
	acknowledged := b.configure(configuration(1100, remaining(key, trouble)...))
	if trouble {
		b.record.line("operator: the version takes the tenant's only key away")
	}
	time.Sleep(time.Until(acknowledged.Add(revokeBound + interval)))
	sent := make(map[string]string)
	for pressedFrom := time.Now(); time.Since(pressedFrom) < pressing && ctx.Err() == nil; time.Sleep(interval) {
		holders := map[string]string{neverHeld: unknown, "": none}
		if trouble {
			holders[key] = withdrawn
		}
		for key, holder := range holders {
			for _, answer := range issue(key, holder) {
				sent[answer.id] = holder
			}
		}
	}
	ran := make(map[string]int)
	for _, each := range b.allRuns() {
		ran[sent[each.request]]++
	}
	text := sprintf("later than %v after the acknowledgement, requests ran: with the withdrawn key %d, with a key that no configuration held %d, without a key %d",
		revokeBound, ran[withdrawn], ran[unknown], ran[none])
	return verdict{broken: ran[withdrawn]+ran[unknown] > 0, text: text}, nil
}

// remaining returns the keys of the configuration's next version.
func remaining(key string, trouble bool) []string {
	if trouble {
		return nil
	}
	return []string{key}
}

// answerPlain answers a request of a plain service.
func answerPlain(s *server, w http.ResponseWriter, request *http.Request) {
	const work = 30 * time.Millisecond
	_, _ = io.Copy(io.Discard, request.Body)
	time.Sleep(work)
	w.Header().Set(platform.HeaderServerLoad, "1,0,6")
	_, _ = io.WriteString(w, "done by "+s.id)
}
