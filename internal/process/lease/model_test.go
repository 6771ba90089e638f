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

// Times of the model; one tick stands for a millisecond, the unit of the rows.
const (
	tick       = time.Millisecond
	modelTerm  = 2 * tick
	modelDrift = tick
	modelGuard = tick
	guardTicks = int(modelGuard / tick)
	// modelNow is every process's clock reading in every state: older readings move back instead.
	modelNow = clock.Reading(100 * tick)
)

// Stand-ins for what only equality matters of.
const (
	writeSlots        = 1
	holderNow         = table.Revision(1)
	heartbeatNow      = table.Revision(2)
	revisionNew       = table.Revision(9)
	stale             = table.Revision(-1)
	fenceNow          = ident.Fence(10)
	fenceOldest       = fenceNow - 2
	gone              = ident.Incarnation("gone")
	maxProcesses      = 3
	modelStatesLogged = 60
	// calmSteps is how many steps of a walk there are for each with crashes and releases.
	calmSteps = 20
)

// assumptions say what the model may do and what it leaves out of the mechanism.
type assumptions struct {
	processes int
	// checksFence makes the receiver refuse old fencing numbers; orders then may be delayed without bound.
	checksFence bool
	// slips is how often in all a clock may stand still for a tick.
	slips int

	termFromAnswer, noCheck, noWait, noGuard, noDrift, earlyRelease bool
}

// write is a transaction on its way to the table.
type write struct {
	pending bool
	Attempt
	holder Holder
}

// phase is what a process waits for.
type phase byte

const (
	idle phase = iota
	readAnswered
	renewalSent
	renewalApplied
	renewalFailed
)

// actor is one process: the loop around the machine, and its orders beside it.
type actor struct {
	machine StateMachine
	phase   phase
	answer  Rows
	writes  [writeSlots]write
	// order is the fence of an order after the check, 0 without one; age is the ticks since that check.
	order ident.Fence
	age   int
}

// world is one state of the model.
type world struct {
	rows   Rows
	actors [maxProcesses]actor
	// accepted is the greatest fence of an order that the receiver acted on.
	accepted ident.Fence
	slips    int
}

// checker visits every state that can be reached.
type checker struct {
	assumptions
	seed    maphash.Seed
	visited map[uint64]struct{}
	stack   []world
	broken  string
	// calm keeps processes from crashing and releasing.
	calm bool
	// These counts show that the model isn't empty.
	handOvers, accepts, refusals int
}

func (c *checker) run() {
	c.begin()
	for len(c.stack) > 0 && c.broken == "" {
		last := len(c.stack) - 1
		w := c.stack[last]
		c.stack = c.stack[:last]
		c.expand(w)
	}
}

// begin puts the first state on the stack.
func (c *checker) begin() {
	c.seed = maphash.MakeSeed()
	c.visited = make(map[uint64]struct{})
	var first world
	for index := range c.processes {
		first.actors[index].machine = c.machine(index)
	}
	c.push(first)
}

// walk goes from state to state by random steps.
func (c *checker) walk(random *rand.Rand, steps int) {
	c.stack = nil
	c.begin()
	w := c.stack[0]
	for range steps {
		c.stack, c.visited = c.stack[:0], make(map[uint64]struct{})
		c.calm = random.IntN(calmSteps) > 0
		c.expand(w)
		if c.broken != "" {
			return
		}
		w = c.stack[random.IntN(len(c.stack))]
	}
}

func (c *checker) machine(index int) StateMachine {
	rules := Params{Incarnation: ident.Incarnation(rune('a' + index)), Term: modelTerm, Drift: modelDrift}
	if c.noDrift {
		rules.Drift = 0
	}
	return StateMachine{Params: rules}
}

func (c *checker) push(w world) {
	w.normalize(c.processes)
	key := maphash.Comparable(c.seed, w)
	if _, found := c.visited[key]; found {
		return
	}
	c.visited[key] = struct{}{}
	c.stack = append(c.stack, w)
	holders := 0
	for index := range c.processes {
		if w.actors[index].holds() {
			holders++
		}
	}
	if holders > 1 {
		c.broken = fmt.Sprintf("two processes hold the lease: %+v", w)
	}
}

func (a *actor) holds() bool {
	_, ok := a.machine.Grant(modelNow, 0)
	return ok
}

func (c *checker) expand(w world) {
	c.pass(w)
	for index := range c.processes {
		c.step(w, index)
		c.orders(w, index)
		c.deliver(w, index)
		if !c.calm {
			c.crash(w, index)
		}
	}
}

// pass lets a tick go by, on all clocks or on all but one.
func (c *checker) pass(w world) {
	for slow := -1; slow < c.processes; slow++ {
		if slow >= 0 && w.slips >= c.slips {
			return
		}
		next := w
		if slow >= 0 {
			next.slips++
		}
		for index := range c.processes {
			next.actors[index].wait(c.checksFence)
			if index != slow {
				next.actors[index].machine.back(tick)
			}
		}
		c.push(next)
	}
}

// wait lets an order age; one that is not bounded by a fencing receiver is lost after the guard.
func (a *actor) wait(checksFence bool) {
	if a.order == 0 || checksFence {
		return
	}
	a.age++
	if a.age > guardTicks {
		a.order, a.age = 0, 0
	}
}

// back moves the readings of a machine into the past.
func (m *StateMachine) back(by time.Duration) {
	m.unchangedSince = m.unchangedSince.Add(-by)
	m.until = m.until.Add(-by)
	m.sent = m.sent.Add(-by)
}

// step goes on with the loop around the machine; a process that does not step is frozen.
func (c *checker) step(w world, index int) {
	actor := &w.actors[index]
	machine := &actor.machine
	if c.termFromAnswer && actor.phase != idle {
		machine.sent = modelNow
	}
	switch actor.phase {
	case idle:
		c.start(w, index)
		return
	case readAnswered:
		machine.Observe(modelNow, actor.answer)
		if c.noWait {
			machine.unchangedSince = 0
		}
	case renewalSent:
		// The answer is lost or late, and the write may still be applied.
	case renewalApplied:
		machine.ConfirmRenewal()
	case renewalFailed:
		machine.MarkLost()
	}
	actor.phase, actor.answer = idle, Rows{}
	c.push(w)
}

// start reads the rows, or sends an attempt to take, renew or release.
func (c *checker) start(w world, index int) {
	machine := w.actors[index].machine
	next := w
	if !machine.seen || machine.open || machine.rows.HolderRevision == stale || machine.rows.HeartbeatRevision == stale {
		next.actors[index].phase = readAnswered
		next.actors[index].answer = w.rows
		c.push(next)
	}
	if machine.Vacant(modelNow) && machine.rows.HolderRevision != stale {
		next = w
		attempt := next.actors[index].machine.Acquire(modelNow)
		next.send(index, attempt, idle)
		c.push(next)
	}
	if !machine.Owned() {
		return
	}
	next = w
	attempt := next.actors[index].machine.Renew(modelNow)
	next.send(index, attempt, renewalSent)
	c.push(next)
	if !c.calm && (w.actors[index].order == 0 || c.earlyRelease) {
		next = w
		attempt, _ = next.actors[index].machine.Release()
		next.send(index, attempt, idle)
		c.push(next)
	}
}

// send puts an attempt on its way; an unsettled one before it stays under way.
func (w *world) send(index int, attempt Attempt, next phase) {
	actor := &w.actors[index]
	sent := write{pending: true, Attempt: attempt}
	if attempt.Holder != nil {
		sent.holder = *attempt.Holder
		sent.Holder = &taking
	}
	copy(actor.writes[1:], actor.writes[:])
	actor.writes[0] = sent
	actor.phase = next
}

// taking marks writes of the holder row, so that states compare.
var taking Holder

// deliver lets a write reach the table, and the answer its sender where that waits.
func (c *checker) deliver(w world, index int) {
	for slot := range writeSlots {
		next := w
		actor := &next.actors[index]
		sent := actor.writes[slot]
		awaited := slot == 0 && actor.phase == renewalSent
		if awaited && !sent.pending {
			actor.phase = renewalFailed
			c.push(next)
		}
		if !sent.pending {
			continue
		}
		actor.writes[slot] = write{}
		if awaited {
			actor.phase = renewalApplied
		}
		next.apply(sent)
		if sent.RequireUnrenewed && sent.holder.Fence > 1 {
			c.handOvers++
		}
		c.push(next)
	}
}

// apply is the table's transaction; writes whose checks fail were cleared before.
func (w *world) apply(sent write) {
	if sent.Holder != nil {
		w.rows.Holder, w.rows.HolderRevision = sent.holder, revisionNew
	}
	w.rows.Heartbeat, w.rows.HeartbeatRevision = sent.Heartbeat, revisionNew+1
}

// orders checks the lease and lets the order arrive later; it may be frozen or under way between the two.
func (c *checker) orders(w world, index int) {
	actor := &w.actors[index]
	if actor.order == 0 {
		c.check(w, index)
		return
	}
	fence := actor.order
	actor.order, actor.age = 0, 0
	c.push(w)
	c.receive(w, index, fence)
}

// check is the last look at the lease before an order.
func (c *checker) check(w world, index int) {
	actor := &w.actors[index]
	guard := modelGuard
	if c.noGuard {
		guard = 0
	}
	grant, ok := actor.machine.Grant(modelNow, guard)
	if !ok && (!c.noCheck || !actor.machine.Owned()) {
		return
	}
	actor.order, actor.age = grant.Fence, 0
	c.push(w)
}

// receive is the order's arrival at a receiver that must never act for an earlier holder after a later one.
func (c *checker) receive(w world, index int, fence ident.Fence) {
	if c.checksFence && fence < w.accepted {
		c.refusals++
		return
	}
	c.accepts++
	if fence < w.accepted {
		c.broken = fmt.Sprintf("fence %d received after fence %d: %+v", fence, w.accepted, w)
	}
	for other := range c.processes {
		if other != index && !c.checksFence && w.actors[other].holds() {
			c.broken = fmt.Sprintf("order received from %d while %d holds the lease: %+v", index, other, w)
		}
	}
	w.accepted = max(w.accepted, fence)
	c.push(w)
}

// crash replaces a process by a new incarnation; what it sent stays under way.
func (c *checker) crash(w world, index int) {
	actor := &w.actors[index]
	own := actor.machine.Params.Incarnation
	forget := func(rows *Rows) {
		if rows.Holder.Incarnation == own {
			rows.Holder.Incarnation = gone
		}
		if rows.Heartbeat.Incarnation == own {
			rows.Heartbeat.Incarnation = gone
		}
	}
	forget(&w.rows)
	for slot := range actor.writes {
		sent := Rows{Holder: actor.writes[slot].holder, Heartbeat: actor.writes[slot].Heartbeat}
		forget(&sent)
		actor.writes[slot].holder, actor.writes[slot].Heartbeat = sent.Holder, sent.Heartbeat
	}
	actor.machine, actor.phase, actor.answer = c.machine(index), idle, Rows{}
	c.push(w)
}
