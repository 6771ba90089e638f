package lease

import (
	"time"

	"vanillapond/internal/process/clock"
	"vanillapond/pkg/ident"
)

// Params are the times and names of one process's part in one lease.
type Params struct {
	Process     ident.Process
	Incarnation ident.Incarnation
	// Term is how long a renewal lasts, counted from before it is sent.
	Term time.Duration
	// Drift bounds how far two clocks go apart within a term.
	Drift time.Duration
}

// StateMachine is one process's view of one lease: a comparable value without clock or input and output.
//
// Clock readings of two processes are never compared.
type StateMachine struct {
	Params Params
	// rows were last read; seen says that there are any.
	rows Rows
	seen bool
	// unchangedSince is when the rows' revisions were first received.
	unchangedSince clock.Reading
	// mine says that the holder row names this incarnation and was not released.
	mine bool
	// until is the end of the last term that a read or an answer proved; meaningless unless mine.
	until clock.Reading
	// round numbers the last attempt, which was sent at sent; open says that its outcome is not known.
	round int64
	sent  clock.Reading
	open  bool
	// ended is never cleared: a released lease is not taken again.
	ended bool
}

// Attempt is a write to both or one of a lease's rows.
type Attempt struct {
	// Holder is nil for a renewal.
	Holder    *Holder
	Heartbeat Heartbeat
	// Observed holds the revisions as last read; that of the holder row must still stand.
	Observed Rows
	// RequireUnrenewed says that the heartbeat row must be unchanged as well.
	RequireUnrenewed bool
}

// Grant is the right to act, as long as it lasts.
type Grant struct {
	Fence ident.Fence
	// Until is when the term ends, on the holder's own clock.
	Until clock.Reading
}

// Observe takes both rows as read; now is when the answer came.
func (m *StateMachine) Observe(now clock.Reading, rows Rows) {
	changed := rows.HolderRevision != m.rows.HolderRevision || rows.HeartbeatRevision != m.rows.HeartbeatRevision
	if !m.seen || changed {
		m.unchangedSince = now
	}
	m.rows = rows
	m.seen = true
	m.mine = rows.HolderRevision != 0 && rows.Holder.Incarnation == m.Params.Incarnation && !rows.Holder.Released && !m.ended
	if !m.mine {
		m.until = 0
		return
	}
	if m.open && rows.Heartbeat.Incarnation == m.Params.Incarnation && rows.Heartbeat.Round == m.round {
		m.confirm()
	}
}

// confirm counts the term of the open attempt from before it was sent.
func (m *StateMachine) confirm() {
	m.open = false
	m.until = max(m.until, m.sent.Add(m.Params.Term))
}

// Vacant reports whether the lease may be taken: released, never taken, or seen unchanged for its term and the drift.
func (m *StateMachine) Vacant(now clock.Reading) bool {
	if !m.seen || m.mine || m.ended {
		return false
	}
	if m.rows.HolderRevision == 0 || m.rows.Holder.Released {
		return true
	}
	return now.Sub(m.unchangedSince) >= m.wait()
}

// wait is how long the rows must be seen unchanged before the lease is taken.
func (m *StateMachine) wait() time.Duration {
	return max(m.Params.Term, time.Duration(m.rows.Holder.TermMS)*time.Millisecond) + m.Params.Drift
}

// Acquire returns the attempt to take a vacant lease, to be sent at now.
//
// Whatever its outcome, the rows are to be read next.
func (m *StateMachine) Acquire(now clock.Reading) Attempt {
	holder := &Holder{
		Process: m.Params.Process, Incarnation: m.Params.Incarnation,
		Fence: m.rows.Holder.Fence + 1, TermMS: milliseconds(m.Params.Term),
	}
	return Attempt{Holder: holder, Heartbeat: m.begin(now), Observed: m.rows, RequireUnrenewed: true}
}

// Owned reports whether the lease is to be renewed; it says nothing about the term.
func (m *StateMachine) Owned() bool { return m.mine }

// Renew returns the attempt to renew the process's own lease, to be sent at now.
func (m *StateMachine) Renew(now clock.Reading) Attempt {
	return Attempt{Heartbeat: m.begin(now), Observed: m.rows}
}

func (m *StateMachine) begin(now clock.Reading) Heartbeat {
	m.round++
	m.sent = now
	m.open = true
	return Heartbeat{Incarnation: m.Params.Incarnation, Round: m.round}
}

// ConfirmRenewal takes the answer that the open renewal was applied.
func (m *StateMachine) ConfirmRenewal() {
	if m.mine && m.open {
		m.confirm()
	}
}

// MarkLost takes the answer that a renewal found another holder.
func (m *StateMachine) MarkLost() {
	m.mine = false
	m.until = 0
	m.open = false
}

// Release gives the lease up and returns the attempt that tells others; the grant ends before it is sent.
//
// No order sent under the grant may still be under way.
func (m *StateMachine) Release() (Attempt, bool) {
	m.ended = true
	if !m.mine {
		return Attempt{}, false
	}
	m.MarkLost()
	holder := m.rows.Holder
	holder.Released = true
	return Attempt{Holder: &holder, Heartbeat: m.begin(m.sent), Observed: m.rows}, true
}

// Grant returns the right to act, and false where the term has ended or will within guard.
func (m *StateMachine) Grant(now clock.Reading, guard time.Duration) (Grant, bool) {
	grant := Grant{Fence: m.rows.Holder.Fence, Until: m.until}
	return grant, m.mine && now.Add(guard) < m.until
}
