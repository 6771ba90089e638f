package servers_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/connection/direct"
	"vanillapond/internal/connection/servers"
	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/sharedrate"
	"vanillapond/pkg/ident"
	"vanillapond/platform"
)

// warmingFleet is the registries of several instances, with one clock.
type warmingFleet struct {
	now       clock.Reading
	instances []*servers.Registry
}

func newWarmingFleet(count int, limit servers.WarmupLimit) *warmingFleet {
	f := &warmingFleet{now: clock.Reading(time.Hour)}
	for rank := range count {
		f.instances = append(f.instances, servers.New(servers.Config{
			NewPool:     func(server platform.Server) *direct.Pool { return direct.New(direct.Config{Address: server.Address}) },
			WarmupLimit: func(ident.Pool) servers.WarmupLimit { return limit },
			Share:       func() sharedrate.Share { return sharedrate.Share{Rank: rank, Count: count} },
			AgreedTime:  func() time.Time { return time.Unix(0, int64(f.now)) },
			Now:         func() clock.Reading { return f.now },
		}))
	}
	return f
}

// register gives all instances a server that has started at the given millisecond and warms up for the given time.
func (f *warmingFleet) register(startedMS int64, remaining platform.Milliseconds) {
	server := registration("cold", platform.ServerReady, startedMS)
	server.WarmupRemaining = remaining
	for _, instance := range f.instances {
		instance.Update([]platform.Server{server, registration("warm", platform.ServerReady, 1)}, nil, true)
	}
}

// play lets all instances send the cold server as many requests as they may, and returns when they did.
func (f *warmingFleet) play(duration time.Duration) []time.Duration {
	var arrivals []time.Duration
	for end := f.now.Add(duration); f.now < end; f.now = f.now.Add(10 * time.Millisecond) {
		for _, instance := range f.instances {
			if slices.Contains(instance.WithoutTurn(), "cold") {
				continue
			}
			if _, ok := instance.TakeTurn("cold"); ok {
				arrivals = append(arrivals, time.Duration(f.now))
			}
		}
	}
	return arrivals
}

// TestWarmingServerIsNotFlooded checks that a server that has just started gets no more than it accepts while it warms up from all instances
// together, though each of them finds it empty, that it gets most of that, and that the limit ends with the time that it named, even if
// its registration is read again.
func TestWarmingServerIsNotFlooded(t *testing.T) {
	t.Parallel()
	for _, count := range []int{1, 4, 30} {
		is := is.New(t)
		limit := servers.WarmupLimit{Rate: 10, Overage: 1.5, Slack: 5}
		f := newWarmingFleet(count, limit)
		f.register(1, 3000)
		arrivals := f.play(2500 * time.Millisecond)
		most, first := 0, 0
		for index, at := range arrivals {
			for arrivals[first] <= at-time.Second {
				first++
			}
			most = max(most, index-first+1)
		}
		if float64(most) > float64(limit.Rate)*limit.Overage+limit.Slack {
			t.Errorf("%d instances: server got %d requests in a second", count, most)
		}
		is.True(len(arrivals) >= 20)
		f.register(1, 3000)
		f.now = f.now.Add(time.Second)
		is.Equal(len(f.play(100*time.Millisecond)), 10*count)

		f.register(2, 3000) // It starts again.
		is.True(len(f.play(time.Second)) <= 20)
		f.register(2, 0)
		is.Equal(len(f.play(100*time.Millisecond)), 10*count)
	}
}
