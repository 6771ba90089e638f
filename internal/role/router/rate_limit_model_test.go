package router_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"vanillapond/internal/connection/direct"
	"vanillapond/internal/connection/servers"
	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/peers"
	"vanillapond/internal/process/sharedrate"
	"vanillapond/internal/process/table"
	"vanillapond/internal/process/usage"
	"vanillapond/pkg/ident"
	"vanillapond/platform"
)

// Times of a run: the server names its limit from rateModelNamed to rateModelEnded.
const (
	rateModelStep  = 10 * time.Millisecond
	rateModelNamed = 12 * time.Second
	rateModelEnded = 60 * time.Second
	rateModelEnd   = 90 * time.Second
	// rateModelSettle is how long after the limit was first named it must hold.
	rateModelSettle = 3 * time.Second
	// rateModelKnown is how long after its first response with the limit an instance counts.
	rateModelKnown = 500 * time.Millisecond
	// rateModelStart is how long after its start an instance does not count.
	rateModelStart  = 4 * time.Second
	rateModelServer = ident.Endpoint("i-1")
)

var rateModelSeeds = flag.Uint64("rate-model-seeds", 0, "seeds of each case of TestModelServerRateLimit; 0 runs the cases of CI")

// rateModelCase is one fleet and its faults.
type rateModelCase struct {
	instances int
	rate      float64
	// demand is how many requests a second each instance has for the server.
	demand float64
	// joins and leaves are the instances that start late or end early, cuts those that are cut off for a while.
	joins, leaves, cuts int
	// cutStore and cutPeers say from what.
	cutStore, cutPeers bool
	// loss is the fraction of datagrams that are lost.
	loss float64
	// steps is how often the time of day steps on half of the instances.
	steps int
}

// rateModelInstance is one simulated router instance.
type rateModelInstance struct {
	model            *rateModel
	name             ident.Process
	incarnation      ident.Incarnation
	startAt, stopAt  time.Duration
	cutFrom, cutTo   time.Duration
	wallError        time.Duration
	peers            *peers.Registry
	servers          *servers.Registry
	nextBeat, nextUp time.Duration
	beats            int
	// knownSince is when the instance first got a response with the limit, 0 before.
	knownSince time.Duration
}

type rateModelEvent struct {
	at  time.Duration
	run func()
}

// rateModel is a fleet in virtual time, with one server.
type rateModel struct {
	rateModelCase
	random *rand.Rand
	// end is when the run ends.
	now, end  time.Duration
	rows      *table.Memory
	instances []*rateModelInstance
	events    []rateModelEvent
	arrivals  []rateModelArrival
}

type rateModelArrival struct {
	at   time.Duration
	from *rateModelInstance
}

var errRateModelCut = errors.New("cut off")

// reading returns the boot clock; it does not begin at 0, which means never.
func (m *rateModel) reading() clock.Reading { return clock.Reading(m.now + time.Hour) }

func (m *rateModel) after(delay time.Duration, run func()) {
	m.events = append(m.events, rateModelEvent{m.now + delay, run})
}

func (i *rateModelInstance) running() bool { return i.model.now >= i.startAt && i.model.now < i.stopAt }

func (i *rateModelInstance) cut() bool { return i.model.now >= i.cutFrom && i.model.now < i.cutTo }

// Commit implements the part of table.Table that peers.Registry uses.
func (i *rateModelInstance) Commit(ctx context.Context, transaction table.Transaction) error {
	if i.cut() && i.model.cutStore {
		return errRateModelCut
	}
	return i.model.rows.Commit(ctx, transaction)
}

// Read implements table.Table.
func (i *rateModelInstance) Read(ctx context.Context, keys ...table.Key) ([]table.Row, error) {
	return i.model.rows.Read(ctx, keys...)
}

// Scan implements table.Table.
func (i *rateModelInstance) Scan(ctx context.Context, prefix, after table.Key, limit int) ([]table.Row, error) {
	return i.model.rows.Scan(ctx, prefix, after, limit)
}

// List implements table.Feed.
func (i *rateModelInstance) List(ctx context.Context, name string) (table.Batch, error) {
	if i.cut() && i.model.cutStore {
		return table.Batch{}, errRateModelCut
	}
	rows, err := i.model.rows.Scan(ctx, table.Key(name+"/"), "", math.MaxInt)
	batch := table.Batch{ServiceTime: time.Duration(i.model.reading())}
	for _, row := range rows {
		batch.Changes = append(batch.Changes, table.Change{Row: row})
	}
	return batch, err
}

// Changes implements table.Feed.
func (*rateModelInstance) Changes(context.Context, string, table.Revision, time.Duration) (table.Batch, error) {
	return table.Batch{}, errRateModelCut
}

func (i *rateModelInstance) wall() time.Time {
	return time.Unix(1_784_000_000, 0).Add(i.model.now + i.wallError)
}

// start starts the instance.
func (i *rateModelInstance) start() {
	m := i.model
	i.peers = peers.New(peers.Config{
		Table: i, Feed: i, Process: i.name, Incarnation: i.incarnation, Address: netip.MustParseAddrPort("127.0.0.1:1"),
		WritesPerSecond: 1200, MaxHeartbeatInterval: 3300 * time.Millisecond, Usage: func() usage.Counts { return nil },
		Log: func(string, ...any) {}, Now: m.reading, Wall: i.wall,
	})
	i.servers = servers.New(servers.Config{
		NewPool: func(server platform.Server) *direct.Pool { return direct.New(direct.Config{Address: server.Address}) },
		Now:     m.reading, Share: i.peers.Share, AgreedTime: i.peers.AgreedTime,
	})
	i.servers.Update([]platform.Server{{ID: rateModelServer, Service: "s", State: platform.ServerReady, StartedUnixMS: 1}}, nil, true)
	i.nextBeat = m.now
	i.nextUp = m.now + time.Duration(m.random.Int64N(int64(time.Second)))
}

// step runs what the instance does in one step.
func (i *rateModelInstance) step() {
	m := i.model
	if m.now >= i.nextBeat {
		if i.beats == 0 {
			_, _ = i.peers.Read(context.Background())
		}
		_ = i.peers.Write(context.Background(), false)
		if i.beats%3 == 0 {
			_, _ = i.peers.Read(context.Background())
		}
		i.beats++
		interval := i.peers.HeartbeatInterval()
		i.nextBeat = m.now + interval - interval/8 + time.Duration(m.random.Int64N(int64(interval/4)))
	}
	if m.now >= i.nextUp {
		i.gossip()
		i.nextUp = m.now + min(max(100*time.Millisecond, time.Duration(m.rateModelCase.instances)*10*time.Millisecond), time.Second)
	}
	for requests := m.demand * rateModelStep.Seconds(); requests > 0; requests-- {
		if requests >= 1 || m.random.Float64() < requests {
			i.request()
		}
	}
}

func (i *rateModelInstance) gossip() {
	m := i.model
	reports := i.servers.LimitReports()
	for _, peer := range i.peers.Peers() {
		at := slices.IndexFunc(m.instances, func(other *rateModelInstance) bool {
			return other.incarnation == peer.Incarnation
		})
		if at < 0 || m.random.Float64() < m.loss || i.cut() && m.cutPeers {
			continue
		}
		other := m.instances[at]
		m.after(time.Duration(1+m.random.IntN(20))*time.Millisecond, func() {
			if !other.running() || other.cut() && m.cutPeers {
				return
			}
			other.peers.Hear(i.name)
			for _, report := range reports {
				if err := report.Check(); err != nil {
					panic(err)
				}
				other.servers.MergeLimit(report)
			}
		})
	}
}

// request sends a request to the server if the instance may.
func (i *rateModelInstance) request() {
	m := i.model
	ready, _ := i.servers.Ready("s")
	if slices.Contains(i.servers.WithoutTurn(), rateModelServer) {
		return
	}
	if _, ok := i.servers.TakeTurn(rateModelServer); !ok {
		return
	}
	sent := m.reading()
	latency := time.Duration(1+m.random.IntN(5)) * time.Millisecond
	if m.random.IntN(20) == 0 {
		latency = time.Duration(m.random.IntN(300)) * time.Millisecond
	}
	m.after(latency, func() {
		m.arrivals = append(m.arrivals, rateModelArrival{m.now, i})
		statement := servers.LimitStatement{Server: ready[0].Start(), SentAt: sent}
		if m.now >= rateModelNamed && m.now < rateModelEnded {
			statement.Limited, statement.Rate = true, sharedrate.Rate(m.rate)
		}
		m.after(time.Duration(5+m.random.IntN(60))*time.Millisecond, func() {
			if !i.running() {
				return
			}
			if statement.Limited && i.knownSince == 0 {
				i.knownSince = m.now
			}
			statement.ReceivedAt = m.reading()
			i.servers.ObserveLimit(statement)
		})
	})
}

func newRateModel(seed uint64, c rateModelCase) *rateModel {
	m := &rateModel{rateModelCase: c, random: rand.New(rand.NewPCG(seed, seed)), rows: table.NewMemory(), end: rateModelEnd}
	for index := range c.instances {
		instance := &rateModelInstance{
			model: m, name: ident.Process(fmt.Sprintf("router-%03d", index)), stopAt: math.MaxInt64,
			startAt:   time.Duration(m.random.Int64N(int64(300 * time.Millisecond))),
			wallError: time.Duration(m.random.IntN(40)-20) * time.Millisecond,
		}
		between := func(from, to time.Duration) time.Duration {
			return from + time.Duration(m.random.Int64N(int64(to-from)))
		}
		switch {
		case index < c.joins:
			instance.startAt = between(rateModelNamed, rateModelEnded)
		case index < c.joins+c.leaves:
			instance.stopAt = between(rateModelNamed, rateModelEnded)
		case index < c.joins+c.leaves+c.cuts:
			instance.cutFrom = between(rateModelNamed/2, rateModelEnded)
			instance.cutTo = instance.cutFrom + between(5*time.Second, 40*time.Second)
		}
		m.instances = append(m.instances, instance)
	}
	for range c.steps {
		m.after(time.Duration(m.random.Int64N(int64(rateModelEnded))), func() {
			step := time.Duration(m.random.Int64N(int64(20*time.Second))) - 10*time.Second
			for _, instance := range m.instances {
				if m.random.IntN(2) == 0 {
					instance.wallError = step
				}
			}
		})
	}
	m.random.Shuffle(len(m.instances), func(a, b int) { m.instances[a].name, m.instances[b].name = m.instances[b].name, m.instances[a].name })
	for _, instance := range m.instances {
		instance.incarnation = ident.Incarnation(instance.name)
	}
	return m
}

// run plays the run; onStep is called after each step.
func (m *rateModel) run(onStep func()) {
	for ; m.now < m.end; m.now += rateModelStep {
		due := m.events
		m.events = nil
		for _, event := range due {
			if event.at > m.now {
				m.events = append(m.events, event)
				continue
			}
			event.run()
		}
		for _, instance := range m.instances {
			if instance.peers == nil && instance.running() {
				instance.start()
			}
			if instance.running() {
				instance.step()
			}
		}
		onStep()
	}
}

// counted returns when requests arrived that count against the limit.
func (m *rateModel) counted() []time.Duration {
	var counted []time.Duration
	for _, arrival := range m.arrivals {
		from := arrival.from
		if arrival.at >= rateModelNamed+rateModelSettle && arrival.at < rateModelEnded && from.knownSince != 0 &&
			arrival.at >= from.knownSince+rateModelKnown && arrival.at >= from.startAt+rateModelStart {
			counted = append(counted, arrival.at)
		}
	}
	slices.Sort(counted)
	return counted
}

// mostInRateWindow returns the largest number of sorted times within a window.
func mostInRateWindow(sorted []time.Duration, window time.Duration) int {
	most, first := 0, 0
	for index, at := range sorted {
		for sorted[first] <= at-window {
			first++
		}
		most = max(most, index-first+1)
	}
	return most
}

// limitEndBound returns how long after the end of a limit the instances in touch may still keep it: until one of the next turns and the
// gossip about it.
func (c rateModelCase) limitEndBound() time.Duration {
	return 4*time.Second + time.Duration(4/c.rate*float64(time.Second))
}

// TestModelServerRateLimit plays fleets with faults in virtual time. A server that names a limit gets no more than that from all instances
// together, cut off or not; the fleet uses most of what the server takes; and instances in touch drop the limit soon after its end.
func TestModelServerRateLimit(t *testing.T) {
	t.Parallel()
	faults := map[string]rateModelCase{
		"calm": {}, "lossy": {loss: 0.3}, "joining": {joins: 2}, "leaving": {leaves: 2}, "churn": {joins: 2, leaves: 2, loss: 0.05},
		"cut from store": {cuts: 2, cutStore: true}, "cut from peers": {cuts: 2, cutPeers: true},
		"cut from all": {cuts: 2, cutStore: true, cutPeers: true}, "half cut": {cuts: -2, cutStore: true, cutPeers: true},
		"all cut from store": {cuts: -1, cutStore: true}, "doubled": {joins: -2}, "clock steps": {steps: 12}, "clock steps, churn": {steps: 12, joins: 2, leaves: 2},
	}
	fleets, rates := []int{2, 4, 9, 30, 60}, []float64{0, 0.5, 1, 2.5, 8, 40}
	if *rateModelSeeds == 0 {
		fleets, rates = []int{2, 4, 30}, []float64{0, 1, 8}
	}
	for _, instances := range fleets {
		for _, rate := range rates {
			for name, c := range faults {
				c.instances, c.rate = instances, rate
				for _, count := range []*int{&c.joins, &c.leaves, &c.cuts} {
					if *count < 0 {
						*count = instances / -*count
					}
					*count = min(*count, instances-1)
				}
				if c.joins+c.leaves+c.cuts >= instances {
					continue
				}
				c.demand = 4*rate/float64(instances) + 2
				t.Run(fmt.Sprintf("%d/%v/%s", instances, rate, name), func(t *testing.T) {
					t.Parallel()
					for seed := range max(*rateModelSeeds, 1) {
						checkRateModel(t, seed*10_000+uint64(instances)*100+uint64(rate), c)
					}
				})
			}
		}
	}
}

func checkRateModel(t *testing.T, seed uint64, c rateModelCase) {
	t.Helper()
	m := newRateModel(seed, c)
	keptUntil := time.Duration(0)
	m.run(func() {
		if m.now < rateModelEnded {
			return
		}
		for _, instance := range m.instances {
			if instance.running() && (c.cuts == 0 || instance.cutTo == 0) && instance.servers.RateLimited(rateModelServer) {
				keptUntil = m.now
			}
		}
	})
	counted := m.counted()
	allowed := platform.RateLimitOverage*c.rate*platform.RateLimitWindow.Seconds() + platform.RateLimitSlack
	if most := mostInRateWindow(counted, platform.RateLimitWindow); float64(most) > allowed {
		t.Errorf("seed %d: server got %d requests in %v, allowed %v", seed, most, platform.RateLimitWindow, allowed)
	}
	if end := rateModelEnded + c.limitEndBound(); c.rate > 0 && keptUntil > end {
		t.Errorf("seed %d: an instance kept the limit until %v, want at most %v", seed, keptUntil, end)
	}
	expected := c.rate * (rateModelEnded - rateModelNamed - rateModelSettle).Seconds()
	if calm := c.joins+c.leaves+c.cuts == 0; calm && float64(len(counted)) < 0.6*expected-float64(c.instances) {
		t.Errorf("seed %d: server got %d requests, want at least 0.6 of the %v that it takes", seed, len(counted), expected)
	}
}
