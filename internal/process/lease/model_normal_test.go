//go:build !race

package lease

import (
	"vanillapond/internal/process/table"
	"vanillapond/pkg/ident"
)

// normalize gives one form to all states that differ only in what never matters again.
func (w *world) normalize(count int) {
	shift := func(fence ident.Fence) ident.Fence {
		if fence == 0 || w.rows.Holder.Fence == 0 {
			return fence
		}
		return max(fence-w.rows.Holder.Fence+fenceNow, fenceOldest)
	}
	w.accepted = shift(w.accepted)
	for index := range count {
		actor := &w.actors[index]
		actor.order = shift(actor.order)
		w.view(&actor.answer, shift)
		if actor.answer.Holder.Incarnation != actor.machine.Params.Incarnation {
			actor.answer.Holder.Incarnation = ""
			actor.answer.Heartbeat = Heartbeat{}
		}
		w.view(&actor.machine.rows, shift)
		actor.machine.rows.Heartbeat = Heartbeat{}
		actor.machine.rows.Holder.Incarnation = ""
		for slot := range actor.writes {
			w.clear(&actor.writes[slot], shift)
		}
		actor.settle(&w.rows.Heartbeat)
		actor.machine.normalize()
	}
	if w.rows.HolderRevision != 0 {
		w.rows.Holder.Fence = fenceNow
		w.rows.HolderRevision, w.rows.HeartbeatRevision = holderNow, heartbeatNow
	}
}

// view renames the revisions of rows that were read.
func (w *world) view(rows *Rows, shift func(ident.Fence) ident.Fence) {
	rows.Holder.Fence = shift(rows.Holder.Fence)
	rows.HolderRevision = renamed(rows.HolderRevision, w.rows.HolderRevision, holderNow)
	rows.HeartbeatRevision = renamed(rows.HeartbeatRevision, w.rows.HeartbeatRevision, heartbeatNow)
}

func renamed(revision, current, name table.Revision) table.Revision {
	switch {
	case revision != current:
		return stale
	case current == 0:
		return 0
	default:
		return name
	}
}

// clear forgets a write whose checks can never hold again.
func (w *world) clear(sent *write, shift func(ident.Fence) ident.Fence) {
	if !sent.pending {
		return
	}
	w.view(&sent.Observed, shift)
	if sent.Observed.HolderRevision == stale || sent.RequireUnrenewed && sent.Observed.HeartbeatRevision == stale {
		*sent = write{}
		return
	}
	sent.holder.Fence = shift(sent.holder.Fence)
	sent.Observed = Rows{HolderRevision: sent.Observed.HolderRevision, HeartbeatRevision: sent.Observed.HeartbeatRevision}
	if !sent.RequireUnrenewed {
		sent.Observed.HeartbeatRevision = 0
	}
}

// settle closes an attempt that no read or answer can prove any more, and forgets the rounds of all others.
func (a *actor) settle(kept *Heartbeat) {
	own := a.machine.Params.Incarnation
	provable := a.phase == renewalApplied
	heartbeats := []*Heartbeat{kept, &a.answer.Heartbeat}
	for slot := range a.writes {
		heartbeats = append(heartbeats, &a.writes[slot].Heartbeat)
	}
	for _, heartbeat := range heartbeats {
		switch {
		case heartbeat.Incarnation != own:
		case heartbeat.Round == a.machine.round && a.machine.open:
			provable = true
			heartbeat.Round = 1
		default:
			*heartbeat = Heartbeat{}
		}
	}
	a.machine.round = 1
	a.machine.open = a.machine.open && provable
	if a.machine.ended {
		a.machine = StateMachine{Params: a.machine.Params, ended: true, round: 1}
	}
}

// normalize saturates readings that are so old that more age changes nothing.
func (m *StateMachine) normalize() {
	if !m.mine || m.until <= modelNow {
		m.until = 0
	}
	if !m.open {
		m.sent = 0
	}
	m.sent = max(m.sent, modelNow.Add(-modelTerm))
	m.unchangedSince = max(m.unchangedSince, modelNow.Add(-modelTerm-modelDrift))
	if m.mine {
		m.unchangedSince = modelNow
		m.rows.HeartbeatRevision = heartbeatNow
	}
	if m.rows.HolderRevision == stale && !m.mine {
		m.rows = Rows{HolderRevision: stale, HeartbeatRevision: stale}
		m.unchangedSince = modelNow
	}
}
