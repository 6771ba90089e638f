package router

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/origin"
	"vanillapond/internal/process/peers"
	"vanillapond/pkg/ident"
)

const (
	// maxHandoverTime bounds how long an instance waits after its first list of the others, before it is ready, for them to tell it of streams.
	maxHandoverTime = time.Second
	// maxPeersWait bounds how long it waits for that list.
	maxPeersWait = 3 * time.Second
	// newcomerTime is how long an instance that is in no list counts as live after it has asked: longer than others take to read its row.
	newcomerTime = time.Minute
)

// newcomer is an instance that has asked for streams.
type newcomer struct {
	peers.Peer
	askedAt clock.Reading
}

// join asks the other instances for the streams that this one is to know, until the context is done.
func (o *origins) join(ctx context.Context) {
	deadline, listed := clock.Boot().Add(maxPeersWait), false
	for {
		next := o.askForStreams()
		if !o.joined.Load() {
			next = o.updateJoined(listed, deadline.Sub(clock.Boot()), next)
		}
		var elapsed <-chan time.Time
		if next > 0 {
			elapsed = time.After(next)
		}
		select {
		case <-o.router.peers.Changed():
			if !listed {
				listed, deadline = true, clock.Boot().Add(maxHandoverTime)
			}
		case <-elapsed:
		case <-ctx.Done():
			return
		}
	}
}

// askForStreams sends the questions that are due, and returns the time until there are more, 0 if none will be.
func (o *origins) askForStreams() (next time.Duration) {
	others := o.others()
	byIncarnation := make(map[ident.Incarnation]peers.Peer, len(others))
	for _, peer := range others {
		byIncarnation[peer.Incarnation] = peer
	}
	o.handover.Observe(slices.Collect(maps.Keys(byIncarnation)))
	questions, next := o.handover.Due(clock.Boot())
	for _, question := range questions {
		o.router.gossip.sendTo(byIncarnation[question.To], o.router.originDatagram(originMessage{PageQuestion: &question}))
	}
	return next
}

// updateJoined sets joined once the hand-over is settled, or its time is up; listed means that the other instances are known. It returns the time until the next look,
// which is next or earlier; 0 if none is needed.
func (o *origins) updateJoined(listed bool, remaining, next time.Duration) time.Duration {
	settled := listed && o.handover.Settled()
	if !settled && remaining > 0 {
		if next == 0 {
			return remaining
		}
		return min(next, remaining)
	}
	o.joined.Store(true)
	o.router.journal.Log("streams_handed_over", "instances", len(o.others()), "complete", settled)
	return next
}

// receiveHandover answers the question of an instance that joins, and applies the answer to one of this instance's own.
func (o *origins) receiveHandover(from ident.Process, address netip.AddrPort, received originMessage, reply func(originMessage)) {
	if question := received.PageQuestion; question != nil && question.To == o.router.incarnation && from != o.router.settings.Process {
		o.meet(peers.Peer{Process: from, Incarnation: question.From, Address: address})
		all := append(slices.Collect(maps.Keys(o.others())), o.router.settings.Process)
		page := o.known.Page(question.Position, func(stream ident.Request) bool { return origin.IsKeeper(stream, from, all) })
		page.From = o.router.incarnation
		reply(originMessage{Page: &page})
	}
	if received.Page == nil {
		return
	}
	o.known.Merge(received.Page.Streams)
	if question, more := o.handover.Receive(clock.Boot(), received.Page); more {
		reply(originMessage{PageQuestion: &question})
	}
}

// meet has an instance told of streams from now on: its row may not be read for some seconds.
func (o *origins) meet(peer peers.Peer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.newcomers[peer.Process] = newcomer{Peer: peer, askedAt: clock.Boot()}
}

// others returns the other instances: those of the latest list, and newcomers that are in none.
func (o *origins) others() map[ident.Process]peers.Peer {
	listed := o.router.peers.Peers()
	others := make(map[ident.Process]peers.Peer, len(listed))
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, peer := range listed {
		if peer.Process == o.router.settings.Process {
			// The row of an earlier incarnation.
			continue
		}
		others[peer.Process] = peer
		if o.newcomers[peer.Process].Incarnation == peer.Incarnation {
			delete(o.newcomers, peer.Process)
		}
	}
	for process, known := range o.newcomers {
		if clock.Boot().Sub(known.askedAt) > newcomerTime {
			delete(o.newcomers, process)
			continue
		}
		others[process] = known.Peer
	}
	return others
}
