package placement

import (
	"time"

	"vanillapond/pkg/ident"
)

// PriorityLevels is how many urgencies an engine tells apart.
const PriorityLevels = 10

// PriorityLevel is a request's urgency at an engine: 0 is first, and below Levels.
type PriorityLevel int

// PrefillTokens is what engines have to read of prompts before requests can start, by level.
type PrefillTokens [PriorityLevels]ident.Tokens

// upTo returns what is read before a request of the level that comes now.
func (p *PrefillTokens) upTo(priority PriorityLevel) ident.Tokens {
	var sum ident.Tokens
	for _, tokens := range p[:priority+1] {
		sum += tokens
	}
	return sum
}

// Total returns what is to be read at all levels.
func (p *PrefillTokens) Total() ident.Tokens { return p.upTo(PriorityLevels - 1) }

// drain takes off tokens that have been read meanwhile, the most urgent first.
func (p *PrefillTokens) drain(tokens ident.Tokens) {
	for priority := range p {
		drained := min(max(tokens, 0), max(p[priority], 0))
		p[priority] -= drained
		tokens -= drained
	}
}

// Load is what requests in flight ask of a server.
type Load struct {
	// Active counts the requests that were sent and have not ended.
	Active int `cbor:"1,keyasint,omitempty"`
	// Prefill is what is to be read for the requests without a first event.
	Prefill PrefillTokens `cbor:"2,keyasint"`
	// KVTokens is the tokens that the requests will hold at their end.
	KVTokens ident.Tokens `cbor:"3,keyasint,omitempty"`
	// LatencySensitive counts the streams that a long prompt beside them would make late.
	LatencySensitive int `cbor:"4,keyasint,omitempty"`
}

func (l *Load) add(other Load) {
	l.Active += other.Active
	l.KVTokens += other.KVTokens
	l.LatencySensitive += other.LatencySensitive
	for priority, tokens := range other.Prefill {
		l.Prefill[priority] += tokens
	}
}

func (l *Load) subtract(other Load) {
	l.Active -= other.Active
	l.KVTokens -= other.KVTokens
	l.LatencySensitive -= other.LatencySensitive
	for priority, tokens := range other.Prefill {
		l.Prefill[priority] -= tokens
	}
}

// peer is what another entry has told of its own work.
type peer struct {
	reportedAt time.Time
	loads      map[ident.Endpoint]Load
}

// peerTTL is how long a peer's figures count: about the time in which most of its requests have ended.
const peerTTL = 3 * time.Second

// UpdatePeer takes over what a peer says of its own work; servers that it leaves out have none.
func (b *Balancer) UpdatePeer(now time.Time, from ident.Process, loads map[ident.Endpoint]Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forgetPeer(from)
	b.peers[from] = peer{reportedAt: now, loads: loads}
	for id, load := range loads {
		b.server(id).remote.add(load)
	}
}

// forgetPeer takes back what a peer has told; the caller holds mu.
func (b *Balancer) forgetPeer(from ident.Process) {
	for id, load := range b.peers[from].loads {
		if known := b.servers[id]; known != nil {
			known.remote.subtract(load)
		}
	}
	delete(b.peers, from)
}

// expirePeers forgets peers that have fallen silent; the caller holds mu.
func (b *Balancer) expirePeers(now time.Time) {
	for process, report := range b.peers {
		if now.Sub(report.reportedAt) > peerTTL {
			b.forgetPeer(process)
		}
	}
}

// prefilledSince returns how much of what peers told of an engine has read since they told it, on the mean; the caller holds mu.
func (b *Balancer) prefilledSince(now time.Time) ident.Tokens {
	if len(b.peers) == 0 {
		return 0
	}
	age := time.Duration(0)
	for _, report := range b.peers {
		age += now.Sub(report.reportedAt)
	}
	return b.speed.tokensIn(age / time.Duration(len(b.peers)))
}

// LocalLoad returns the entry's own work by server, without idle ones.
func (b *Balancer) LocalLoad() map[ident.Endpoint]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	loads := make(map[ident.Endpoint]Load)
	for id, server := range b.servers {
		if server.local != (Load{}) {
			loads[id] = server.local
		}
	}
	return loads
}
