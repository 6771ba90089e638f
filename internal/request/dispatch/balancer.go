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

// progressInterval is how many data frames of a response are timed together.
const progressInterval = 16

// balancers holds one balancer for each pool.
type balancers struct {
	process ident.Process
	fleet   *fleet.Fleet
	mu      sync.Mutex
	// pools only grows; guarded by mu.
	pools map[ident.Pool]*balancer
}

// balancer picks endpoints of one pool: a policy and the lock that guards it.
type balancer struct {
	pool  ident.Pool
	fleet *fleet.Fleet
	mu    sync.Mutex
	// The fields below are guarded by mu.
	policy choice.Policy
	// members is the list of endpoints that the policy was last updated with.
	members []*fleet.Endpoint
	byID    map[ident.Endpoint]*fleet.Endpoint
}

// tracker reports the progress and result of one attempt to the policy.
type tracker struct {
	balancer *balancer
	attempt  *choice.Attempt
	endpoint *fleet.Endpoint
	result   choice.Result
	// dataFrames and lastProgress time the response; only the goroutine that reads it uses them.
	dataFrames   int
	lastProgress time.Time
}

func newBalancers(config Config) *balancers {
	return &balancers{process: config.Process, fleet: config.Fleet, pools: make(map[ident.Pool]*balancer)}
}

func (b *balancers) pool(pool ident.Pool) *balancer {
	b.mu.Lock()
	defer b.mu.Unlock()
	existing := b.pools[pool]
	if existing == nil {
		seed := xxhash.Sum64String(string(b.process) + "/" + string(pool))
		existing = &balancer{pool: pool, fleet: b.fleet, policy: choice.New(choice.Config{Entry: b.process, Seed: seed})}
		b.pools[pool] = existing
	}
	return existing
}

// pick picks an endpoint that was not yet tried and returns the tracker of the attempt, or nil if there is none.
func (b *balancer) pick(call Call) *tracker {
	members := b.fleet.Members(b.pool)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(members)
	attempt := b.policy.Pick(time.Now(), call.query(), func(id ident.Endpoint) (choice.LoadReport, bool) {
		endpoint := b.byID[id]
		if call.Tried[id] || !b.fleet.Accepts(endpoint) {
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

// query returns the properties of the request by which the policy picks.
func (c Call) query() choice.Query {
	return choice.Query{Class: c.Open.Class, Prefix: c.Prefix, Streamed: c.Streamed}
}

// update passes the pool's members to the policy if the list has changed. The fleet never changes a list that it has
// returned, so comparing the first element's address is enough.
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

// observe updates the attempt from a frame of the response, or from the error that ended it.
func (t *tracker) observe(frame link.Frame, err error) {
	if IsInterrupted(err) {
		t.result = choice.Failed
		return
	}
	switch frame := frame.(type) {
	case *link.Accept:
		t.observeAccepted()
	case *link.Data:
		t.observeData()
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

func (t *tracker) observeAccepted() {
	t.balancer.mu.Lock()
	defer t.balancer.mu.Unlock()
	t.balancer.policy.Accepted(time.Now(), t.attempt)
}

// observeData counts a data frame. It reports the first one to the policy, and after that the mean time per frame of each
// progressInterval frames.
func (t *tracker) observeData() {
	t.dataFrames++
	if t.dataFrames != 1 && t.dataFrames%progressInterval != 0 {
		return
	}
	now := time.Now()
	t.balancer.mu.Lock()
	defer t.balancer.mu.Unlock()
	if t.dataFrames == 1 {
		t.balancer.policy.ResponseStarted(now, t.attempt)
	} else {
		t.balancer.policy.Progress(now, t.attempt, now.Sub(t.lastProgress)/progressInterval)
	}
	t.lastProgress = now
}

func (t *tracker) end() {
	t.balancer.mu.Lock()
	defer t.balancer.mu.Unlock()
	t.balancer.policy.End(time.Now(), t.attempt, t.result)
}
