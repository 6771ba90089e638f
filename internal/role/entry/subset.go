package entry

import (
	"vanillapond/internal/request/choice"
	"vanillapond/pkg/configuration"
	"vanillapond/pkg/ident"
)

// Bounds of an entry's links.
const (
	// maxLinks is how many links an entry keeps over all pools; each costs bytes and processor time while it is quiet.
	maxLinks = 144
	// minLinksPerPool and mostLinks bound the links to one pool.
	minLinksPerPool = 8
	maxLinksPerPool = 32
)

// linksPerPool returns how many links an entry keeps to each of some pools.
func linksPerPool(pools int) int {
	return min(max(maxLinks/max(pools, 1), minLinksPerPool), maxLinksPerPool)
}

// rankEndpoints returns a pool's endpoints in the order in which an entry links them.
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
