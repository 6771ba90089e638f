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
func (r *PrefillTokens) upTo(level PriorityLevel) ident.Tokens {
	var sum ident.Tokens
	for _, tokens := range r[:level+1] {
		sum += tokens
	}
	return sum
}

// Total returns what is to be read at all levels.
func (r *PrefillTokens) Total() ident.Tokens { return r.upTo(PriorityLevels - 1) }

// drain takes off tokens that have been read meanwhile, the most urgent first.
func (r *PrefillTokens) drain(tokens ident.Tokens) {
	for level := range r {
		done := min(max(tokens, 0), max(r[level], 0))
		r[level] -= done
		tokens -= done
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

func (w *Load) add(other Load) {
	w.Active += other.Active
	w.KVTokens += other.KVTokens
	w.LatencySensitive += other.LatencySensitive
	for level, tokens := range other.Prefill {
		w.Prefill[level] += tokens
	}
}

func (w *Load) subtract(other Load) {
	w.Active -= other.Active
	w.KVTokens -= other.KVTokens
	w.LatencySensitive -= other.LatencySensitive
	for level, tokens := range other.Prefill {
		w.Prefill[level] -= tokens
	}
}

// peer is what another entry has told of its own work.
type peer struct {
	at   time.Time
	work map[ident.Endpoint]Load
}

// peerTrust is how long a peer's figures count: about the time in which most of its requests have ended.
const peerTrust = 3 * time.Second

// UpdatePeer takes over what a peer says of its own work; servers that it leaves out have none.
func (b *Balancer) UpdatePeer(now time.Time, from ident.Process, work map[ident.Endpoint]Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget(from)
	b.peers[from] = peer{at: now, work: work}
	for id, each := range work {
		b.server(id).remote.add(each)
	}
}

// forget takes back what a peer has told; the caller holds mu.
func (b *Balancer) forget(from ident.Process) {
	for id, each := range b.peers[from].work {
		if known := b.servers[id]; known != nil {
			known.remote.subtract(each)
		}
	}
	delete(b.peers, from)
}

// expire forgets peers that have fallen silent; the caller holds mu.
func (b *Balancer) expire(now time.Time) {
	for process, known := range b.peers {
		if now.Sub(known.at) > peerTrust {
			b.forget(process)
		}
	}
}

// readSince returns how much of what peers told of an engine has read since they told it, on the mean; the caller holds mu.
func (b *Balancer) readSince(now time.Time) ident.Tokens {
	if len(b.peers) == 0 {
		return 0
	}
	age := time.Duration(0)
	for _, known := range b.peers {
		age += now.Sub(known.at)
	}
	return b.speed.tokens(age / time.Duration(len(b.peers)))
}

// LocalLoad returns the entry's own work by server, without idle ones.
func (b *Balancer) LocalLoad() map[ident.Endpoint]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := make(map[ident.Endpoint]Load)
	for id, server := range b.servers {
		if server.own != (Load{}) {
			own[id] = server.own
		}
	}
	return own
}
