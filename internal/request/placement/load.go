package placement

import (
	"time"

	"vanillapond/pkg/ident"
)

// PriorityLevels is the number of priorities that an engine distinguishes.
const PriorityLevels = 10

// PriorityLevel is a request's scheduling priority at an engine, from 0, the highest, to PriorityLevels-1.
type PriorityLevel int

// PrefillTokens is the prefill backlog of an engine: the prompt tokens that it still has to prefill, by priority.
type PrefillTokens [PriorityLevels]ident.Tokens

// upTo returns the tokens that are prefilled before those of a new request with this priority: all of the same or a higher
// priority.
func (p *PrefillTokens) upTo(priority PriorityLevel) ident.Tokens {
	var sum ident.Tokens
	for _, tokens := range p[:priority+1] {
		sum += tokens
	}
	return sum
}

// Total returns the tokens of all priorities. It is written without a loop, since each decision calls it several times per server.
func (p *PrefillTokens) Total() ident.Tokens {
	return p[0] + p[1] + p[2] + p[3] + p[4] + p[5] + p[6] + p[7] + p[8] + p[9]
}

// drain subtracts tokens that have been prefilled since, the highest priority first.
func (p *PrefillTokens) drain(tokens ident.Tokens) {
	for priority := range p {
		if tokens <= 0 {
			return
		}
		drained := min(tokens, max(p[priority], 0))
		p[priority] -= drained
		tokens -= drained
	}
}

// Load is the load of the requests in flight at a server.
type Load struct {
	// Active counts the requests that were sent and have not ended.
	Active int `cbor:"1,keyasint,omitempty"`
	// Prefill is the backlog of the requests without a first event.
	Prefill PrefillTokens `cbor:"2,keyasint"`
	// KVTokens is the number of KV cache tokens that the requests will occupy at their end.
	KVTokens ident.Tokens `cbor:"3,keyasint,omitempty"`
	// LatencySensitive counts the streams that a long prefill on the same engine would make late.
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

// peerReport is the last report of another router instance on the load that it has sent.
type peerReport struct {
	reportedAt time.Time
	loads      map[ident.Endpoint]Load
}

// peerTTL is how long a peer's report is used: about the time in which most of its requests have ended.
const peerTTL = 3 * time.Second

// UpdatePeer replaces a peer's report of the load that it has sent; servers missing in loads have none from it.
func (b *Balancer) UpdatePeer(now time.Time, from ident.Process, loads map[ident.Endpoint]Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	previous := b.peers[from].reportedAt
	b.removePeer(from)
	b.peers[from] = peerReport{reportedAt: now, loads: loads}
	at := b.estimates.sinceBase(now)
	for id, load := range loads {
		known := b.server(id)
		known.remote.add(load)
		known.evidence.addBacklog(load.Prefill.Total(), at)
	}
	if b.settings.LoadAware {
		b.estimates.hear(now, from, previous)
	}
}

// removePeer removes a peer's report and its load; the caller holds mu.
func (b *Balancer) removePeer(from ident.Process) {
	report := b.peers[from]
	for id, load := range report.loads {
		if known := b.servers[id]; known != nil {
			known.remote.subtract(load)
			known.evidence.addBacklog(-load.Prefill.Total(), b.estimates.sinceBase(report.reportedAt))
		}
	}
	delete(b.peers, from)
}

// expirePeers removes the reports that are older than peerTTL; the caller holds mu.
func (b *Balancer) expirePeers(now time.Time) {
	for process, report := range b.peers {
		if now.Sub(report.reportedAt) > peerTTL {
			b.removePeer(process)
		}
	}
}

// meanReportAge returns the mean age of the peers' reports, by which the tokens are estimated that an engine has prefilled since; 0 at
// load-aware services, which drain each report by its own age. The caller holds mu.
func (b *Balancer) meanReportAge(now time.Time) time.Duration {
	if len(b.peers) == 0 || b.settings.LoadAware {
		return 0
	}
	age := time.Duration(0)
	for _, report := range b.peers {
		age += now.Sub(report.reportedAt)
	}
	return age / time.Duration(len(b.peers))
}

// LocalLoad returns the load that this router instance has sent, by server; servers without any are left out.
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
