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
	board := among(placement.New(1), list)
	of := func(server string, now time.Time) placement.ServerStatus {
		for _, standing := range board.ServerStatuses(now) {
			if string(standing.Server) == server {
				return standing
			}
		}
		t.Fatalf("no standing of %s", server)
		return placement.ServerStatus{}
	}
	first, ticket := place(t, board, start, long)
	is.Equal(first.Free, 2)
	name := string(first.Server)
	standing := of(name, start)
	is.Equal(standing.Local.Active, 1)
	is.Equal(standing.Total.Active, 1)
	is.Equal(standing.Overdue, 0)
	is.Equal(of(name, start.Add(time.Minute)).Overdue, 1)
	ticket.End(start, placement.Unreachable)
	standing = of(name, start)
	is.True(standing.EjectedFor > 0)
	is.True(standing.FailureRate > 0)
	is.Equal(standing.Local.Active, 0)
	for range 3 {
		place(t, board, start, long)
	}
	next, _ := place(t, board, start, long)
	is.Equal(next.Free, 0) // One is out, and the other has more than half of its slots taken.
}
