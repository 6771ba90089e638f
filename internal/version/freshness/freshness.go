// Package freshness decides whether a process may still trust the configuration that it holds.
//
// A process is fresh as of a moment if it holds every patch that was accepted up to that moment. It knows so from
// three kinds of evidence: the head row read from the table; a peer that is fresh by the table; or every entry that
// could have accepted a patch has told since that moment what it holds. The last one keeps traffic going while the
// table is out for all, and fails where a listed entry can't be reached: that one may be at the table.
package freshness

import (
	"cmp"
	"slices"
	"time"

	"vanillapond/internal/process/clock"
	"vanillapond/pkg/ident"
)

// Defaults of a machine.
const (
	// DefaultWindow is how old the evidence may be while keys are taken.
	DefaultWindow = 3 * time.Second
	// DefaultPeerQueryAge is how old the table's evidence may be before peers are asked.
	DefaultPeerQueryAge = 1500 * time.Millisecond
	// DefaultMaxListLag is how far the platform's list may lag behind a new entry.
	DefaultMaxListLag = 10 * time.Second
)

// heardFor is how long a peer that asked counts as live though the list does not show it.
const heardFor = time.Minute

// Peer is another entry.
type Peer struct {
	// Address is the host:port at which it answers; it identifies the peer.
	Address string
	Name    string
	Domain  ident.FailureDomain
}

// Evidence is what a process can say of its own freshness, as ages at the time of the answer; negative means never.
type Evidence struct {
	// Table is the age of what came from the table, directly or through peers.
	Table time.Duration
	// Domain is the age of what every entry of the process's own failure domain has told.
	Domain time.Duration
}

// Never is the age of evidence that there is none of.
const Never time.Duration = -1

// Config says for whom a machine decides.
type Config struct {
	// Address is the process's own.
	Address string
	Domain  ident.FailureDomain
	// Window is how old the evidence may be while keys are taken; 0 means DefaultWindow.
	Window time.Duration
	// PeerQueryAge is how old the table's evidence may be before peers are asked; 0 means DefaultQuiet.
	PeerQueryAge time.Duration
	// MaxListLag is how far the list may lag behind a new entry; 0 means DefaultLag.
	MaxListLag time.Duration
}

// Tracker is the state of the decision; it is not safe for concurrent use.
//
// A reading of 0 stands for never.
type Tracker struct {
	config Config
	// table is the latest moment known from the table, directly or through peers.
	table clock.Reading
	// tried is the start of the last read of the head that has ended, answered or not.
	tried clock.Reading
	// listed is when the peers were named first, by the platform's list or the settings.
	listed clock.Reading
	// list holds the peers as last listed, without the process itself, in order of address.
	list []Peer
	// shrunk is when the list last dropped a peer.
	shrunk clock.Reading
	// unlisted says that the last list named entries, but not this one.
	unlisted bool
	// heard holds when a peer last asked, for those that the list does not show yet.
	heard map[Peer]clock.Reading
	// answered holds the start of each peer's last answered question.
	answered map[string]clock.Reading
	// domains holds up to when each other failure domain is known to be heard whole, from one of its entries.
	domains map[ident.FailureDomain]clock.Reading
	// missed counts each peer's unanswered questions in a row.
	missed map[string]int
}

// New returns a machine without evidence.
func New(config Config) *Tracker {
	config.Window = cmp.Or(config.Window, DefaultWindow)
	config.PeerQueryAge = cmp.Or(config.PeerQueryAge, DefaultPeerQueryAge)
	config.MaxListLag = cmp.Or(config.MaxListLag, DefaultMaxListLag)
	return &Tracker{
		config:   config,
		heard:    make(map[Peer]clock.Reading),
		answered: make(map[string]clock.Reading),
		domains:  make(map[ident.FailureDomain]clock.Reading),
		missed:   make(map[string]int),
	}
}

// ObserveTable takes note that the head row was read by a call begun at sent, and that its version is held.
func (m *Tracker) ObserveTable(sent clock.Reading) { m.table = max(m.table, sent) }

// ObserveTableRead takes note that a read of the head begun at sent has ended, answered or not.
func (m *Tracker) ObserveTableRead(sent clock.Reading) { m.tried = max(m.tried, sent) }

// SetPeers takes the live and leaving entries over; the process's own address is left out.
func (m *Tracker) SetPeers(now clock.Reading, peers []Peer) {
	if m.listed == 0 {
		m.listed = now
	}
	for _, old := range m.list {
		if !slices.ContainsFunc(peers, func(peer Peer) bool { return peer.Address == old.Address }) {
			m.shrunk = now
		}
	}
	m.list = slices.DeleteFunc(slices.Clone(peers), func(peer Peer) bool { return peer.Address == m.config.Address })
	m.unlisted = len(peers) > 0 && len(m.list) == len(peers)
	slices.SortFunc(m.list, byAddress)
	for peer := range m.heard {
		if slices.ContainsFunc(m.list, func(listed Peer) bool { return listed.Address == peer.Address }) {
			delete(m.heard, peer)
		}
	}
}

// ObserveQuery takes note that a peer asked, which the list may not show yet.
func (m *Tracker) ObserveQuery(now clock.Reading, peer Peer) {
	known := func(listed Peer) bool { return listed.Address == peer.Address }
	if peer.Address != m.config.Address && !slices.ContainsFunc(m.list, known) {
		m.heard[peer] = now
	}
}

func byAddress(a, b Peer) int { return cmp.Compare(a.Address, b.Address) }

// Peers returns the entries that may be live, in order of address; the caller must not change them.
func (m *Tracker) Peers(now clock.Reading) []Peer {
	if len(m.heard) == 0 {
		return m.list
	}
	peers := slices.Clone(m.list)
	for peer, at := range m.heard {
		if now.Sub(at) < heardFor {
			peers = append(peers, peer)
		}
	}
	slices.SortFunc(peers, byAddress)
	return peers
}

// ObserveResponse takes a peer's answer to a question begun at sent; what the peer holds must be held here by now.
func (m *Tracker) ObserveResponse(sent clock.Reading, peer Peer, evidence Evidence) {
	if m.missed[peer.Address] = 0; evidence.Domain < 0 {
		m.missed[peer.Address] = 1
	}
	m.answered[peer.Address] = max(m.answered[peer.Address], sent)
	if evidence.Table >= 0 {
		m.table = max(m.table, sent.Add(-evidence.Table))
	}
	if evidence.Domain >= 0 {
		m.domains[peer.Domain] = max(m.domains[peer.Domain], sent.Add(-evidence.Domain))
	}
}

// ObserveFailure takes note that a peer gave no answer.
func (m *Tracker) ObserveFailure(peer Peer) { m.missed[peer.Address]++ }

// Evidence returns what the process can tell a peer now.
func (m *Tracker) Evidence(now clock.Reading) Evidence {
	evidence := Evidence{Table: Never, Domain: Never}
	if m.table > 0 {
		evidence.Table = now.Sub(m.table)
	}
	if own := m.own(now); own > 0 {
		evidence.Domain = now.Sub(own)
	}
	return evidence
}

// own returns up to when every entry of the own failure domain has told what it holds.
//
// Without others there, it counts from the last try to read the table, so that a frozen process tries before it goes on.
// A process that has nothing from the table yet may have read a list from before another one's start.
func (m *Tracker) own(now clock.Reading) clock.Reading {
	if m.listed == 0 || (m.table == 0 && now.Sub(m.listed) < m.config.MaxListLag) {
		return 0
	}
	if m.dropped(now) {
		return 0
	}
	if told, found := m.told(now)[m.config.Domain]; found {
		return told
	}
	return m.tried
}

// dropped reports whether a peer stopped to count within the window.
//
// What it accepted may have reached the others after they told what they hold: their word from before no longer counts.
func (m *Tracker) dropped(now clock.Reading) bool {
	if m.shrunk > 0 && now.Sub(m.shrunk) < m.config.Window {
		return true
	}
	for _, at := range m.heard {
		if silent := now.Sub(at); silent >= heardFor && silent < heardFor+m.config.Window {
			return true
		}
	}
	return false
}

// told returns up to when every entry of each failure domain has told this process what it holds.
func (m *Tracker) told(now clock.Reading) map[ident.FailureDomain]clock.Reading {
	told := make(map[ident.FailureDomain]clock.Reading)
	for _, peer := range m.Peers(now) {
		earliest, found := told[peer.Domain]
		if at := m.answered[peer.Address]; !found || at < earliest {
			told[peer.Domain] = at
		}
	}
	return told
}

// AsOf returns the latest moment up to which every accepted patch is held, or 0 for never.
func (m *Tracker) AsOf(now clock.Reading) clock.Reading {
	all := m.own(now)
	if all <= m.table {
		return m.table
	}
	for domain, told := range m.told(now) {
		if domain != m.config.Domain {
			all = min(all, max(m.domains[domain], told))
		}
	}
	return max(m.table, all)
}

// Open reports whether keys may be taken.
func (m *Tracker) Open(now clock.Reading) bool { return now < m.FreshUntil(now) }

// FreshUntil returns when keys are no longer taken without new evidence, or 0 for never taken.
func (m *Tracker) FreshUntil(now clock.Reading) clock.Reading {
	if asOf := m.AsOf(now); asOf > 0 {
		return asOf.Add(m.config.Window)
	}
	return 0
}

// Unlisted reports whether the others may not know of this process yet: it accepts no patch then.
func (m *Tracker) Unlisted() bool { return m.unlisted }

// TableIsRecent reports whether the table gives evidence, so that peers need not be asked.
func (m *Tracker) TableIsRecent(now clock.Reading) bool {
	return m.table > 0 && now.Sub(m.table) < m.config.PeerQueryAge
}

// PeersToQuery returns the peers to be asked in this round: all of the own failure domain and one of each other one.
//
// It returns none while the table gives evidence.
func (m *Tracker) PeersToQuery(now clock.Reading) []Peer {
	if m.TableIsRecent(now) {
		return nil
	}
	var ask []Peer
	chosen := make(map[ident.FailureDomain]int)
	for _, peer := range m.rotated(now) {
		if peer.Domain == m.config.Domain {
			ask = append(ask, peer)
			continue
		}
		place, found := chosen[peer.Domain]
		switch {
		case !found:
			chosen[peer.Domain] = len(ask)
			ask = append(ask, peer)
		case m.missed[peer.Address] < m.missed[ask[place].Address]:
			ask[place] = peer
		}
	}
	return ask
}

// rotated returns the peers from the first one after the own address on, so that processes choose unlike ones.
func (m *Tracker) rotated(now clock.Reading) []Peer {
	peers := m.Peers(now)
	start, _ := slices.BinarySearchFunc(peers, m.config.Address, func(peer Peer, own string) int { return cmp.Compare(peer.Address, own) })
	return append(slices.Clone(peers[start:]), peers[:start]...)
}

// SilentPeers returns the listed peers that have told nothing within the window, for the events.
func (m *Tracker) SilentPeers(now clock.Reading) []Peer {
	return slices.DeleteFunc(slices.Clone(m.Peers(now)), func(peer Peer) bool {
		heard := max(m.answered[peer.Address], m.domains[peer.Domain])
		return heard > 0 && now.Sub(heard) < m.config.Window
	})
}
