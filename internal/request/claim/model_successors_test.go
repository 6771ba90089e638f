package claim

import (
	"errors"
	"slices"

	"vanillapond/internal/process/table"
)

// successors returns all states that the model can reach by one event.
func (s *modelState) successors(injected mutation) []modelState {
	var all []modelState
	for index, transaction := range s.inFlight {
		next := s.clone()
		next.inFlight = slices.Delete(next.inFlight, index, index+1)
		_ = next.apply(transaction)
		all = append(all, next)
	}
	if record := s.record; record.State == StateSent {
		next := s.clone()
		transaction := abandonTransaction(s.row, record)
		if injected == mutationTakeover {
			record.State = StateReleased
			transaction = writeTransaction("k", s.row.Revision, record)
		}
		_ = next.apply(transaction)
		all = append(all, next)
	}
	for index := range s.workers {
		all = append(all, s.workerSuccessors(index, injected)...)
	}
	return all
}

// workerSuccessors returns the states after one worker's next step, without a fault and with each fault that can occur.
func (s *modelState) workerSuccessors(index int, injected mutation) []modelState {
	var all []modelState
	add := func(change func(next *modelState, worker *worker)) {
		next := s.clone()
		change(&next, &next.workers[index])
		all = append(all, next)
	}
	current := &s.workers[index]
	if current.mayRunLate {
		add(func(_ *modelState, worker *worker) { worker.mayRunLate = false; worker.runs++ })
	}
	if current.phase >= phaseEnded {
		return all
	}
	if s.remaining.crashes > 0 {
		add(func(next *modelState, worker *worker) { next.remaining.crashes--; worker.phase = phaseCrashed })
	}
	if current.phase == phaseAcquired {
		return append(all, s.dispatchSuccessors(index, injected)...)
	}
	if activeProtocol(current).Step() == StepRead {
		add(func(next *modelState, worker *worker) {
			activeProtocol(worker).OnRead(next.row, nil)
			next.advancePhase(worker)
		})
		if s.remaining.faults > 0 {
			add(func(next *modelState, worker *worker) {
				next.remaining.faults--
				activeProtocol(worker).OnRead(table.Row{}, table.ErrRefused)
				next.advancePhase(worker)
			})
		}
		return all
	}
	return append(all, s.commitSuccessors(index, injected)...)
}

// activeProtocol returns the protocol that a worker is executing.
func activeProtocol(worker *worker) protocol {
	if worker.phase == phaseAcquiring {
		return &worker.acquisition
	}
	return &worker.finalization
}

// commitSuccessors returns the states after a commit.
//
// The commit is acknowledged, refused, applied with a lost reply, or delayed with a lost reply.
func (s *modelState) commitSuccessors(index int, injected mutation) []modelState {
	var all []modelState
	add := func(faults int, change func(next *modelState, transaction table.Transaction) error) {
		if faults > s.remaining.faults {
			return
		}
		next := s.clone()
		next.remaining.faults -= faults
		worker := &next.workers[index]
		transaction := activeProtocol(worker).Transaction()
		if injected == mutationNoTombstone && worker.phase == phaseFinalizing && worker.finalization.result.State == StateReleased {
			transaction.Writes[0].Delete = true
		}
		err := change(&next, transaction)
		if errors.Is(err, table.ErrOutcomeUnknown) && injected == mutationBlindInsert {
			err = nil
		}
		activeProtocol(worker).OnCommit(err)
		next.advancePhase(worker)
		all = append(all, next)
	}
	add(0, func(next *modelState, transaction table.Transaction) error { return next.apply(transaction) })
	add(1, func(*modelState, table.Transaction) error { return table.ErrRefused })
	add(1, func(next *modelState, transaction table.Transaction) error {
		_ = next.apply(transaction)
		return table.ErrOutcomeUnknown
	})
	add(1, func(next *modelState, transaction table.Transaction) error {
		next.inFlight = append(next.inFlight, transaction)
		return table.ErrOutcomeUnknown
	})
	return all
}

// dispatchSuccessors returns the states after the request was sent.
//
// The request completed, ran with a lost response, may run later, was lost before it ran, or provably did not run.
func (s *modelState) dispatchSuccessors(index int, injected mutation) []modelState {
	var all []modelState
	add := func(change func(worker *worker) State) {
		next := s.clone()
		worker := &next.workers[index]
		state := change(worker)
		worker.phase = phaseFinalizing
		result := worker.acquisition.own
		result.State = state
		if state == StateDone {
			result.Response = &Response{Status: 201}
		}
		worker.finalization = NewFinalization("k", result)
		all = append(all, next)
	}
	unknown := func(worker *worker) State {
		worker.reportedNotRun = injected == mutationRefuseUnknown
		if injected == mutationReleaseUnknown {
			return StateReleased
		}
		return StateUnknown
	}
	add(func(worker *worker) State { worker.runs++; return StateDone })
	add(func(worker *worker) State { worker.runs++; return unknown(worker) })
	add(func(worker *worker) State { worker.mayRunLate = true; return unknown(worker) })
	add(unknown)
	add(func(worker *worker) State { worker.reportedNotRun = true; return StateReleased })
	return all
}

// advancePhase moves a worker whose protocol has ended to its next phase, as Manager does.
func (s *modelState) advancePhase(worker *worker) {
	if activeProtocol(worker).Step() != StepDone {
		return
	}
	if worker.phase == phaseFinalizing {
		worker.phase = phaseEnded
		return
	}
	worker.phase = phaseEnded
	if worker.acquisition.result == ResultAcquired {
		worker.phase = phaseAcquired
		return
	}
	worker.reportedNotRun = worker.acquisition.result == ResultUnavailable
	if worker.reportedNotRun && worker.acquisition.writeInDoubt {
		worker.phase = phaseFinalizing
		result := worker.acquisition.own
		result.State = StateReleased
		worker.finalization = NewFinalization("k", result)
	}
}
