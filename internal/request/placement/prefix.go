package placement

import (
	"time"

	"vanillapond/pkg/ident"
)

// Memory of prompt parts.
const (
	// maxParts bounds what is remembered of a server.
	maxParts = 4096
	// partTrust is how long after its last use a part is believed to be cached.
	partTrust = 30 * time.Second
	// homes is how many engines are home to a chain of parts: the second takes what the first cannot.
	homes = 2
)

// homeTrust is the part of the shared tokens that a home is believed to hold before it was seen to, by its place.
var homeTrust = [homes]float64{0.8, 0.3}

// prefixes holds for each chain of parts the servers that read it, with the last use.
type prefixes map[uint64]map[*server]time.Time

// use notes that a server reads a prompt with these parts.
func (p prefixes) use(now time.Time, parts []Part, by *server) {
	if len(p) > maxParts {
		p.trim(now)
	}
	for _, part := range parts {
		if p[part.PrefixHash] == nil {
			p[part.PrefixHash] = make(map[*server]time.Time)
		}
		p[part.PrefixHash][by] = now
	}
}

// trim forgets chains that were not used lately, and others where too many are left.
func (p prefixes) trim(now time.Time) {
	for chain, holders := range p {
		for holder, at := range holders {
			if now.Sub(at) > partTrust {
				delete(holders, holder)
			}
		}
		if len(holders) == 0 || len(p) > maxParts {
			delete(p, chain)
		}
	}
}

// forget drops a server that has gone.
func (p prefixes) forget(gone *server) {
	for _, holders := range p {
		delete(holders, gone)
	}
}

// mark sets how many tokens of a prompt each server need not read again.
func (p prefixes) mark(now time.Time, parts []Part) {
	for index, part := range parts {
		for holder, at := range p[part.PrefixHash] {
			if holder.parts == index && now.Sub(at) <= partTrust {
				holder.parts++
				holder.held += part.Tokens
			}
		}
	}
}

// believed returns how many of the shared tokens an engine likely keeps: what was sent there, or what peers likely sent
// to the engine that all agree on.
func (s *server) believed(shared ident.Tokens) ident.Tokens {
	if s.home >= homes {
		return s.held
	}
	return max(s.held, ident.Tokens(homeTrust[s.home]*float64(shared)))
}

// rankHomes finds the homes of the request's longest chain by rendezvous hashing, so that all entries agree without
// telling each other; engines that are kept for paced streams are nobody's home.
func rankHomes(parts []Part, options []*server) {
	if len(parts) == 0 {
		return
	}
	chain := parts[len(parts)-1].PrefixHash
	var first, second *server
	var most, next uint64
	for _, each := range options {
		if each.quiet {
			continue
		}
		switch weight := mix(chain ^ each.digest); {
		case first == nil || weight > most:
			second, next = first, most
			first, most = each, weight
		case second == nil || weight > next:
			second, next = each, weight
		}
	}
	if first != nil {
		first.home = 0
	}
	if second != nil {
		second.home = 1
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
