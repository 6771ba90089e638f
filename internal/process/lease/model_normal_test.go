//go:build !race

package lease

import (
	"vanillapond/internal/process/table"
	"vanillapond/pkg/ident"
)

// normalize maps states that differ only in ways without further effect to the same state.
func (s *state) normalize(count int) {
	shift := func(fence ident.Fence) ident.Fence {
		if fence == 0 || s.rows.Holder.Fence == 0 {
			return fence
		}
		return max(fence-s.rows.Holder.Fence+fenceNow, fenceOldest)
	}
	s.accepted = shift(s.accepted)
	for index := range count {
		actor := &s.actors[index]
		actor.order = shift(actor.order)
		s.normalizeRows(&actor.response, shift)
		if actor.response.Holder.Incarnation != actor.machine.Params.Incarnation {
			actor.response.Holder.Incarnation = ""
			actor.response.Heartbeat = Heartbeat{}
		}
		s.normalizeRows(&actor.machine.rows, shift)
		actor.machine.rows.Heartbeat = Heartbeat{}
		actor.machine.rows.Holder.Incarnation = ""
		for slot := range actor.writes {
			s.normalizeWrite(&actor.writes[slot], shift)
		}
		actor.normalizeAttempt(&s.rows.Heartbeat)
		actor.machine.normalize()
	}
	if s.rows.HolderRevision != 0 {
		s.rows.Holder.Fence = fenceNow
		s.rows.HolderRevision, s.rows.HeartbeatRevision = holderNow, heartbeatNow
	}
}

// normalizeRows replaces the fence and the revisions of rows that were read.
func (s *state) normalizeRows(rows *Rows, shift func(ident.Fence) ident.Fence) {
	rows.Holder.Fence = shift(rows.Holder.Fence)
	rows.HolderRevision = normalizedRevision(rows.HolderRevision, s.rows.HolderRevision, holderNow)
	rows.HeartbeatRevision = normalizedRevision(rows.HeartbeatRevision, s.rows.HeartbeatRevision, heartbeatNow)
}

func normalizedRevision(revision, current, normalized table.Revision) table.Revision {
	switch {
	case revision != current:
		return stale
	case current == 0:
		return 0
	default:
		return normalized
	}
}

// normalizeWrite replaces the fence and the revisions of a write, and drops a write whose checks can no longer succeed.
func (s *state) normalizeWrite(sent *write, shift func(ident.Fence) ident.Fence) {
	if !sent.inFlight {
		return
	}
	s.normalizeRows(&sent.Observed, shift)
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

// normalizeAttempt ends a pending attempt that no read or response can confirm any more, and drops the rounds of all others.
func (a *actor) normalizeAttempt(stored *Heartbeat) {
	incarnation := a.machine.Params.Incarnation
	confirmable := a.phase == renewalApplied
	heartbeats := []*Heartbeat{stored, &a.response.Heartbeat}
	for slot := range a.writes {
		heartbeats = append(heartbeats, &a.writes[slot].Heartbeat)
	}
	for _, heartbeat := range heartbeats {
		switch {
		case heartbeat.Incarnation != incarnation:
		case heartbeat.Round == a.machine.round && a.machine.pending:
			confirmable = true
			heartbeat.Round = 1
		default:
			*heartbeat = Heartbeat{}
		}
	}
	a.machine.round = 1
	a.machine.pending = a.machine.pending && confirmable
	if a.machine.released {
		a.machine = StateMachine{Params: a.machine.Params, released: true, round: 1}
	}
}

// normalize bounds the age of clock readings to the age from which on a greater age makes no difference.
func (m *StateMachine) normalize() {
	if !m.owned || m.validUntil <= modelNow {
		m.validUntil = 0
	}
	if !m.pending {
		m.sentAt = 0
	}
	m.sentAt = max(m.sentAt, modelNow.Add(-modelTerm))
	m.unchangedSince = max(m.unchangedSince, modelNow.Add(-modelTerm-modelDrift))
	if m.owned {
		m.unchangedSince = modelNow
		m.rows.HeartbeatRevision = heartbeatNow
	}
	if m.rows.HolderRevision == stale && !m.owned {
		m.rows = Rows{HolderRevision: stale, HeartbeatRevision: stale}
		m.unchangedSince = modelNow
	}
}
