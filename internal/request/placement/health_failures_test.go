package placement_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"vanillapond/internal/request/placement"
	"vanillapond/pkg/ident"
)

var (
	read  = placement.Query{MayRunTwice: true}
	write = placement.Query{}
)

// instances returns balancers that share the health of three plain servers.
func sharingInstances(count, servers int) []*placement.Balancer {
	return newFleetOf(count, 1, true, servers)
}

// exchange sends the reports of all instances to all others.
func exchange(now time.Time, balancers []*placement.Balancer) {
	for from, sender := range balancers {
		report, _ := sender.HealthReport(now)
		for to, receiver := range balancers {
			if from != to {
				receiver.MergeHealth(now, process(from), report)
			}
		}
	}
}

// result records the result of a request to a server.
func result(balancer *placement.Balancer, now time.Time, server ident.Endpoint, query placement.Query, ended placement.Result) {
	balancer.StartAttempt(now, query, placement.Choice{Server: server}).End(now, ended)
}

// healthOf returns an instance's state of a server.
func healthOf(balancer *placement.Balancer, now time.Time, server ident.Endpoint) placement.HealthState {
	for _, status := range balancer.ServerStatuses(now) {
		if status.Server == server {
			return status.Health
		}
	}
	return ""
}

// TestWriteAvoidsServerThatPeerFoundGone guards against the loss of a request with one attempt at a server that another instance has found gone, until a
// request has succeeded there.
func TestWriteAvoidsServerThatPeerFoundGone(t *testing.T) {
	t.Parallel()
	for _, failure := range []placement.Result{placement.Unreachable, placement.Failed} {
		is := is.New(t)
		balancers := sharingInstances(2, plainServers)
		now := start
		for _, balancer := range balancers {
			for _, server := range []ident.Endpoint{"e0", "e1", "e2"} {
				result(balancer, now, server, read, placement.Succeeded)
			}
		}
		now = now.Add(100 * time.Millisecond)
		result(balancers[1], now, "e0", write, failure)
		exchange(now, balancers)
		for range 100 {
			choice, attempt := pickAndSend(t, balancers[0], now, write)
			is.True(choice.Server != "e0")
			attempt.End(now, placement.Succeeded)
		}
		choice, found := balancers[0].Pick(now, placement.Query{Avoid: []ident.Endpoint{"e1", "e2"}})
		is.True(!found) // It is refused as not run rather than sent there.
		is.Equal(choice.Unproven, 1)
		now = now.Add(time.Second)
		result(balancers[1], now, "e0", read, placement.Succeeded)
		exchange(now, balancers)
		choice, found = balancers[0].Pick(now, placement.Query{Avoid: []ident.Endpoint{"e1", "e2"}})
		is.True(found)
		is.True(!choice.FailedAt.IsZero()) // Connections from before the failure are not used.
	}
}

// TestLimitOfEjectedServers guards against the ejection of most of a service: at most half of its servers are, unless all refuse connections.
func TestLimitOfEjectedServers(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		servers := rapid.IntRange(1, 5).Draw(t, "servers")
		balancers := sharingInstances(3, servers)
		now := start
		refusing := 0
		for index := range servers {
			failure := rapid.SampledFrom([]placement.Result{
				placement.Succeeded, placement.Failed, placement.ServerFailed, placement.Unreachable,
			}).Draw(t, "failure")
			if failure == placement.Unreachable {
				refusing++
			}
			for range 5 {
				for _, balancer := range balancers {
					result(balancer, now, engines(servers)[index].ID, write, failure)
				}
			}
		}
		exchange(now, balancers)
		ejected := 0
		for _, status := range balancers[0].ServerStatuses(now) {
			if status.Health == placement.Ejected {
				ejected++
			}
		}
		if refusing == servers {
			if ejected != servers {
				t.Fatalf("all %d servers refuse connections, %d are ejected", servers, ejected)
			}
		} else if ejected > servers/2 {
			t.Fatalf("%d of %d servers are ejected, %d refuse connections", ejected, servers, refusing)
		}
	})
}

// TestAllServersFail guards against the ejection of servers for failures that all of them have alike, because the cause lies elsewhere.
func TestAllServersFail(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	balancers := sharingInstances(3, plainServers)
	for step := range 100 {
		now := start.Add(time.Duration(step) * 10 * time.Millisecond)
		for _, server := range []ident.Endpoint{"e0", "e1", "e2"} {
			result(balancers[step%3], now, server, read, placement.ServerFailed)
		}
		exchange(now, balancers)
	}
	for _, status := range balancers[0].ServerStatuses(start.Add(time.Second)) {
		is.Equal(status.Health, placement.Healthy)
	}
}

// TestTrialByOneInstance guards against trials by all instances at once: while one instance has requests to try the server with, only it does.
func TestTrialByOneInstance(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	balancers := sharingInstances(fleetSize, plainServers)
	for _, balancer := range balancers {
		result(balancer, start, "e0", read, placement.Unreachable)
	}
	by := make(map[int]int)
	for at := time.Duration(0); at < 5*time.Second; at += 10 * time.Millisecond {
		now := start.Add(at)
		if at%(300*time.Millisecond) == 0 {
			exchange(now, balancers)
		}
		for index, balancer := range balancers {
			choice, attempt := pickAndSend(t, balancer, now, read)
			if choice.Server != "e0" {
				attempt.End(now, placement.Succeeded)
				continue
			}
			is.True(choice.Trial)
			by[index]++
			attempt.End(now, placement.Unreachable)
			once, attempt := pickAndSend(t, balancer, now, write)
			is.True(once.Server != "e0")
			attempt.End(now, placement.Succeeded)
		}
	}
	is.Equal(len(by), 1)
	for _, trials := range by {
		is.True(trials >= 8 && trials <= 17) // One each 300 ms, or later.
	}
}

// TestLyingPeer guards against a peer with false reports: it can neither eject healthy servers, nor block requests that must not run twice, nor have them
// sent to a server that this instance has found gone.
func TestLyingPeer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	balancers := sharingInstances(5, plainServers)
	bad := placement.ServerCounts{Failures: 1e5, Errors: 1e5, Refused: 1e5, Timed: 1e5, Slow: 1e5, Milliseconds: 1e9, BrokenAge: 1, RefusedAge: 1}
	good := placement.ServerCounts{Successes: 1e5, Timed: 1e5, Milliseconds: 1, SuccessAge: 1}
	for at := time.Duration(0); at < 3*time.Second; at += 50 * time.Millisecond {
		now := start.Add(at)
		for _, balancer := range balancers {
			for _, server := range []ident.Endpoint{"e0", "e1"} {
				result(balancer, now, server, write, placement.Succeeded)
			}
			result(balancer, now, "e2", read, placement.Unreachable)
		}
		exchange(now, balancers)
		now = now.Add(10 * time.Millisecond)
		for _, balancer := range balancers {
			balancer.MergeHealth(now, "liar", placement.HealthReport{Servers: map[ident.Endpoint]placement.ServerCounts{"e0": bad, "e1": bad, "e2": good}})
			is.True(healthOf(balancer, now, "e0") != placement.Ejected)
			is.True(healthOf(balancer, now, "e1") != placement.Ejected)
			_, found := balancer.Pick(now, read)
			is.True(found)
			choice, found := balancer.Pick(now, write)
			is.True(found)
			is.True(choice.Server != "e2")
		}
	}
}

// TestPeersCutOff guards against a policy that needs its peers: an instance alone finds a server by its own requests, and drops reports that have expired.
func TestPeersCutOff(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	balancers := sharingInstances(2, plainServers)
	result(balancers[1], start, "e1", read, placement.Unreachable)
	exchange(start, balancers)
	now := start.Add(4 * time.Second)
	for range 5 {
		for _, server := range []ident.Endpoint{"e0", "e1", "e2"} {
			ended := placement.Succeeded
			if server == "e0" {
				ended = placement.ServerFailed
			}
			result(balancers[0], now, server, write, ended)
		}
	}
	is.Equal(healthOf(balancers[0], now, "e0"), placement.Ejected)
	is.Equal(healthOf(balancers[0], now, "e1"), placement.Healthy)
	events := balancers[0].HealthEvents(now)
	is.Equal(events[len(events)-1].Cause, placement.CauseErrors)
	is.Equal(events[len(events)-1].Instances, 1)
}

// TestReadAfterErrorPrefersLowestFailureRate guards against the second attempt of a read at another server that fails often, because it is nearer.
func TestReadAfterErrorPrefersLowestFailureRate(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	balancers := sharingInstances(1, plainServers)
	for index := range 20 {
		ended := placement.Succeeded
		if index%7 == 0 {
			ended = placement.ServerFailed
		}
		result(balancers[0], start, "e0", read, ended)
		result(balancers[0], start, "e1", read, placement.Succeeded)
	}
	choice, _ := balancers[0].Pick(start, read)
	is.Equal(choice.Server, ident.Endpoint("e0")) // It is in the same failure domain.
	choice, _ = balancers[0].Pick(start, placement.Query{MayRunTwice: true, AfterError: true, Avoid: []ident.Endpoint{"e2"}})
	is.Equal(choice.Server, ident.Endpoint("e1"))
}

// TestHealthReportCheck guards against reports that would spoil the sums.
func TestHealthReportCheck(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	balancers := sharingInstances(1, plainServers)
	result(balancers[0], start, "e0", write, placement.ServerFailed)
	report, shared := balancers[0].HealthReport(start.Add(time.Second))
	is.True(shared)
	is.NoErr(report.Check())
	for _, counts := range []placement.ServerCounts{
		{Successes: -1}, {Errors: math.NaN()}, {Refused: math.Inf(1)}, {Slow: 2, Timed: 1}, {Once: 1}, {BrokenAge: -1}, {SuccessAge: 1 << 40},
	} {
		is.True(placement.HealthReport{Servers: map[ident.Endpoint]placement.ServerCounts{"e0": counts}}.Check() != nil)
	}
	many := placement.HealthReport{Servers: make(map[ident.Endpoint]placement.ServerCounts)}
	for _, engine := range engines(65) {
		many.Servers[engine.ID] = placement.ServerCounts{}
	}
	is.True(many.Check() != nil)
}
