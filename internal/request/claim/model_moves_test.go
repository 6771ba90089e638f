package claim

import (
	"errors"
	"slices"

	"vanillapond/internal/process/table"
)

// successors returns every state that one event leads to.
func (w *world) successors(mutated mutation) []world {
	var all []world
	for index, flight := range w.flights {
		next := w.clone()
		next.flights = slices.Delete(next.flights, index, index+1)
		_ = next.apply(flight)
		all = append(all, next)
	}
	if record := w.record; record.State == StateSent {
		next := w.clone()
		marking := abandoned(w.row, record)
		if mutated == mutationTakeover {
			record.State = StateReleased
			marking = write("k", w.row.Revision, record)
		}
		_ = next.apply(marking)
		all = append(all, next)
	}
	for index := range w.workers {
		all = append(all, w.moves(index, mutated)...)
	}
	return all
}

// moves returns the states that one worker's next step leads to, with every fault that may meet it.
func (w *world) moves(index int, mutated mutation) []world {
	var all []world
	add := func(change func(next *world, worker *worker)) {
		next := w.clone()
		change(&next, &next.workers[index])
		all = append(all, next)
	}
	now := &w.workers[index]
	if now.late {
		add(func(_ *world, worker *worker) { worker.late = false; worker.runs++ })
	}
	if now.phase >= phaseEnded {
		return all
	}
	if w.left.crashes > 0 {
		add(func(next *world, worker *worker) { next.left.crashes--; worker.phase = phaseCrashed })
	}
	if now.phase == phaseHeld {
		return append(all, w.dispatches(index, mutated)...)
	}
	if steps(now).Step() == StepRead {
		add(func(next *world, worker *worker) { steps(worker).OnRead(next.row, nil); next.settle(worker) })
		if w.left.faults > 0 {
			add(func(next *world, worker *worker) {
				next.left.faults--
				steps(worker).OnRead(table.Row{}, table.ErrRefused)
				next.settle(worker)
			})
		}
		return all
	}
	return append(all, w.commits(index, mutated)...)
}

// steps returns the protocol that a worker is in.
func steps(worker *worker) protocol {
	if worker.phase == phaseTaking {
		return &worker.taking
	}
	return &worker.finishing
}

// commits returns the states after a commit: answered, refused, applied without an answer, and on its way.
func (w *world) commits(index int, mutated mutation) []world {
	var all []world
	add := func(faults int, change func(next *world, transaction table.Transaction) error) {
		if faults > w.left.faults {
			return
		}
		next := w.clone()
		next.left.faults -= faults
		worker := &next.workers[index]
		transaction := steps(worker).Transaction()
		if mutated == mutationNoTombstone && worker.phase == phaseFinishing && worker.finishing.result.State == StateReleased {
			transaction.Writes[0].Delete = true
		}
		err := change(&next, transaction)
		if errors.Is(err, table.ErrOutcomeUnknown) && mutated == mutationBlindInsert {
			err = nil
		}
		steps(worker).OnCommit(err)
		next.settle(worker)
		all = append(all, next)
	}
	add(0, func(next *world, transaction table.Transaction) error { return next.apply(transaction) })
	add(1, func(*world, table.Transaction) error { return table.ErrRefused })
	add(1, func(next *world, transaction table.Transaction) error {
		_ = next.apply(transaction)
		return table.ErrOutcomeUnknown
	})
	add(1, func(next *world, transaction table.Transaction) error {
		next.flights = append(next.flights, transaction)
		return table.ErrOutcomeUnknown
	})
	return all
}

// dispatches returns the states after the request was sent: answered, lost before or after its run, or proved not run.
func (w *world) dispatches(index int, mutated mutation) []world {
	var all []world
	add := func(change func(worker *worker) State) {
		next := w.clone()
		worker := &next.workers[index]
		state := change(worker)
		worker.phase = phaseFinishing
		result := worker.taking.own
		result.State = state
		if state == StateDone {
			result.Response = &Response{Status: 201}
		}
		worker.finishing = NewFinalization("k", result)
		all = append(all, next)
	}
	unknown := func(worker *worker) State {
		worker.refused = mutated == mutationRefuseUnknown
		if mutated == mutationReleaseUnknown {
			return StateReleased
		}
		return StateUnknown
	}
	add(func(worker *worker) State { worker.runs++; return StateDone })
	add(func(worker *worker) State { worker.runs++; return unknown(worker) })
	add(func(worker *worker) State { worker.late = true; return unknown(worker) })
	add(unknown)
	add(func(worker *worker) State { worker.refused = true; return StateReleased })
	return all
}

// settle moves a worker on whose protocol has ended, as the driver does.
func (w *world) settle(worker *worker) {
	if steps(worker).Step() != StepDone {
		return
	}
	if worker.phase == phaseFinishing {
		worker.phase = phaseEnded
		return
	}
	worker.phase = phaseEnded
	if worker.taking.verdict == ResultAcquired {
		worker.phase = phaseHeld
		return
	}
	worker.refused = worker.taking.verdict == ResultUnavailable
	if worker.refused && worker.taking.doubt {
		worker.phase = phaseFinishing
		result := worker.taking.own
		result.State = StateReleased
		worker.finishing = NewFinalization("k", result)
	}
}
