package dispatch

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"vanillapond/internal/connection/fleet"
	"vanillapond/internal/connection/link"
	"vanillapond/internal/request/choice"
	"vanillapond/pkg/ident"
)

// progressParts is how many parts of an answer are timed together.
const progressParts = 16

// balancers hold one policy for each pool.
type balancers struct {
	entry ident.Process
	fleet *fleet.Fleet
	mu    sync.Mutex
	// pools only grows; guarded by mu.
	pools map[ident.Pool]*balancer
}

// balancer is the policy of one pool with its lock.
type balancer struct {
	pool  ident.Pool
	fleet *fleet.Fleet
	mu    sync.Mutex
	// All below is guarded by mu.
	policy choice.Policy
	// members is the pool that the policy knows.
	members []*fleet.Endpoint
	byID    map[ident.Endpoint]*fleet.Endpoint
}

// tracker follows one attempt at an endpoint for the policy.
type tracker struct {
	balancer *balancer
	attempt  *choice.Attempt
	endpoint *fleet.Endpoint
	result   choice.Result
	// parts and last time the answer; used by the reader alone.
	parts int
	last  time.Time
}

func newBalancers(config Config) *balancers {
	return &balancers{entry: config.Process, fleet: config.Fleet, pools: make(map[ident.Pool]*balancer)}
}

func (b *balancers) pool(pool ident.Pool) *balancer {
	b.mu.Lock()
	defer b.mu.Unlock()
	found := b.pools[pool]
	if found == nil {
		seed := xxhash.Sum64String(string(b.entry) + "/" + string(pool))
		found = &balancer{pool: pool, fleet: b.fleet, policy: choice.New(choice.Config{Entry: b.entry, Seed: seed})}
		b.pools[pool] = found
	}
	return found
}

// pick returns a tracker for an endpoint that was not tried, or nil.
func (b *balancer) pick(call Call) *tracker {
	members := b.fleet.Members(b.pool)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(members)
	attempt := b.policy.Pick(time.Now(), call.query(), func(id ident.Endpoint) (choice.LoadReport, bool) {
		endpoint := b.byID[id]
		if call.Tried[id] || !b.fleet.Takes(endpoint) {
			return choice.LoadReport{}, false
		}
		load := endpoint.Load()
		return choice.LoadReport{Sequence: load.Sequence, Busy: load.Running + load.Waiting, Capacity: load.Capacity}, true
	})
	if attempt == nil {
		return nil
	}
	return &tracker{balancer: b, attempt: attempt, endpoint: b.byID[attempt.Endpoint]}
}

// query returns what the policy is told of the call.
func (c Call) query() choice.Query {
	return choice.Query{Class: c.Open.Class, Prefix: c.Prefix, Streamed: c.Streamed}
}

// update takes over the pool if it is another than before; the fleet never changes a list that it gave out.
func (b *balancer) update(members []*fleet.Endpoint) {
	if len(members) == len(b.members) && (len(members) == 0 || &members[0] == &b.members[0]) {
		return
	}
	b.members = members
	b.byID = make(map[ident.Endpoint]*fleet.Endpoint, len(members))
	var list []choice.Member
	for _, endpoint := range members {
		b.byID[endpoint.Configuration.ID] = endpoint
		list = append(list, choice.Member{ID: endpoint.Configuration.ID, Domain: endpoint.Configuration.Domain})
	}
	b.policy.Update(list)
}

// note learns from a frame of the answer, or from its end without one.
func (t *tracker) note(frame link.Frame, err error) {
	if Cut(err) {
		t.result = choice.Failed
		return
	}
	switch frame := frame.(type) {
	case *link.Accept:
		t.accepted()
	case *link.Data:
		t.part()
	case *link.Deny:
		if frame.Code == link.DenyFailed || frame.Code == link.DenyDown {
			t.result = choice.Failed
		}
	case *link.End:
		if err == nil {
			t.result = choice.Succeeded
		}
	}
}

func (t *tracker) accepted() {
	t.balancer.mu.Lock()
	defer t.balancer.mu.Unlock()
	t.balancer.policy.Accepted(time.Now(), t.attempt)
}

// part notes a part of the answer.
func (t *tracker) part() {
	t.parts++
	if t.parts != 1 && t.parts%progressParts != 0 {
		return
	}
	now := time.Now()
	t.balancer.mu.Lock()
	defer t.balancer.mu.Unlock()
	if t.parts == 1 {
		t.balancer.policy.ResponseStarted(now, t.attempt)
	} else {
		t.balancer.policy.Progress(now, t.attempt, now.Sub(t.last)/progressParts)
	}
	t.last = now
}

func (t *tracker) end() {
	t.balancer.mu.Lock()
	defer t.balancer.mu.Unlock()
	t.balancer.policy.End(time.Now(), t.attempt, t.result)
}
