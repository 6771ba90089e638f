package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"vanillapond/platform"
)

// Sizes and times of the case of servers that join while others are full.
const (
	joiningMachines   = 4
	joiningServers    = 3
	joiningWarmUp     = 5 * time.Second
	joiningReleases   = 30
	joiningPerRelease = 1
	joiningGap        = 750 * time.Millisecond
	joiningPause      = 500 * time.Millisecond
	joiningWork       = 15 * time.Millisecond
	joiningInterval   = 2 * time.Millisecond
	drainTime         = 2 * time.Second
	drainMargin       = time.Second
	maxUnanswered     = 3
)

// joining is the state of the case.
type joining struct {
	deployment *deployment
	servers    []*server
	started    int
	mu         sync.Mutex
	// byID holds all servers, also those that have left; guarded by mu.
	byID map[string]*server
	// inTouchFrom is from when on the machines are in touch: the recovery bound after their start, in time since the start of the case.
	inTouchFrom time.Duration
	// arrivals holds the servers that each request reached; guarded by mu.
	arrivals map[string]string
	// sent, served and refused count the requests by how they ended, unanswered those that were closed without an answer, unansweredOrders the orders among
	// them, and passedOn those that had been passed on to a server from a kept connection; guarded by mu.
	sent, served, refused, unanswered, unansweredOrders, passedOn int
}

// playJoining replaces servers of a service whose servers are full at times: the new ones join, the old ones drain.
func playJoining(rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(rec, joiningMachines)
	if err != nil {
		return false, err
	}
	defer d.close()
	j := &joining{deployment: d, arrivals: make(map[string]string), byID: make(map[string]*server)}
	d.arrive = j.recordArrival
	defer func() {
		for _, s := range j.servers {
			s.close()
		}
	}()
	for range joiningServers {
		if err := j.join(); err != nil {
			return false, err
		}
	}
	if err := d.configure(1, longPauseMS); err != nil {
		return false, err
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	j.inTouchFrom = d.record.since() + contact
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for _, m := range d.machines {
		callers.Go(func() { j.sendAll(m, stop) })
	}
	time.Sleep(joiningWarmUp)
	for range joiningReleases {
		for range joiningPerRelease {
			if err := j.replace(trouble); err != nil {
				return false, err
			}
			time.Sleep(joiningGap)
		}
		time.Sleep(joiningPause)
	}
	close(stop)
	callers.Wait()
	return j.judge(), nil
}

// join starts one more server.
func (j *joining) join() error {
	id := fmt.Sprintf("i-%08x", 0x7f3a91c2+j.started)
	s, err := j.deployment.newServer(id, plainService, fmt.Sprintf("zone-%d", j.started%joiningMachines+1), "v1", plainSlots, j.handle)
	if err != nil {
		return err
	}
	j.mu.Lock()
	j.byID[id] = s
	j.mu.Unlock()
	j.started++
	j.servers = append(j.servers, s)
	return nil
}

// replace has a new server join, and the oldest one drain and leave.
func (j *joining) replace(trouble bool) error {
	if !trouble {
		return nil
	}
	if err := j.join(); err != nil {
		return err
	}
	oldest := j.servers[0]
	j.servers = j.servers[1:]
	oldest.drain()
	return nil
}

func (j *joining) handle(s *server, w http.ResponseWriter, r *http.Request) {
	time.Sleep(joiningWork)
	_, _ = fmt.Fprintf(w, "%s by %s", r.Header.Get(platform.HeaderRequestID), s.id) //nolint:gosec // No browser reads it.
}

// recordArrival records that a request reached a server.
func (j *joining) recordArrival(id, server string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.arrivals[id] != "" {
		server = j.arrivals[id] + ", " + server
	}
	j.arrivals[id] = server
}

// sendAll sends requests to one machine until stop is closed.
func (j *joining) sendAll(m *machine, stop chan struct{}) {
	client := newKeptCaller()
	defer client.close()
	var requests sync.WaitGroup
	defer requests.Wait()
	ticker := time.NewTicker(joiningInterval)
	defer ticker.Stop()
	for count := 0; ; count++ {
		select {
		case <-ticker.C:
		case <-stop:
			return
		}
		requests.Go(func() {
			id := fmt.Sprintf("%d-%06d", m.number, count)
			method, path := http.MethodGet, lookupPrefix+id
			if count%3 == 0 {
				method, path = http.MethodPost, orderPrefix+id
			}
			inTouch := j.deployment.record.since() > j.inTouchFrom
			j.add(m, id, path, inTouch, client.send(m, method, path, id, plainTimeoutMS*time.Millisecond))
		})
	}
}

// add records how a request ended. One that was passed on counts only if its machine was in touch, and if all servers that it reached still run.
func (j *joining) add(m *machine, id, path string, inTouch bool, got keptAnswer) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.sent++
	switch {
	case got.status == http.StatusOK && got.err == nil:
		j.served++
	case got.status == http.StatusServiceUnavailable:
		j.refused++
	case got.closed:
		j.unanswered++
		if strings.HasPrefix(path, orderPrefix) {
			j.unansweredOrders++
		}
		servers := j.arrivals[id]
		if servers != "" && got.kept && inTouch && j.allRun(servers) {
			j.passedOn++
		}
		j.deployment.record.writef("request %s, %s, to machine %d over a connection that was kept: %t; it was closed without an answer; it had reached servers: %q",
			id, path, m.number, got.kept, servers)
	default:
		j.deployment.record.writef("request %s, %s, to machine %d: status %d, %v", id, path, m.number, got.status, got.err)
	}
}

// allRun reports whether all of the servers run; the caller holds mu.
func (j *joining) allRun(ids string) bool {
	for id := range strings.SplitSeq(ids, ", ") {
		s := j.byID[id]
		s.mu.Lock()
		up := s.up
		s.mu.Unlock()
		if !up {
			return false
		}
	}
	return true
}

func (j *joining) judge() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	rec := j.deployment.record
	rec.conclude("%d requests, %d served, %d refused, %d closed without an answer, among them %d orders", j.sent, j.served, j.refused, j.unanswered,
		j.unansweredOrders)
	rec.conclude("%d requests of kept connections had been passed on to a server and were closed without an answer; the rule allows %d", j.passedOn,
		maxUnanswered)
	return j.passedOn > maxUnanswered
}
