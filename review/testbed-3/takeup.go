package main

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"vanillapond/platform"
)

func init() { testCases["take-up"] = takeUp }

// takeUp stops and starts the routers in turn while servers of two software versions serve, and counts the streams that their clients take up again
// after the end of the grace period, and those of them that go on.
func takeUp(ctx context.Context, b *bed, trouble bool) (verdict, error) {
	const (
		warmUp    = 9 * time.Second
		gap       = time.Second
		rest      = 18 * time.Second
		perSecond = 4
		least     = 12
	)
	route := newStreamRoute("/draft/", engineService, 15_000)
	route.AuthExempt = true
	b.configure(platform.Configuration{Routes: []platform.Route{route}, Services: []platform.Service{engineService}})
	for index, version := range []string{"v1", "v1", "v2", "v2"} {
		if err := b.addServer("i-"+strconv.Itoa(index+1), version, engineService, engineSlots, answerLongStream); err != nil {
			return verdict{}, err
		}
	}
	if err := b.startRouters(ctx); err != nil {
		return verdict{}, err
	}
	time.Sleep(contactBound)
	run := &takeUps{bed: b, balancer: newBalancer(ctx, b)}
	pressing, stop := context.WithCancel(ctx)
	defer stop()
	var streams sync.WaitGroup
	streams.Go(func() {
		client := 0
		for ticker := time.NewTicker(time.Second / perSecond); pressing.Err() == nil; <-ticker.C {
			number := client
			client++
			streams.Go(func() { run.takeStream(ctx, number) })
		}
	})
	time.Sleep(warmUp)
	if trouble {
		for _, each := range b.routers {
			if err := each.restart(ctx, b); err != nil {
				return verdict{}, err
			}
			time.Sleep(gap)
		}
	}
	time.Sleep(rest)
	stop()
	streams.Wait()
	run.mu.Lock()
	defer run.mu.Unlock()
	text := sprintf("at routers in touch, %d of %d streams that were taken up went on, and %d of %d new streams began", run.wentOn, run.takenUp, run.began, run.opened)
	if run.opened == 0 {
		return verdict{}, errorf("no stream was opened at a router in touch")
	}
	broken := run.takenUp >= least && 2*float64(run.wentOn)/float64(run.takenUp) < float64(run.began)/float64(run.opened)
	return verdict{broken: broken, text: text}, nil
}

// takeUps counts new streams and those that are taken up, at routers in touch. A stream that is taken up in several tries counts once.
type takeUps struct {
	bed      *bed
	balancer *balancer
	mu       sync.Mutex
	// All counts are guarded by mu.
	opened, began, takenUp, wentOn int
}

// takeStream takes a stream as a client does, and takes it up again if its connection breaks: at once, and once more after a refusal.
func (t *takeUps) takeStream(ctx context.Context, client int) {
	const (
		deadline = 15 * time.Second
		// returning is how long the client needs to notice the end of its connection and to open another one.
		returning = 100 * time.Millisecond
		tries     = 2
	)
	ends := time.Now().Add(deadline)
	id := newAttempt()
	prompt := newPrompt(360)
	r := t.balancer.pick(client, nil)
	first, isInTouch := t.attempt(ctx, r, call{method: http.MethodPost, path: "/draft/1", id: id, deadline: deadline, body: "{}", prompt: prompt})
	if isInTouch {
		t.count(&t.opened, &t.began, first.events > 0)
	}
	if first.events == 0 || first.events == longStreamEvents {
		return
	}
	wasInTouch, goesOn := false, false
	defer func() {
		if wasInTouch {
			t.count(&t.takenUp, &t.wentOn, goesOn)
		}
	}()
	for range tries {
		time.Sleep(returning)
		remaining := time.Until(ends)
		if remaining < returning || ctx.Err() != nil {
			return
		}
		header := map[string]string{platform.HeaderLastEventID: strconv.Itoa(first.events), platform.HeaderResumes: id}
		r = t.balancer.pick(client, r)
		next, isInTouch := t.attempt(ctx, r, call{method: http.MethodPost, path: "/draft/1", deadline: remaining, body: "{}", header: header, prompt: prompt})
		wasInTouch = wasInTouch || isInTouch
		if goesOn = next.events > 0; goesOn {
			return
		}
		time.Sleep(next.retryAfter)
	}
}

// attempt makes one client attempt, and reports whether it was made at a router in touch.
func (t *takeUps) attempt(ctx context.Context, r *router, c call) (one *streamReader, isInTouch bool) {
	isInTouch = r.inTouch(time.Now())
	one = &streamReader{}
	one.read(ctx, t.bed, r, c)
	t.bed.record.line("client: stream %s through %s (in touch: %v), after event %q: %d events, end: %v", one.id, r.name, isInTouch, c.header[platform.HeaderLastEventID], one.events, one.end)
	return one, isInTouch
}

// count counts a stream, and whether it was successful.
func (t *takeUps) count(all, successful *int, isSuccessful bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	*all++
	if isSuccessful {
		*successful++
	}
}

// restart stops a router with SIGTERM and starts it again once it has ended.
func (r *router) restart(ctx context.Context, b *bed) error {
	const delay = 200 * time.Millisecond
	r.mark()
	b.record.line("router %s: SIGTERM", r.name)
	r.signal(syscall.SIGTERM)
	select {
	case <-r.ended():
	case <-time.After(graceBound):
		b.record.line("router %s: SIGKILL", r.name)
		r.kill()
	}
	b.record.line("router %s: ended", r.name)
	time.Sleep(delay)
	if err := r.endBootstrap(); err != nil {
		return err
	}
	if err := r.start(b.program); err != nil {
		return err
	}
	if err := r.awaitReady(ctx); err != nil {
		return err
	}
	r.mark()
	b.record.line("router %s: started again and ready", r.name)
	return nil
}

// endBootstrap sets Bootstrap to false in the settings file: it is true only when the whole system starts for the first time.
func (r *router) endBootstrap() error {
	r.settings = strings.Replace(r.settings, "Bootstrap=true", "Bootstrap=false", 1)
	return r.writeSettings()
}

// mark records that the router is disturbed now.
func (r *router) mark() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disturbedAt = time.Now()
}

// inTouch reports whether the router has not been disturbed for ContactMs.
func (r *router) inTouch(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.disturbedAt) > contactBound
}

// balancer picks a router for each new connection as the platform does: once a second it asks each for its readiness, and one that misses twice gets no
// connections until it is ready again.
type balancer struct {
	bed *bed
	mu  sync.Mutex
	// misses are guarded by mu.
	misses []int
}

func newBalancer(ctx context.Context, b *bed) *balancer {
	l := &balancer{bed: b, misses: make([]int, len(b.routers))}
	go func() {
		for ctx.Err() == nil {
			for index, each := range b.routers {
				ready := each.isReady(ctx)
				l.mu.Lock()
				l.misses[index]++
				if ready {
					l.misses[index] = 0
				}
				l.mu.Unlock()
			}
			time.Sleep(time.Second)
		}
	}()
	return l
}

// pick returns the router for a connection of a client. Clients are spread by their number, unevenly; a retry goes to another router than the try before.
func (l *balancer) pick(client int, before *router) *router {
	const maxMisses, spread = 2, 3
	l.mu.Lock()
	defer l.mu.Unlock()
	first := min(client%spread, len(l.bed.routers)-1)
	var ready []*router
	for offset := range l.bed.routers {
		if index := (first + offset) % len(l.bed.routers); l.misses[index] < maxMisses {
			ready = append(ready, l.bed.routers[index])
		}
	}
	switch {
	case len(ready) == 0:
		return l.bed.routers[first]
	case ready[0] == before && len(ready) > 1:
		return ready[1]
	default:
		return ready[0]
	}
}
