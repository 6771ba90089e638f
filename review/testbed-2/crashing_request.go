package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"vanillapond/platform"
)

// Sizes and times of the case of a request that crashes servers.
const (
	crashingMachines = 3
	crashingServers  = 2
	crashingDuration = 45 * time.Second
	crashingInterval = 500 * time.Millisecond
	crashingWarmUp   = 4 * time.Second
	crashingDowntime = 2500 * time.Millisecond
	crashingWork     = 30 * time.Millisecond
	soundInterval    = 50 * time.Millisecond
	crashingPath     = lookupPrefix + "report-77"
	crashesToDetect  = 3
	maxLateRetries   = 3
	plainSlots       = 6
	crashingGrace    = 3 * time.Second
)

// crashingRequest is the state of the case.
type crashingRequest struct {
	deployment *deployment
	mu         sync.Mutex
	// crashes holds the times of the servers' crashes, arrivals the runs of the request; guarded by mu.
	crashes  []time.Time
	arrivals []crashingArrival
	restarts sync.WaitGroup
	sound    soundCalls
}

type crashingArrival struct {
	at         time.Time
	id, server string
}

// soundCalls counts the calls of other callers.
type soundCalls struct {
	mu sync.Mutex
	// sent, served and lost count all calls, those with a whole success, and orders that ended without an answer of a server; guarded by mu.
	sent, served, lost int
}

// playCrashingRequest sends a request that crashes each server that begins to run it, again and again, to a service with two servers, which start again
// under their ids.
func playCrashingRequest(rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(rec, crashingMachines)
	if err != nil {
		return false, err
	}
	defer d.close()
	c := &crashingRequest{deployment: d}
	for index := range crashingServers {
		s, err := d.newServer(fmt.Sprintf("i-%08x", 0x7f3a91c2+index), plainService, fmt.Sprintf("zone-%d", index+1), "v1", plainSlots, c.handle)
		if err != nil {
			return false, err
		}
		defer s.close()
	}
	if err := d.configure(1, shortPauseMS); err != nil {
		return false, err
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	callers.Go(func() { c.sendSound(stop) })
	time.Sleep(crashingWarmUp)
	c.sendCrashing(trouble)
	time.Sleep(crashingGrace)
	close(stop)
	callers.Wait()
	c.restarts.Wait()
	return c.judge(), nil
}

// handle runs a request; the one that crashes servers does so once its run has begun.
func (c *crashingRequest) handle(s *server, w http.ResponseWriter, r *http.Request) {
	time.Sleep(crashingWork)
	if r.URL.Path != crashingPath {
		_, _ = w.Write(fmt.Appendf(nil, "%s by %s", r.Header.Get(platform.HeaderRequestID), s.id)) //nolint:gosec // No browser reads it.
		return
	}
	id := r.Header.Get(platform.HeaderRequestID)
	if !s.crash() {
		panic(http.ErrAbortHandler)
	}
	now := time.Now()
	c.mu.Lock()
	c.arrivals = append(c.arrivals, crashingArrival{now, id, s.id})
	c.crashes = append(c.crashes, now)
	c.deployment.record.writef("request %s crashes server %s: crash %d", id, s.id, len(c.crashes))
	c.mu.Unlock()
	c.restarts.Go(func() {
		time.Sleep(crashingDowntime)
		if err := s.restart("v1"); err != nil {
			c.deployment.record.writef("server %s does not start again: %v", s.id, err)
		}
	})
	panic(http.ErrAbortHandler)
}

// sendCrashing sends the request in turn to all machines.
func (c *crashingRequest) sendCrashing(trouble bool) {
	client := newCaller("c1a5", false)
	var tries sync.WaitGroup
	ticker := time.NewTicker(crashingInterval)
	defer ticker.Stop()
	for end, count := time.Now().Add(crashingDuration), 0; time.Now().Before(end); count++ {
		<-ticker.C
		if !trouble {
			continue
		}
		m := c.deployment.machines[count%len(c.deployment.machines)]
		tries.Go(func() {
			id := client.newID()
			got := client.send(m, http.MethodGet, crashingPath, id, plainTimeoutMS*time.Millisecond, nil, nil)
			c.deployment.record.writef("request %s to machine %d: status %d, %v", id, m.number, got.status, got.err)
		})
	}
	tries.Wait()
}

// sendSound sends orders and lookups of other callers.
func (c *crashingRequest) sendSound(stop chan struct{}) {
	client := newCaller("50d1", false)
	var tries sync.WaitGroup
	defer tries.Wait()
	ticker := time.NewTicker(soundInterval)
	defer ticker.Stop()
	for count := 0; ; count++ {
		select {
		case <-ticker.C:
		case <-stop:
			return
		}
		m := c.deployment.machines[count%len(c.deployment.machines)]
		isOrder := count%2 == 0
		tries.Go(func() { c.sound.add(c.deployment.record, isOrder, client.sendSound(m, isOrder)) })
	}
}

// sendSound sends an order or a lookup and returns its answer.
func (c *caller) sendSound(m *machine, isOrder bool) answer {
	id := c.newID()
	if isOrder {
		return c.send(m, http.MethodPost, orderPrefix+id, id, plainTimeoutMS*time.Millisecond, nil, nil)
	}
	return c.send(m, http.MethodGet, lookupPrefix+id, id, plainTimeoutMS*time.Millisecond, nil, nil)
}

func (s *soundCalls) add(rec *record, isOrder bool, got answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	switch {
	case got.status == http.StatusOK && got.whole:
		s.served++
	case isOrder && (got.status == 0 || got.status == http.StatusBadGateway || got.status == http.StatusGatewayTimeout):
		s.lost++
		rec.writef("an order that had been sent to a server ends with status %d, %v", got.status, got.err)
	}
}

// judge counts the client's tries that reached a server later than the recovery bound after the third crash. No machine is disturbed.
func (c *crashingRequest) judge() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	rec := c.deployment.record
	c.sound.mu.Lock()
	rec.conclude("%d sound calls, %d served, %d orders lost in crashes", c.sound.sent, c.sound.served, c.sound.lost)
	c.sound.mu.Unlock()
	if len(c.crashes) < crashesToDetect {
		rec.conclude("%d crashes", len(c.crashes))
		return false
	}
	from := c.crashes[crashesToDetect-1].Add(contact)
	var late []string
	lateArrivals := 0
	for _, arrival := range c.arrivals {
		if !arrival.at.After(from) {
			continue
		}
		lateArrivals++
		if !slices.Contains(late, arrival.id) {
			late = append(late, arrival.id)
		}
	}
	rec.conclude("%d crashes; later than %v after the third one, %d tries of the request reached servers %d times; the rule allows %d",
		len(c.crashes), contact, len(late), lateArrivals, maxLateRetries)
	return len(late) > maxLateRetries
}
