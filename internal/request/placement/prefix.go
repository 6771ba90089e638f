package placement

import (
	"time"

	"vanillapond/pkg/ident"
)

// Memory of prompt parts.
const (
	// maxPrefixes bounds what is remembered of a server.
	maxPrefixes = 4096
	// prefixTTL is how long after its last use a part is believed to be cached.
	prefixTTL = 30 * time.Second
	// preferredCount is how many engines are home to a chain of parts: the second takes what the first cannot.
	preferredCount = 2
)

// preferredTrust is the part of the shared tokens that a home is believed to hold before it was seen to, by its place.
var preferredTrust = [preferredCount]float64{0.8, 0.3}

// prefixCache holds for each chain of parts the servers that read it, with the last use.
type prefixCache map[uint64]map[*server]time.Time

// record notes that a server reads a prompt with these parts.
func (p prefixCache) record(now time.Time, parts []Part, reader *server) {
	if len(p) > maxPrefixes {
		p.evict(now)
	}
	for _, part := range parts {
		if p[part.PrefixHash] == nil {
			p[part.PrefixHash] = make(map[*server]time.Time)
		}
		p[part.PrefixHash][reader] = now
	}
}

// evict forgets chains that were not used lately, and others where too many are left.
func (p prefixCache) evict(now time.Time) {
	for prefix, holders := range p {
		for holder, usedAt := range holders {
			if now.Sub(usedAt) > prefixTTL {
				delete(holders, holder)
			}
		}
		if len(holders) == 0 || len(p) > maxPrefixes {
			delete(p, prefix)
		}
	}
}

// removeServer drops a server that has gone.
func (p prefixCache) removeServer(gone *server) {
	for _, holders := range p {
		delete(holders, gone)
	}
}

// markCached sets how many tokens of a prompt each server need not read again.
func (p prefixCache) markCached(now time.Time, parts []Part) {
	for index, part := range parts {
		for holder, usedAt := range p[part.PrefixHash] {
			if holder.cachedParts == index && now.Sub(usedAt) <= prefixTTL {
				holder.cachedParts++
				holder.cachedTokens += part.Tokens
			}
		}
	}
}

// expectedCached returns how many of the shared tokens an engine likely keeps: what was sent there, or what peers likely sent
// to the engine that all agree on.
func (s *server) expectedCached(shared ident.Tokens) ident.Tokens {
	if s.preference >= preferredCount {
		return s.cachedTokens
	}
	return max(s.cachedTokens, ident.Tokens(preferredTrust[s.preference]*float64(shared)))
}

// markPreferred finds the homes of the request's longest chain by rendezvous hashing, so that all entries agree without
// telling each other; engines that are kept for paced streams are nobody's home.
func markPreferred(parts []Part, engines []*server) {
	if len(parts) == 0 {
		return
	}
	prefix := parts[len(parts)-1].PrefixHash
	var first, second *server
	var firstWeight, secondWeight uint64
	for _, engine := range engines {
		if engine.reserved {
			continue
		}
		switch weight := mix(prefix ^ engine.hash); {
		case first == nil || weight > firstWeight:
			second, secondWeight = first, firstWeight
			first, firstWeight = engine, weight
		case second == nil || weight > secondWeight:
			second, secondWeight = engine, weight
		}
	}
	if first != nil {
		first.preference = 0
	}
	if second != nil {
		second.preference = 1
	}
}

// mix spreads a number over all bits.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
