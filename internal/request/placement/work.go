package placement

import (
	"time"

	"vanillapond/pkg/ident"
)

// Work is what requests in flight ask of a server.
type Work struct {
	// Active counts the requests that were sent and have not ended.
	Active int `cbor:"1,keyasint,omitempty"`
	// Prefill is the prompt tokens to be read before the requests without a first event can start.
	Prefill ident.Tokens `cbor:"2,keyasint,omitempty"`
	// Memory is the tokens that the requests will hold at their end.
	Memory ident.Tokens `cbor:"3,keyasint,omitempty"`
	// Paced counts the streams that a long prompt beside them would make late.
	Paced int `cbor:"4,keyasint,omitempty"`
}

func (w *Work) add(other Work) {
	w.Active += other.Active
	w.Prefill += other.Prefill
	w.Memory += other.Memory
	w.Paced += other.Paced
}

func (w *Work) subtract(other Work) {
	w.Active -= other.Active
	w.Prefill -= other.Prefill
	w.Memory -= other.Memory
	w.Paced -= other.Paced
}

// peer is what another entry has told of its own work.
type peer struct {
	at   time.Time
	work map[ident.Endpoint]Work
}

// peerTrust is how long a peer's figures count: about the time in which most of its requests have ended.
const peerTrust = 3 * time.Second

// Hear takes over what a peer says of its own work; servers that it leaves out have none.
func (b *Board) Hear(now time.Time, from ident.Process, work map[ident.Endpoint]Work) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget(from)
	b.peers[from] = peer{at: now, work: work}
	for id, each := range work {
		b.server(id).remote.add(each)
	}
}

// forget takes back what a peer has told; the caller holds mu.
func (b *Board) forget(from ident.Process) {
	for id, each := range b.peers[from].work {
		if known := b.servers[id]; known != nil {
			known.remote.subtract(each)
		}
	}
	delete(b.peers, from)
}

// expire forgets peers that have fallen silent; the caller holds mu.
func (b *Board) expire(now time.Time) {
	for process, known := range b.peers {
		if now.Sub(known.at) > peerTrust {
			b.forget(process)
		}
	}
}

// Own returns the entry's own work by server, without idle ones.
func (b *Board) Own() map[ident.Endpoint]Work {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := make(map[ident.Endpoint]Work)
	for id, server := range b.servers {
		if server.own != (Work{}) {
			own[id] = server.own
		}
	}
	return own
}
