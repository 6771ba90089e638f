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
	members := make([][]configuration.Endpoint, pools)
	for index := range servers {
		members[index%pools] = append(members[index%pools], configuration.Endpoint{
			ID:     ident.Endpoint(fmt.Sprintf("endpoint-%d", index)),
			Domain: ident.FailureDomain(fmt.Sprintf("domain-%d", index/pools%domains)),
		})
	}
	links := linksPerPool(pools)
	is.True(links*pools <= linkBudget)
	reached := make(map[ident.Endpoint]int)
	for index := range entries {
		for _, pool := range members {
			for _, endpoint := range rank(ident.Process(fmt.Sprintf("entry-%d", index)), pool)[:links] {
				reached[endpoint.ID]++
			}
		}
	}
	is.Equal(len(reached), servers)
	least, most := entries, 0
	for _, count := range reached {
		least, most = min(least, count), max(most, count)
	}
	t.Logf("%d links an entry, %d to %d entries an endpoint", links*pools, least, most)
	is.True(least >= entries/8)
}
