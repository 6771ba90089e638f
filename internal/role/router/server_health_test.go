package router

import (
	"io"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"vanillapond/internal/process/journal"
	"vanillapond/internal/request/placement"
	"vanillapond/pkg/ident"
)

// TestHealthReportReachesInstanceThatStarts guards against the loss of peers' reports at an instance that has had no request yet, and against reports with
// invalid counts.
func TestHealthReportReachesInstanceThatStarts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	newInstance := func(process ident.Process) (*Router, func()) {
		r := &Router{
			journal:   journal.New(journal.Config{Out: io.Discard}),
			balancers: newPerService(func(ident.Pool) *placement.Balancer { return placement.New(1) }),
		}
		return r, func() {
			balancer := r.balancers.get("plain")
			balancer.Configure(placement.Settings{LoadAware: true, SharedHealth: true, Process: process})
			balancer.Update(placement.Generation{Servers: 1}, func() []placement.Candidate {
				return []placement.Candidate{newCandidate("a"), newCandidate("b"), newCandidate("c")}
			})
		}
	}
	now := time.Now()
	old, use := newInstance("old")
	use()
	old.balancers.get("plain").StartAttempt(now, placement.Query{}, placement.Choice{Server: "a"}).End(now, placement.Unreachable)
	datagram, err := cbor.Marshal(message{Process: "old", Health: old.healthReports(now)})
	is.NoErr(err)

	started, use := newInstance("new")
	var received message
	is.NoErr(cbor.Unmarshal(datagram, &received))
	(&gossip{router: started}).mergeHealth(now, received)
	received.Process = "liar"
	received.Health["plain"].Servers["b"] = placement.ServerCounts{Refused: -1, RefusedAge: 1}
	(&gossip{router: started}).mergeHealth(now, received)
	use()
	states := make(map[ident.Endpoint]placement.HealthState)
	for _, status := range started.balancers.get("plain").ServerStatuses(now) {
		states[status.Server] = status.Health
	}
	is.Equal(states, map[ident.Endpoint]placement.HealthState{"a": placement.Suspect, "b": placement.Healthy, "c": placement.Healthy})
}

func newCandidate(id ident.Endpoint) placement.Candidate {
	return placement.Candidate{ServerStart: ident.ServerStart{ID: id}, Slots: 6}
}
