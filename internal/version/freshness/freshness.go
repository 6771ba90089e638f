// Package freshness decides whether a process may still rely on the configuration that it holds. If it may not, it
// accepts no callers' keys, because a key may have been withdrawn elsewhere.
//
// A process is fresh as of a time if it holds every patch that was accepted up to that time. Tracker collects the evidence for
// this.
package freshness

import (
	"cmp"
	"slices"
	"time"

	"vanillapond/internal/process/clock"
	"vanillapond/pkg/ident"
)

// Default values of Config.
const (
	// DefaultWindow is the freshness window: the maximum age of the evidence for keys to be accepted.
	DefaultWindow = 3 * time.Second
	// DefaultPeerQueryAge is the age of the table's evidence from which on peers are queried.
	DefaultPeerQueryAge = 1500 * time.Millisecond
	// DefaultMaxListLag is how long it takes at most until a new entry appears on the platform's list.
	DefaultMaxListLag = 10 * time.Second
)

// queryTTL is how long a peer counts as live after its last query if it is not on the platform's list.
const queryTTL = time.Minute

// Peer is another entry.
type Peer struct {
	// Address is the host:port at which the peer serves queries; it identifies the peer.
	Address string
	Name    string
	Domain  ident.FailureDomain
}

// Evidence is what a process reports about its own freshness, as ages at the time of the response; negative means never.
type Evidence struct {
	// Table is the age of the evidence that came from the table, directly or through peers.
	Table time.Duration
	// Domain is the age of the evidence that every entry of the process's own failure domain has reported what it holds.
	Domain time.Duration
}

// Never is the age of evidence that does not exist.
const Never time.Duration = -1

// Config configures a Tracker.
type Config struct {
	// Address is the address of the process itself.
	Address string
	Domain  ident.FailureDomain
	// Window is the freshness window: the maximum age of the evidence for keys to be accepted; 0 means DefaultWindow.
	Window time.Duration
	// PeerQueryAge is the age of the table's evidence from which on peers are queried; 0 means DefaultPeerQueryAge.
	PeerQueryAge time.Duration
	// MaxListLag is how long it takes at most until a new entry appears on the platform's list; 0 means
	// DefaultMaxListLag.
	MaxListLag time.Duration
}

// Tracker collects evidence and derives from it up to when the process is fresh. It is not safe for concurrent use.
//
// There are three kinds of evidence: the head row was read from the table; a peer whose evidence comes from the table has
// responded; or every entry that could have accepted a patch has reported since the time in question what it holds. The third
// kind keeps traffic flowing while no process can read the table. It fails if a listed entry can't be reached, because that
// entry may still be able to write to the table.
//
// A clock reading of 0 means never.
type Tracker struct {
	config Config
	// tableAsOf is the latest time as of which the process is fresh by the table, directly or through peers.
	tableAsOf clock.Reading
	// lastTableRead is the start of the last completed read of the head row, successful or not.
	lastTableRead clock.Reading
	// firstListed is when the peers were first set, from the platform's list or the settings.
	firstListed clock.Reading
	// peers holds the peers on the last list, without the process itself, sorted by address.
	peers []Peer
	// lastRemoval is when a peer last disappeared from the list.
	lastRemoval clock.Reading
	// unlisted reports whether the last list contained entries, but not this one.
	unlisted bool
	// queriedAt holds the time of the last query from each peer that is not on the list yet.
	queriedAt map[Peer]clock.Reading
	// respondedAt holds, by address, the start of the last query that the peer responded to.
	respondedAt map[string]clock.Reading
	// domainsAsOf holds, for each other failure domain, the time as of which all its entries have reported what they
	// hold, as reported by one of them.
	domainsAsOf map[ident.FailureDomain]clock.Reading
	// failures counts each peer's consecutive failed queries.
	failures map[string]int
}

// New returns a tracker without evidence.
func New(config Config) *Tracker {
	config.Window = cmp.Or(config.Window, DefaultWindow)
	config.PeerQueryAge = cmp.Or(config.PeerQueryAge, DefaultPeerQueryAge)
	config.MaxListLag = cmp.Or(config.MaxListLag, DefaultMaxListLag)
	return &Tracker{
		config:      config,
		queriedAt:   make(map[Peer]clock.Reading),
		respondedAt: make(map[string]clock.Reading),
		domainsAsOf: make(map[ident.FailureDomain]clock.Reading),
		failures:    make(map[string]int),
	}
}

// ObserveTable records that the head row was read by a call begun at sent, and that the version it names is held here.
func (t *Tracker) ObserveTable(sent clock.Reading) { t.tableAsOf = max(t.tableAsOf, sent) }

// ObserveTableRead records that a read of the head row begun at sent has ended, successful or not.
func (t *Tracker) ObserveTableRead(sent clock.Reading) { t.lastTableRead = max(t.lastTableRead, sent) }

// SetPeers replaces the peers by the entries on the list, live and draining ones; the process's own address is left out.
func (t *Tracker) SetPeers(now clock.Reading, peers []Peer) {
	if t.firstListed == 0 {
		t.firstListed = now
	}
	for _, old := range t.peers {
		if !slices.ContainsFunc(peers, func(peer Peer) bool { return peer.Address == old.Address }) {
			t.lastRemoval = now
		}
	}
	t.peers = slices.DeleteFunc(slices.Clone(peers), func(peer Peer) bool { return peer.Address == t.config.Address })
	t.unlisted = len(peers) > 0 && len(t.peers) == len(peers)
	slices.SortFunc(t.peers, byAddress)
	for peer := range t.queriedAt {
		if slices.ContainsFunc(t.peers, func(listed Peer) bool { return listed.Address == peer.Address }) {
			delete(t.queriedAt, peer)
		}
	}
}

// ObserveQuery records a query from a peer, which may not be on the list yet.
func (t *Tracker) ObserveQuery(now clock.Reading, peer Peer) {
	isPeer := func(listed Peer) bool { return listed.Address == peer.Address }
	if peer.Address != t.config.Address && !slices.ContainsFunc(t.peers, isPeer) {
		t.queriedAt[peer] = now
	}
}

func byAddress(a, b Peer) int { return cmp.Compare(a.Address, b.Address) }

// Peers returns the entries that may be live, sorted by address; the caller must not modify them.
func (t *Tracker) Peers(now clock.Reading) []Peer {
	if len(t.queriedAt) == 0 {
		return t.peers
	}
	peers := slices.Clone(t.peers)
	for peer, at := range t.queriedAt {
		if now.Sub(at) < queryTTL {
			peers = append(peers, peer)
		}
	}
	slices.SortFunc(peers, byAddress)
	return peers
}

// ObserveResponse records a peer's response to a query begun at sent. What the peer holds must be held here before the
// call.
func (t *Tracker) ObserveResponse(sent clock.Reading, peer Peer, evidence Evidence) {
	if t.failures[peer.Address] = 0; evidence.Domain < 0 {
		t.failures[peer.Address] = 1
	}
	t.respondedAt[peer.Address] = max(t.respondedAt[peer.Address], sent)
	if evidence.Table >= 0 {
		t.tableAsOf = max(t.tableAsOf, sent.Add(-evidence.Table))
	}
	if evidence.Domain >= 0 {
		t.domainsAsOf[peer.Domain] = max(t.domainsAsOf[peer.Domain], sent.Add(-evidence.Domain))
	}
}

// ObserveFailure records that a query to a peer failed.
func (t *Tracker) ObserveFailure(peer Peer) { t.failures[peer.Address]++ }

// Evidence returns the process's evidence for a response to a peer.
func (t *Tracker) Evidence(now clock.Reading) Evidence {
	evidence := Evidence{Table: Never, Domain: Never}
	if t.tableAsOf > 0 {
		evidence.Table = now.Sub(t.tableAsOf)
	}
	if asOf := t.ownDomainAsOf(now); asOf > 0 {
		evidence.Domain = now.Sub(asOf)
	}
	return evidence
}

// ownDomainAsOf returns the time as of which every entry of the process's own failure domain has reported what it holds.
//
// Without other entries in the domain, this is the start of the last attempt to read the table, so that a suspended
// process tries to read it before it accepts keys again. A process that has no evidence from the table yet waits for
// MaxListLag, because its list may be older than the start of another entry.
func (t *Tracker) ownDomainAsOf(now clock.Reading) clock.Reading {
	if t.firstListed == 0 || (t.tableAsOf == 0 && now.Sub(t.firstListed) < t.config.MaxListLag) {
		return 0
	}
	if t.recentlyRemoved(now) {
		return 0
	}
	if asOf, found := t.respondedByDomain(now)[t.config.Domain]; found {
		return asOf
	}
	return t.lastTableRead
}

// recentlyRemoved reports whether a peer ceased to count as live within the freshness window.
//
// A patch that such a peer accepted may have reached other peers after they reported what they hold. Their earlier reports
// are therefore not sufficient.
func (t *Tracker) recentlyRemoved(now clock.Reading) bool {
	if t.lastRemoval > 0 && now.Sub(t.lastRemoval) < t.config.Window {
		return true
	}
	for _, at := range t.queriedAt {
		if sinceQuery := now.Sub(at); sinceQuery >= queryTTL && sinceQuery < queryTTL+t.config.Window {
			return true
		}
	}
	return false
}

// respondedByDomain returns, for each failure domain, the time as of which every entry has reported to this process what
// it holds.
func (t *Tracker) respondedByDomain(now clock.Reading) map[ident.FailureDomain]clock.Reading {
	asOf := make(map[ident.FailureDomain]clock.Reading)
	for _, peer := range t.Peers(now) {
		earliest, found := asOf[peer.Domain]
		if at := t.respondedAt[peer.Address]; !found || at < earliest {
			asOf[peer.Domain] = at
		}
	}
	return asOf
}

// AsOf returns the latest time up to which every accepted patch is held, or 0 for never.
func (t *Tracker) AsOf(now clock.Reading) clock.Reading {
	asOf := t.ownDomainAsOf(now)
	if asOf <= t.tableAsOf {
		return t.tableAsOf
	}
	for domain, responded := range t.respondedByDomain(now) {
		if domain != t.config.Domain {
			asOf = min(asOf, max(t.domainsAsOf[domain], responded))
		}
	}
	return max(t.tableAsOf, asOf)
}

// Open reports whether keys may be accepted.
func (t *Tracker) Open(now clock.Reading) bool { return now < t.FreshUntil(now) }

// FreshUntil returns the time until which keys may be accepted without new evidence, or 0 if they may not be accepted.
func (t *Tracker) FreshUntil(now clock.Reading) clock.Reading {
	if latest := t.AsOf(now); latest > 0 {
		return latest.Add(t.config.Window)
	}
	return 0
}

// Unlisted reports whether this process is missing from the last list, so that other entries may not know it yet; it accepts no
// patches then.
func (t *Tracker) Unlisted() bool { return t.unlisted }

// TableIsRecent reports whether the evidence from the table is recent enough that peers need not be queried.
func (t *Tracker) TableIsRecent(now clock.Reading) bool {
	return t.tableAsOf > 0 && now.Sub(t.tableAsOf) < t.config.PeerQueryAge
}

// PeersToQuery returns the peers to query in this round: all of the own failure domain and one of each other domain.
//
// It returns none while the evidence from the table is recent.
func (t *Tracker) PeersToQuery(now clock.Reading) []Peer {
	if t.TableIsRecent(now) {
		return nil
	}
	var selected []Peer
	positions := make(map[ident.FailureDomain]int)
	for _, peer := range t.rotated(now) {
		if peer.Domain == t.config.Domain {
			selected = append(selected, peer)
			continue
		}
		position, found := positions[peer.Domain]
		switch {
		case !found:
			positions[peer.Domain] = len(selected)
			selected = append(selected, peer)
		case t.failures[peer.Address] < t.failures[selected[position].Address]:
			selected[position] = peer
		}
	}
	return selected
}

// rotated returns the peers, starting with the first one after the process's own address, so that different processes
// select different peers.
func (t *Tracker) rotated(now clock.Reading) []Peer {
	peers := t.Peers(now)
	start, _ := slices.BinarySearchFunc(peers, t.config.Address, func(peer Peer, address string) int { return cmp.Compare(peer.Address, address) })
	return append(slices.Clone(peers[start:]), peers[:start]...)
}

// SilentPeers returns the peers that have not reported within the window, directly or through their failure domain; for
// events.
func (t *Tracker) SilentPeers(now clock.Reading) []Peer {
	return slices.DeleteFunc(slices.Clone(t.Peers(now)), func(peer Peer) bool {
		latest := max(t.respondedAt[peer.Address], t.domainsAsOf[peer.Domain])
		return latest > 0 && now.Sub(latest) < t.config.Window
	})
}
