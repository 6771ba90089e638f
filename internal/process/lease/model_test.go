//go:build !race

package lease

import (
	"fmt"
	"hash/maphash"
	"math/rand/v2"
	"time"

	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/table"
	"vanillapond/pkg/ident"
)

// Durations of the model. One tick is a millisecond, the unit of the durations in the rows.
const (
	tick       = time.Millisecond
	modelTerm  = 2 * tick
	modelDrift = tick
	modelGuard = tick
	guardTicks = int(modelGuard / tick)
	// modelNow is the clock reading of every process in every state: as time passes, stored readings are moved back instead.
	modelNow = clock.Reading(100 * tick)
)

// Sizes of the model, and normalized values of revisions, fences and incarnations, of which only the order or equality matters.
const (
	writeSlots   = 1
	holderNow    = table.Revision(1)
	heartbeatNow = table.Revision(2)
	revisionNew  = table.Revision(9)
	stale        = table.Revision(-1)
	fenceNow     = ident.Fence(10)
	fenceOldest  = fenceNow - 2
	crashed      = ident.Incarnation("gone")
	maxProcesses = 3
	// maxViolationLength is the number of characters of a violation that are logged.
	maxViolationLength = 60
	// crashStepInterval is the mean number of steps of a random walk per step that may crash or release.
	crashStepInterval = 20
)

// assumptions are the faults that the model allows and the safeguards that it leaves out.
type assumptions struct {
	processes int
	// checksFence makes the receiver refuse old fencing numbers; orders may then be delayed without bound.
	checksFence bool
	// clockStalls is the number of ticks in which one clock may stand still, in total.
	clockStalls int

	termFromResponse, noCheck, noAcquireDelay, noGuard, noDrift, earlyRelease bool
}

// write is a transaction in flight to the table.
type write struct {
	inFlight bool
	Attempt
	holder Holder
}

// phase is what a process is waiting for.
type phase byte

const (
	idle phase = iota
	readResponded
	renewalSent
	renewalApplied
	renewalFailed
)

// actor is one process: the loop that drives the state machine, and the order that it sends concurrently.
type actor struct {
	machine  StateMachine
	phase    phase
	response Rows
	writes   [writeSlots]write
	// order is the fence of an order whose lease check passed, 0 if there is none; age is the number of ticks since that check.
	order ident.Fence
	age   int
}

// state is one state of the model.
type state struct {
	rows   Rows
	actors [maxProcesses]actor
	// accepted is the greatest fence of an order that the receiver acted on.
	accepted    ident.Fence
	clockStalls int
}

// checker visits every reachable state.
type checker struct {
	assumptions
	seed      maphash.Seed
	visited   map[uint64]struct{}
	stack     []state
	violation string
	// withoutCrashes disables crashes and releases.
	withoutCrashes bool
	// These counts show that the model reaches acquisitions from another holder, accepted orders and refused orders.
	acquisitionsFromOther, accepts, refusals int
}

func (c *checker) run() {
	c.reset()
	for len(c.stack) > 0 && c.violation == "" {
		last := len(c.stack) - 1
		s := c.stack[last]
		c.stack = c.stack[:last]
		c.expand(s)
	}
}

// reset clears the visited states and pushes the initial state.
func (c *checker) reset() {
	c.seed = maphash.MakeSeed()
	c.visited = make(map[uint64]struct{})
	var first state
	for index := range c.processes {
		first.actors[index].machine = c.newMachine(index)
	}
	c.push(first)
}

// walk takes random steps from state to state.
func (c *checker) walk(random *rand.Rand, steps int) {
	c.stack = nil
	c.reset()
	s := c.stack[0]
	for range steps {
		c.stack, c.visited = c.stack[:0], make(map[uint64]struct{})
		c.withoutCrashes = random.IntN(crashStepInterval) > 0
		c.expand(s)
		if c.violation != "" {
			return
		}
		s = c.stack[random.IntN(len(c.stack))]
	}
}

func (c *checker) newMachine(index int) StateMachine {
	params := Params{Incarnation: ident.Incarnation(rune('a' + index)), Term: modelTerm, Drift: modelDrift}
	if c.noDrift {
		params.Drift = 0
	}
	return StateMachine{Params: params}
}

func (c *checker) push(s state) {
	s.normalize(c.processes)
	key := maphash.Comparable(c.seed, s)
	if _, found := c.visited[key]; found {
		return
	}
	c.visited[key] = struct{}{}
	c.stack = append(c.stack, s)
	holders := 0
	for index := range c.processes {
		if s.actors[index].holds() {
			holders++
		}
	}
	if holders > 1 {
		c.violation = fmt.Sprintf("two processes hold the lease: %+v", s)
	}
}

func (a *actor) holds() bool {
	_, ok := a.machine.Grant(modelNow, 0)
	return ok
}

func (c *checker) expand(s state) {
	c.advanceClocks(s)
	for index := range c.processes {
		c.step(s, index)
		c.stepOrder(s, index)
		c.deliver(s, index)
		if !c.withoutCrashes {
			c.crash(s, index)
		}
	}
}

// advanceClocks advances all clocks by a tick, or all but one.
func (c *checker) advanceClocks(s state) {
	for stalled := -1; stalled < c.processes; stalled++ {
		if stalled >= 0 && s.clockStalls >= c.clockStalls {
			return
		}
		next := s
		if stalled >= 0 {
			next.clockStalls++
		}
		for index := range c.processes {
			next.actors[index].ageOrder(c.checksFence)
			if index != stalled {
				next.actors[index].machine.shiftBack(tick)
			}
		}
		c.push(next)
	}
}

// ageOrder ages an order by a tick. Unless the receiver checks fencing numbers, an order is dropped after the guard time.
func (a *actor) ageOrder(checksFence bool) {
	if a.order == 0 || checksFence {
		return
	}
	a.age++
	if a.age > guardTicks {
		a.order, a.age = 0, 0
	}
}

// shiftBack moves the clock readings of a state machine into the past.
func (m *StateMachine) shiftBack(by time.Duration) {
	m.unchangedSince = m.unchangedSince.Add(-by)
	m.validUntil = m.validUntil.Add(-by)
	m.sentAt = m.sentAt.Add(-by)
}

// step continues the loop that drives the state machine. A process without steps is suspended.
func (c *checker) step(s state, index int) {
	actor := &s.actors[index]
	machine := &actor.machine
	if c.termFromResponse && actor.phase != idle {
		machine.sentAt = modelNow
	}
	switch actor.phase {
	case idle:
		c.startCall(s, index)
		return
	case readResponded:
		machine.Observe(modelNow, actor.response)
		if c.noAcquireDelay {
			machine.unchangedSince = 0
		}
	case renewalSent:
		// The response is lost or late, and the write may still be applied.
	case renewalApplied:
		machine.ConfirmRenewal()
	case renewalFailed:
		machine.MarkLost()
	}
	actor.phase, actor.response = idle, Rows{}
	c.push(s)
}

// startCall reads the rows, or sends an attempt to acquire, renew or release the lease.
func (c *checker) startCall(s state, index int) {
	machine := s.actors[index].machine
	next := s
	if !machine.hasRows || machine.pending || machine.rows.HolderRevision == stale || machine.rows.HeartbeatRevision == stale {
		next.actors[index].phase = readResponded
		next.actors[index].response = s.rows
		c.push(next)
	}
	if machine.Vacant(modelNow) && machine.rows.HolderRevision != stale {
		next = s
		attempt := next.actors[index].machine.Acquire(modelNow)
		next.send(index, attempt, idle)
		c.push(next)
	}
	if !machine.Owned() {
		return
	}
	next = s
	attempt := next.actors[index].machine.Renew(modelNow)
	next.send(index, attempt, renewalSent)
	c.push(next)
	if !c.withoutCrashes && (s.actors[index].order == 0 || c.earlyRelease) {
		next = s
		attempt, _ = next.actors[index].machine.Release()
		next.send(index, attempt, idle)
		c.push(next)
	}
}

// send puts an attempt in flight. An earlier write whose outcome is unknown stays in flight, as far as there are slots.
func (s *state) send(index int, attempt Attempt, next phase) {
	actor := &s.actors[index]
	sent := write{inFlight: true, Attempt: attempt}
	if attempt.Holder != nil {
		sent.holder = *attempt.Holder
		sent.Holder = &acquiring
	}
	copy(actor.writes[1:], actor.writes[:])
	actor.writes[0] = sent
	actor.phase = next
}

// acquiring replaces the pointer to the holder row in writes, so that states can be compared.
var acquiring Holder

// deliver applies a write in flight, and delivers the response to its sender if that is waiting.
func (c *checker) deliver(s state, index int) {
	for slot := range writeSlots {
		next := s
		actor := &next.actors[index]
		sent := actor.writes[slot]
		awaited := slot == 0 && actor.phase == renewalSent
		if awaited && !sent.inFlight {
			actor.phase = renewalFailed
			c.push(next)
		}
		if !sent.inFlight {
			continue
		}
		actor.writes[slot] = write{}
		if awaited {
			actor.phase = renewalApplied
		}
		next.apply(sent)
		if sent.RequireUnrenewed && sent.holder.Fence > 1 {
			c.acquisitionsFromOther++
		}
		c.push(next)
	}
}

// apply commits a write to the rows. Writes whose checks would fail were already dropped by normalizeWrite.
func (s *state) apply(sent write) {
	if sent.Holder != nil {
		s.rows.Holder, s.rows.HolderRevision = sent.holder, revisionNew
	}
	s.rows.Heartbeat, s.rows.HeartbeatRevision = sent.Heartbeat, revisionNew+1
}

// stepOrder checks the lease for a new order, or delivers the order whose check passed. Between the two, the process may be
// suspended or the order in flight.
func (c *checker) stepOrder(s state, index int) {
	actor := &s.actors[index]
	if actor.order == 0 {
		c.checkLease(s, index)
		return
	}
	fence := actor.order
	actor.order, actor.age = 0, 0
	c.push(s)
	c.receiveOrder(s, index, fence)
}

// checkLease is the last check of the lease before an order is sent.
func (c *checker) checkLease(s state, index int) {
	actor := &s.actors[index]
	guard := modelGuard
	if c.noGuard {
		guard = 0
	}
	grant, ok := actor.machine.Grant(modelNow, guard)
	if !ok && (!c.noCheck || !actor.machine.Owned()) {
		return
	}
	actor.order, actor.age = grant.Fence, 0
	c.push(s)
}

// receiveOrder delivers an order to the receiver, which must never act on an order of an earlier holder after one of a later
// holder.
func (c *checker) receiveOrder(s state, index int, fence ident.Fence) {
	if c.checksFence && fence < s.accepted {
		c.refusals++
		return
	}
	c.accepts++
	if fence < s.accepted {
		c.violation = fmt.Sprintf("fence %d received after fence %d: %+v", fence, s.accepted, s)
	}
	for other := range c.processes {
		if other != index && !c.checksFence && s.actors[other].holds() {
			c.violation = fmt.Sprintf("order received from %d while %d holds the lease: %+v", index, other, s)
		}
	}
	s.accepted = max(s.accepted, fence)
	c.push(s)
}

// crash replaces a process by a new incarnation; its writes stay in flight.
func (c *checker) crash(s state, index int) {
	actor := &s.actors[index]
	incarnation := actor.machine.Params.Incarnation
	replace := func(rows *Rows) {
		if rows.Holder.Incarnation == incarnation {
			rows.Holder.Incarnation = crashed
		}
		if rows.Heartbeat.Incarnation == incarnation {
			rows.Heartbeat.Incarnation = crashed
		}
	}
	replace(&s.rows)
	for slot := range actor.writes {
		sent := Rows{Holder: actor.writes[slot].holder, Heartbeat: actor.writes[slot].Heartbeat}
		replace(&sent)
		actor.writes[slot].holder, actor.writes[slot].Heartbeat = sent.Holder, sent.Heartbeat
	}
	actor.machine, actor.phase, actor.response = c.newMachine(index), idle, Rows{}
	c.push(s)
}
