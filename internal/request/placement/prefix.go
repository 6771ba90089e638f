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
)

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
