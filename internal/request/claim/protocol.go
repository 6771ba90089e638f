package claim

import (
	"errors"

	"vanillapond/internal/process/table"
)

// maxCommitAttempts limits how often one request tries to write its claim.
const maxCommitAttempts = 3

// Result is the outcome of an acquisition: it determines what the request may do next.
type Result int

// Results of an acquisition.
const (
	// ResultPending means that the acquisition has not ended.
	ResultPending Result = iota
	// ResultAcquired means that this request, and no other one with the key, may run.
	ResultAcquired
	// ResultInProgress means that another request with the key may be running.
	ResultInProgress
	// ResultUnknown means that another request with the key may have run.
	ResultUnknown
	// ResultRecorded means that another request with the key has run and its response is stored.
	ResultRecorded
	// ResultMismatch means that the key was used for a request with another digest.
	ResultMismatch
	// ResultUnavailable means that the state of the claim could not be determined; this request must not run.
	ResultUnavailable
)

// Step is the operation that a protocol needs next.
type Step int

// Steps of a protocol.
const (
	StepRead Step = iota
	StepCommit
	StepDone
)

// Acquisition is the protocol by which a request acquires its claim.
//
// It is a state machine without I/O: Manager executes each step and passes in its result.
type Acquisition struct {
	key table.Key
	own Record
	// step is the next step. For StepCommit, revision is the expected revision of the row, and attempts counts the commits.
	step     Step
	revision table.Revision
	attempts int
	// writeInDoubt is set after a commit with unknown outcome: the write may still be applied.
	writeInDoubt bool
	result       Result
	// found is the record by which the result was decided.
	found Record
	// row is the row that holds found.
	row table.Row
}

// NewAcquisition returns an acquisition that starts with an insert, because most keys are new.
func NewAcquisition(key table.Key, own Record) Acquisition {
	own.State = StateSent
	return Acquisition{key: key, own: own, step: StepCommit}
}

// Step returns the next step.
func (a *Acquisition) Step() Step { return a.step }

// Transaction returns the transaction of a StepCommit.
func (a *Acquisition) Transaction() table.Transaction {
	return writeTransaction(a.key, a.revision, a.own)
}

// Result returns the result of the acquisition.
func (a *Acquisition) Result() Result { return a.result }

// OnCommit handles the result of a StepCommit.
func (a *Acquisition) OnCommit(err error) {
	a.attempts++
	switch {
	case err == nil:
		a.finish(ResultAcquired)
	case errors.Is(err, table.ErrConflict):
		a.step = StepRead
	case errors.Is(err, table.ErrRefused):
		a.finish(ResultUnavailable)
	default:
		a.writeInDoubt = true
		a.step = StepRead
	}
}

// OnRead handles the result of a StepRead.
func (a *Acquisition) OnRead(row table.Row, err error) {
	if err != nil {
		a.finish(ResultUnavailable)
		return
	}
	if row.Revision == 0 {
		a.requestCommit(0)
		return
	}
	if a.found, err = decode(row.Value); err != nil {
		a.finish(ResultUnavailable)
		return
	}
	a.row = row
	a.decide()
}

// decide continues or ends the acquisition according to the record in the table.
func (a *Acquisition) decide() {
	switch {
	case a.found.State == StateReleased:
		a.requestCommit(a.row.Revision)
	case a.found.Request == a.own.Request && a.found.State == StateSent:
		a.finish(ResultAcquired)
	case a.found.RequestDigest != a.own.RequestDigest:
		a.finish(ResultMismatch)
	case a.found.State == StateSent:
		a.finish(ResultInProgress)
	case a.found.State == StateDone:
		a.finish(ResultRecorded)
	default:
		a.finish(ResultUnknown)
	}
}

func (a *Acquisition) requestCommit(revision table.Revision) {
	if a.attempts == maxCommitAttempts {
		a.finish(ResultUnavailable)
		return
	}
	a.step = StepCommit
	a.revision = revision
}

func (a *Acquisition) finish(result Result) {
	a.step = StepDone
	a.result = result
}

// Finalization is the protocol by which the owner of a claim records the outcome.
//
// Like an acquisition, it is a state machine without I/O.
type Finalization struct {
	key table.Key
	// result is the record with the outcome as the owner knows it.
	result   Record
	step     Step
	revision table.Revision
}

// NewFinalization returns a finalization that starts with a read, because a commit does not return the row's new revision.
func NewFinalization(key table.Key, result Record) Finalization {
	return Finalization{key: key, result: result, step: StepRead}
}

// Step returns the next step.
func (f *Finalization) Step() Step { return f.step }

// Transaction returns the transaction of a StepCommit.
func (f *Finalization) Transaction() table.Transaction {
	return writeTransaction(f.key, f.revision, f.result)
}

// OnCommit handles the result of a StepCommit. After any error, the row is read again.
func (f *Finalization) OnCommit(err error) {
	f.step = StepRead
	if err == nil {
		f.step = StepDone
	}
}

// OnRead handles the result of a StepRead.
func (f *Finalization) OnRead(row table.Row, err error) {
	if err != nil {
		f.step = StepRead
		return
	}
	if row.Revision == 0 {
		f.onAbsentRow()
		return
	}
	found, err := decode(row.Value)
	if err != nil || !f.mustOverwrite(found) {
		f.step = StepDone
		return
	}
	f.requestCommit(row.Revision)
}

// mustOverwrite reports whether the result must replace the record that was found.
//
// A release also replaces another request's release: if a write of this request is in doubt, the row's new revision makes
// that write fail.
func (f *Finalization) mustOverwrite(found Record) bool {
	if found.Request != f.result.Request {
		return found.State == StateReleased && f.result.State == StateReleased
	}
	return (found.State == StateSent || found.State == StateUnknown) && found.State != f.result.State
}

// onAbsentRow handles an absent row.
//
// A release writes a released record, because an insert in doubt could still be applied while the row is absent.
func (f *Finalization) onAbsentRow() {
	if f.result.State == StateReleased {
		f.requestCommit(0)
		return
	}
	f.step = StepDone
}

func (f *Finalization) requestCommit(revision table.Revision) {
	f.step = StepCommit
	f.revision = revision
}

// abandonTransaction returns the transaction that marks a claim as unknown whose owner recorded no outcome within its lease.
func abandonTransaction(row table.Row, record Record) table.Transaction {
	record.State = StateUnknown
	return writeTransaction(row.Key, row.Revision, record)
}
