package lease

import (
	"time"

	"vanillapond/internal/process/clock"
	"vanillapond/pkg/ident"
)

// Params are the process that may hold a lease and the durations of the lease.
type Params struct {
	Process     ident.Process
	Incarnation ident.Incarnation
	// Term is how long an acquisition or a renewal is valid, counted from before it is sent.
	Term time.Duration
	// Drift bounds by how much two clocks diverge within a term.
	Drift time.Duration
}

// StateMachine is the state of one lease as one process knows it. It is a comparable value and does no input or output: the caller
// passes in the clock readings and the rows.
//
// Clock readings of different processes are never compared.
type StateMachine struct {
	Params Params
	// rows are the rows as last read, if hasRows is set.
	rows    Rows
	hasRows bool
	// unchangedSince is when the current revisions of the rows were first read.
	unchangedSince clock.Reading
	// owned says that the holder row names this incarnation and is not released. The term may have ended all the same.
	owned bool
	// validUntil is the end of the last term that was confirmed by a read or by the response to a renewal; meaningless unless owned.
	validUntil clock.Reading
	// round numbers the last attempt, which was sent at sentAt; pending says that its outcome is unknown.
	round   int64
	sentAt  clock.Reading
	pending bool
	// released is never cleared: this incarnation does not acquire the lease again after releasing it.
	released bool
}

// Attempt is a transaction that acquires, renews or releases a lease.
type Attempt struct {
	// Holder is nil for a renewal.
	Holder    *Holder
	Heartbeat Heartbeat
	// Observed are the rows as last read. The transaction fails if the revision of the holder row has changed since.
	Observed Rows
	// RequireUnrenewed makes the transaction fail also if the heartbeat row has changed.
	RequireUnrenewed bool
}

// Grant is the right to act as the holder of a lease until its term ends.
type Grant struct {
	Fence ident.Fence
	// Until is when the term ends, by the holder's clock.
	Until clock.Reading
}

// Observe takes both rows as read; now is when the response arrived.
func (m *StateMachine) Observe(now clock.Reading, rows Rows) {
	changed := rows.HolderRevision != m.rows.HolderRevision || rows.HeartbeatRevision != m.rows.HeartbeatRevision || rows.Era != m.rows.Era
	if !m.hasRows || changed {
		m.unchangedSince = now
	}
	m.rows = rows
	m.hasRows = true
	m.owned = rows.HolderRevision != 0 && rows.Holder.Incarnation == m.Params.Incarnation && !rows.Holder.Released && !m.released &&
		!rows.outdated()
	if !m.owned {
		m.validUntil = 0
		return
	}
	if m.pending && rows.Heartbeat.Incarnation == m.Params.Incarnation && rows.Heartbeat.Round == m.round {
		m.confirm()
	}
}

// confirm extends the term after the pending attempt was applied; the term starts before the attempt was sent.
func (m *StateMachine) confirm() {
	m.pending = false
	m.validUntil = max(m.validUntil, m.sentAt.Add(m.Params.Term))
}

// Vacant reports whether the lease may be acquired: it was released or never held, or its rows were observed unchanged for its term
// plus the drift. Rows that may lack a later acquisition, because the table may have been restored from a copy since, show neither
// that it was released nor that it was never held.
func (m *StateMachine) Vacant(now clock.Reading) bool {
	if !m.hasRows || m.owned || m.released {
		return false
	}
	if m.rows.HolderRevision == 0 && m.rows.Era == 0 || m.rows.Holder.Released && !m.rows.outdated() {
		return true
	}
	return now.Sub(m.unchangedSince) >= m.acquireDelay()
}

// acquireDelay returns how long the rows must be observed unchanged before the lease is acquired.
func (m *StateMachine) acquireDelay() time.Duration {
	return max(m.Params.Term, time.Duration(m.rows.Holder.TermMS)*time.Millisecond) + m.Params.Drift
}

// Acquire returns the attempt to acquire a vacant lease, to be sent at now.
//
// Whatever the outcome of the attempt, the rows must be read next.
func (m *StateMachine) Acquire(now clock.Reading) Attempt {
	holder := &Holder{
		Process: m.Params.Process, Incarnation: m.Params.Incarnation,
		Fence: max(m.rows.Holder.Fence, fenceFloor(m.rows.Era)) + 1, TermMS: milliseconds(m.Params.Term),
	}
	return Attempt{Holder: holder, Heartbeat: m.newHeartbeat(now), Observed: m.rows, RequireUnrenewed: true}
}

// Owned reports whether the holder row names this incarnation, so that the lease is to be renewed. The term may have ended.
func (m *StateMachine) Owned() bool { return m.owned }

// Renew returns the attempt to renew the lease that the process owns, to be sent at now.
func (m *StateMachine) Renew(now clock.Reading) Attempt {
	return Attempt{Heartbeat: m.newHeartbeat(now), Observed: m.rows}
}

func (m *StateMachine) newHeartbeat(now clock.Reading) Heartbeat {
	m.round++
	m.sentAt = now
	m.pending = true
	return Heartbeat{Incarnation: m.Params.Incarnation, Round: m.round}
}

// ConfirmRenewal extends the term after the response that the pending renewal was applied.
func (m *StateMachine) ConfirmRenewal() {
	if m.owned && m.pending {
		m.confirm()
	}
}

// MarkLost ends the grant after the response that another process holds the lease.
func (m *StateMachine) MarkLost() {
	m.owned = false
	m.validUntil = 0
	m.pending = false
}

// Release ends the grant and returns the attempt that marks the lease as released for other processes.
//
// No operation under the grant may still be in flight.
func (m *StateMachine) Release() (Attempt, bool) {
	m.released = true
	if !m.owned {
		return Attempt{}, false
	}
	m.MarkLost()
	holder := m.rows.Holder
	holder.Released = true
	return Attempt{Holder: &holder, Heartbeat: m.newHeartbeat(m.sentAt), Observed: m.rows}, true
}

// Grant returns the current grant, and false if the term has ended or ends within the guard time.
func (m *StateMachine) Grant(now clock.Reading, guard time.Duration) (Grant, bool) {
	grant := Grant{Fence: m.rows.Holder.Fence, Until: m.validUntil}
	return grant, m.owned && now.Add(guard) < m.validUntil
}
