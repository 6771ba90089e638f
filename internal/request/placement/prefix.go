package placement

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

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

// prefixes is what a server has read and likely still keeps.
type prefixes struct {
	// used holds the last use of each chain of parts.
	used map[uint64]time.Time
}

// use notes that a prompt with these parts is read.
func (p *prefixes) use(now time.Time, parts []Part) {
	if p.used == nil {
		p.used = make(map[uint64]time.Time)
	}
	if len(p.used) > maxParts {
		for chain, at := range p.used {
			if now.Sub(at) > partTrust || len(p.used) > maxParts {
				delete(p.used, chain)
			}
		}
	}
	for _, part := range parts {
		p.used[part.Chain] = now
	}
}

// held returns how many tokens of a prompt need not be read again.
func (p *prefixes) held(now time.Time, parts []Part) ident.Tokens {
	var held ident.Tokens
	for _, part := range parts {
		at, found := p.used[part.Chain]
		if !found || now.Sub(at) > partTrust {
			return held
		}
		held += part.Tokens
	}
	return held
}

// heldAt returns how many of the shared tokens an engine likely keeps: what was sent there, or what peers likely sent to
// the engine that all agree on.
func (b *Board) heldAt(now time.Time, query Query, each *option, shared ident.Tokens) ident.Tokens {
	held := each.server.cache.held(now, query.Parts)
	if each.home >= homes {
		return held
	}
	return max(held, ident.Tokens(homeTrust[each.home]*float64(shared)))
}

// rankHomes finds the homes of the request's longest chain by rendezvous hashing, so that all entries agree without
// telling each other; engines that are kept for paced streams are nobody's home unless all are.
func rankHomes(parts []Part, options []option) {
	for index := range options {
		options[index].home = homes
	}
	if len(parts) == 0 {
		return
	}
	chain := parts[len(parts)-1].Chain
	for place := range homes {
		var best *option
		var most uint64
		for index := range options {
			each := &options[index]
			if each.home < homes || each.quiet {
				continue
			}
			if weight := mix(chain, each.server.digest); best == nil || weight > most {
				best, most = each, weight
			}
		}
		if best == nil {
			return
		}
		best.home = place
	}
}

func mix(a, b uint64) uint64 {
	var both [16]byte
	binary.LittleEndian.PutUint64(both[:8], a)
	binary.LittleEndian.PutUint64(both[8:], b)
	return xxhash.Sum64(both[:])
}
