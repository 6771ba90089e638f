package placement_test

import (
	"testing"
	"time"

	"vanillapond/internal/request/placement"
)

// BenchmarkPickByHealth measures a decision with the reports of 30 peers; the states are evaluated every ten milliseconds.
func BenchmarkPickByHealth(b *testing.B) {
	balancers := sharingInstances(fleetSize+1, plainServers)
	for _, balancer := range balancers {
		for _, server := range engines(plainServers) {
			result(balancer, start, server.ID, read, placement.Succeeded)
		}
	}
	exchange(start, balancers)
	for _, c := range []struct {
		name string
		step time.Duration
	}{{"evaluated", 20 * time.Millisecond}, {"cached", 0}} {
		b.Run(c.name, func(b *testing.B) {
			now := start
			for range b.N {
				now = now.Add(c.step)
				if now.Sub(start) > 2*time.Second {
					now = start
				}
				balancers[0].Pick(now, read)
			}
		})
	}
}
