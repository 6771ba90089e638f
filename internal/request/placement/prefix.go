package placement

import (
	"time"

	"vanillapond/pkg/ident"
)

// Tracking of cached prompt prefixes.
const (
	// maxPrefixes bounds the number of prefixes that are tracked.
	maxPrefixes = 4096
	// prefixTTL is how long after its last use a prefix is assumed to be cached.
	prefixTTL = 30 * time.Second
	// preferredCount is the number of preferred engines of each prefix; the second takes the overflow of the first.
	preferredCount = 2
)

// preferredTrust is the fraction of a prefix's tokens that a preferred engine is assumed to have cached although this router
// instance has not sent them there; the index is server.preference.
var preferredTrust = [preferredCount]float64{0.8, 0.3}

// prefixCache holds, by prefix hash, the servers that have prefilled the prefix, with the time of the last use.
type prefixCache map[uint64]map[*server]time.Time

// record records that an engine prefills a prompt with these parts.
func (p prefixCache) record(now time.Time, parts []Part, engine *server) {
	if len(p) > maxPrefixes {
		p.evict(now)
	}
	for _, part := range parts {
		if p[part.PrefixHash] == nil {
			p[part.PrefixHash] = make(map[*server]time.Time)
		}
		p[part.PrefixHash][engine] = now
	}
}

// evict removes the prefixes whose last use is older than prefixTTL, and further ones while there are more than
// maxPrefixes.
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

// removeServer removes a server that no longer belongs to the service.
func (p prefixCache) removeServer(removed *server) {
	for _, holders := range p {
		delete(holders, removed)
	}
}

// markCached sets, for each server, how many leading parts of the prompt and how many of their tokens it has cached.
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

// expectedCached estimates how many of the shared tokens an engine has cached: those that this instance sent there, or,
// at a preferred engine, those that its peers have probably sent.
func (s *server) expectedCached(shared ident.Tokens) ident.Tokens {
	if s.preference >= preferredCount {
		return s.cachedTokens
	}
	return max(s.cachedTokens, ident.Tokens(preferredTrust[s.preference]*float64(shared)))
}

// markPreferred determines the preferred engines of the request's longest shared prefix by rendezvous hashing, so that
// all router instances agree without communication. Engines reserved for latency-sensitive streams are never preferred.
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

// mix is a 64-bit finalizer that spreads differences of its input over all bits.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
