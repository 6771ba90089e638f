//go:build !race

package forward_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"vanillapond/internal/request/forward"
	"vanillapond/pkg/ident"
)

var suspectSeeds = flag.Uint64("suspect-model-seeds", 0, "seeds of TestModelSuspects; 0 runs those of CI")

// Times of a run, and the digests of its requests.
const (
	suspectStep    = 20 * time.Millisecond
	suspectRun     = 50 * time.Second
	suspectContact = 3 * time.Second
	fatalDigest    = 1
	soundDigest    = 2
	// maxLateTries is how many tries may reach servers later than suspectContact after the third crash.
	maxLateTries = 3
	// noticeTime is the time within which an instance notices that a connection has broken.
	noticeTime = 80 * time.Millisecond
	// learnTime is the time in which an instance learns what the others report.
	learnTime = time.Second
	// lossesToRefuse is how many losses without a complete response since let a request look fatal.
	lossesToRefuse = 3
)

// modelServer is a server that crashes when it begins to run the fatal request, and starts again under its id.
type modelServer struct {
	id ident.Endpoint
	// started is when it last started, upAt when it is up again after a crash.
	started, upAt time.Time
}

// suspectInstance is a router with its list of suspects, and when each server had started by the list of servers that it has read.
type suspectInstance struct {
	list  *forward.SuspectList
	known map[ident.Endpoint]int64
	// startedAt is when it started: what completes before it has learned of losses clears none.
	startedAt time.Time
}

// suspectModel plays a fatal request and a popular sound one at some instances and servers.
type suspectModel struct {
	random    *rand.Rand
	now       time.Time
	servers   []*modelServer
	instances []*suspectInstance
	crashes   []time.Time
	// lateTries counts tries of the fatal request, soundBlocked the times at which the sound one was refused without reason.
	lateTries, soundBlocked int
	// soundLosses counts the crashes that the sound request was lost in since it last completed, at soundAt; the last of them was at soundLostAt.
	soundLosses          int
	soundAt, soundLostAt time.Time
}

func newSuspectModel(seed uint64) *suspectModel {
	m := &suspectModel{random: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1_784_000_000, 0)}
	for index := range 1 + m.random.IntN(4) {
		m.servers = append(m.servers, &modelServer{id: ident.Endpoint(fmt.Sprint("s", index)), started: m.now.Add(-time.Minute), upAt: m.now})
	}
	for range 1 + m.random.IntN(5) {
		m.instances = append(m.instances, &suspectInstance{})
		m.restart(len(m.instances) - 1)
	}
	return m
}

// restart replaces an instance by one that has read the list of servers, and learns what the others report.
func (m *suspectModel) restart(index int) {
	m.instances[index] = &suspectInstance{
		list: forward.NewSuspectList(forward.SuspectConfig{AgreedTime: func() time.Time { return m.now }}), known: make(map[ident.Endpoint]int64),
		startedAt: m.now,
	}
	m.readServers(m.instances[index])
}

func (m *suspectModel) readServers(instance *suspectInstance) {
	for _, server := range m.servers {
		instance.known[server.id] = server.started.UnixMilli()
	}
}

// gossip has the instances report their losses, of which some datagrams are lost and some arrive late.
func (m *suspectModel) gossip() {
	for from, sender := range m.instances {
		report, cleared := append(sender.list.Recent(m.now), sender.list.BlockedLosses(m.now)...), sender.list.Cleared()
		for to, receiver := range m.instances {
			if from == to || m.random.IntN(10) == 0 {
				continue
			}
			receiver.list.Merge(m.now.Add(time.Duration(m.random.IntN(200))*time.Millisecond), report)
			receiver.list.MergeCleared(cleared)
		}
	}
}

// try sends the fatal request to servers that are up, which crash, at most two.
func (m *suspectModel) try() {
	instance := m.instances[m.random.IntN(len(m.instances))]
	if instance.list.Blocked(m.now, fatalDigest) {
		return
	}
	reached := 0
	for _, index := range m.random.Perm(len(m.servers)) {
		if server := m.servers[index]; reached < 2 && !m.now.Before(server.upAt) {
			reached++
			m.crash(server, instance)
		}
	}
	if reached > 0 && len(m.crashes) >= 3 && m.now.Sub(m.crashes[2]) > suspectContact {
		m.lateTries++
	}
}

// crash has a server crash under the fatal request of one instance and, often, sound ones of all.
func (m *suspectModel) crash(server *modelServer, fatal *suspectInstance) {
	m.crashes = append(m.crashes, m.now)
	lost := false
	for _, instance := range m.instances {
		// Connections are as old as the server at the most.
		age := time.Duration(m.random.Int64N(int64(m.now.Sub(server.started)) + 1))
		observed := forward.Crash{
			Server:   ident.ServerStart{ID: server.id, StartedUnixMS: instance.known[server.id]},
			OpenedAt: m.now.Add(-age), BrokenAt: m.now.Add(time.Duration(m.random.Int64N(int64(noticeTime)))),
		}
		if instance == fatal {
			instance.list.RecordLoss(m.now, fatalDigest, observed)
		}
		if m.random.IntN(2) == 0 {
			instance.list.RecordLoss(m.now, soundDigest, observed)
			lost = true
		}
	}
	if lost {
		m.soundLosses, m.soundLostAt = m.soundLosses+1, m.now
	}
	server.upAt = m.now.Add(time.Second + time.Duration(m.random.IntN(4000))*time.Millisecond)
	server.started = server.upAt
}

// completeSound has the sound request complete at one instance where it is not refused, if a server is up.
func (m *suspectModel) completeSound() {
	isUp := func(server *modelServer) bool { return !m.now.Before(server.upAt) }
	if !slices.ContainsFunc(m.servers, isUp) {
		return
	}
	for _, index := range m.random.Perm(len(m.instances)) {
		if instance := m.instances[index]; !instance.list.Blocked(m.now, soundDigest) && m.now.Sub(instance.startedAt) > learnTime {
			instance.list.Clear(soundDigest)
			// A break that is noticed later than the response is not known to have come before it.
			if m.now.Sub(m.soundLostAt) > noticeTime {
				m.soundLosses, m.soundAt = 0, m.now
			}
			return
		}
	}
}

// checkSound counts the refusals of the sound request that are not allowed: it has completed since the third last of its losses, and all instances have had the time to
// learn of that.
func (m *suspectModel) checkSound() {
	if m.soundLosses >= lossesToRefuse || m.now.Sub(m.soundAt) < learnTime {
		return
	}
	for _, instance := range m.instances {
		if instance.list.Blocked(m.now, soundDigest) {
			m.soundBlocked++
		}
	}
}

func (m *suspectModel) run() {
	const gossipInterval = 100 * time.Millisecond
	for elapsed := time.Duration(0); elapsed < suspectRun; elapsed += suspectStep {
		m.now = m.now.Add(suspectStep)
		if elapsed%gossipInterval == 0 {
			m.gossip()
		}
		if m.random.IntN(25) == 0 {
			m.try()
		}
		m.completeSound()
		m.checkSound()
		if m.random.IntN(200) == 0 {
			m.readServers(m.instances[m.random.IntN(len(m.instances))])
		}
		if len(m.instances) > 1 && m.random.IntN(1000) == 0 {
			m.restart(m.random.IntN(len(m.instances)))
		}
	}
}

// TestModelSuspects plays a request that crashes one to four servers, which are born again under their ids, at up to five instances. Some have not read
// that a server has started again, some are restarted, and datagrams get lost. The request must be stopped, and a sound request that is often lost in the same
// crashes must not once it has completed at any instance.
func TestModelSuspects(t *testing.T) {
	t.Parallel()
	for seed := range max(*suspectSeeds, 300) {
		m := newSuspectModel(seed)
		m.run()
		if m.lateTries > maxLateTries {
			t.Errorf("seed %d: %d servers, %d instances: %d tries later than %s after the third of %d crashes, want at most %d",
				seed, len(m.servers), len(m.instances), m.lateTries, suspectContact, len(m.crashes), maxLateTries)
		}
		if len(m.crashes) < 3 {
			t.Errorf("seed %d: only %d crashes", seed, len(m.crashes))
		}
		if m.soundBlocked > 0 {
			t.Errorf("seed %d: the sound request was refused at %d steps although it had completed", seed, m.soundBlocked)
		}
	}
}
