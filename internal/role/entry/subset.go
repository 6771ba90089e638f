package entry

import (
	"vanillapond/internal/request/choice"
	"vanillapond/pkg/configuration"
	"vanillapond/pkg/ident"
)

// Limits on the number of links from an entry to sidecars.
const (
	// maxLinks is the number of links that an entry divides among all pools. A link costs network traffic and CPU time even while
	// it is idle.
	maxLinks = 144
	// minLinksPerPool and maxLinksPerPool bound the number of links to one pool; the minimum takes precedence over maxLinks.
	minLinksPerPool = 8
	maxLinksPerPool = 32
)

// linksPerPool returns how many links an entry keeps to each pool, given the number of pools.
func linksPerPool(pools int) int {
	return min(max(maxLinks/max(pools, 1), minLinksPerPool), maxLinksPerPool)
}

// rankEndpoints returns a pool's endpoints in the order in which an entry prefers to link to them.
func rankEndpoints(entry ident.Process, endpoints []configuration.Endpoint) []configuration.Endpoint {
	members := make([]choice.Member, 0, len(endpoints))
	byID := make(map[ident.Endpoint]configuration.Endpoint, len(endpoints))
	for _, endpoint := range endpoints {
		byID[endpoint.ID] = endpoint
		members = append(members, choice.Member{ID: endpoint.ID, Domain: endpoint.Domain})
	}
	ranked := make([]configuration.Endpoint, 0, len(endpoints))
	for _, member := range choice.Rank(entry, members) {
		ranked = append(ranked, byID[member.ID])
	}
	return ranked
}
