package placement_test

import (
	"fmt"
	"testing"
	"time"

	"vanillapond/internal/request/placement"
	"vanillapond/pkg/ident"
)

var loadAware = placement.Settings{LoadAware: true, ShortestPause: 300 * time.Millisecond, TokensPerEvent: 7}

// BenchmarkPickLoadAware measures Pick, StartAttempt and End of a load-aware service with 300 servers, load reports of 20 peers and measurements.
func BenchmarkPickLoadAware(b *testing.B) {
	list := engines(300)
	balancer := withCandidates(placement.New(1), list)
	balancer.Configure(loadAware)
	for peer := range 20 {
		load := make(map[ident.Endpoint]placement.Load)
		report := placement.LoadReport{OrdinaryPerSecond: 20, SensitivePerSecond: 5}
		for index, each := range list {
			load[each.ID] = placement.Load{
				Active: peer % 5, Prefill: placement.PrefillTokens{0, 0, 500}, KVTokens: 4000, LatencySensitive: peer % 2,
			}
			if index < placement.MaxMeasurements {
				report.Measurements = append(report.Measurements, placement.Measurement{Server: each.ID, Active: 40, AgeMS: 20})
			}
		}
		balancer.UpdatePeer(start, ident.Process(fmt.Sprint("peer", peer)), load)
		balancer.Merge(start, ident.Process(fmt.Sprint("peer", peer)), report)
	}
	query := longPrompt
	query.Parts = []placement.Part{{PrefixHash: 7, Tokens: 2500}, {PrefixHash: 8, Tokens: 3800}}
	now := start.Add(50 * time.Millisecond)
	for b.Loop() {
		choice, _ := balancer.Pick(now, query)
		balancer.StartAttempt(now, query, choice).End(now, placement.Succeeded)
	}
}
