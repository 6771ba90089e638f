package placement_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/request/placement"
)

// TestServerStatuses holds that what is shown of a server is what the choice goes by.
func TestServerStatuses(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	list := engines(2)
	list[0].Slots, list[1].Slots = 4, 4
	balancer := withCandidates(placement.New(1), list)
	statusOf := func(server string, now time.Time) placement.ServerStatus {
		for _, status := range balancer.ServerStatuses(now) {
			if string(status.Server) == server {
				return status
			}
		}
		t.Fatalf("no standing of %s", server)
		return placement.ServerStatus{}
	}
	first, attempt := pickAndSend(t, balancer, start, longPrompt)
	is.Equal(first.Free, 2)
	name := string(first.Server)
	status := statusOf(name, start)
	is.Equal(status.Local.Active, 1)
	is.Equal(status.Total.Active, 1)
	is.Equal(status.Overdue, 0)
	is.Equal(statusOf(name, start.Add(time.Minute)).Overdue, 1)
	attempt.End(start, placement.Unreachable)
	status = statusOf(name, start)
	is.True(status.EjectedFor > 0)
	is.True(status.FailureRate > 0)
	is.Equal(status.Local.Active, 0)
	for range 3 {
		pickAndSend(t, balancer, start, longPrompt)
	}
	next, _ := pickAndSend(t, balancer, start, longPrompt)
	is.Equal(next.Free, 0) // One is out, and the other has more than half of its slots taken.
}
