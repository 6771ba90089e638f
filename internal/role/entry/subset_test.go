package entry

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"vanillapond/pkg/configuration"
	"vanillapond/pkg/ident"
)

// TestLinkedSubsetsAtTargetSize holds the links of each entry, and that every endpoint is reached from several entries.
func TestLinkedSubsetsAtTargetSize(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const entries, servers, pools, domains = 82, 380, 14, 4
	endpointsByPool := make([][]configuration.Endpoint, pools)
	for index := range servers {
		endpointsByPool[index%pools] = append(endpointsByPool[index%pools], configuration.Endpoint{
			ID:     ident.Endpoint(fmt.Sprintf("endpoint-%d", index)),
			Domain: ident.FailureDomain(fmt.Sprintf("domain-%d", index/pools%domains)),
		})
	}
	links := linksPerPool(pools)
	is.True(links*pools <= maxLinks)
	entriesByEndpoint := make(map[ident.Endpoint]int)
	for index := range entries {
		for _, pool := range endpointsByPool {
			for _, endpoint := range rankEndpoints(ident.Process(fmt.Sprintf("entry-%d", index)), pool)[:links] {
				entriesByEndpoint[endpoint.ID]++
			}
		}
	}
	is.Equal(len(entriesByEndpoint), servers)
	fewest, most := entries, 0
	for _, count := range entriesByEndpoint {
		fewest, most = min(fewest, count), max(most, count)
	}
	t.Logf("%d links an entry, %d to %d entries an endpoint", links*pools, fewest, most)
	is.True(fewest >= entries/8)
}
