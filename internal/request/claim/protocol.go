package claim

import (
	"errors"

	"vanillapond/internal/process/table"
)

// maxCommitAttempts bounds how often one request tries to write its claim.
const maxCommitAttempts = 3

// Result is what a request may do after it tried to take its claim.
type Result int

// Verdicts.
const (
	// ResultPending says that the protocol has not ended.
	ResultPending Result = iota
	// ResultAcquired says that this request and no other may run.
	ResultAcquired
	// ResultInProgress says that another request with the key may be running.
	ResultInProgress
	// ResultUnknown says that another request with the key may have run.
	ResultUnknown
	// ResultRecorded says that another request with the key has run and its answer is kept.
	ResultRecorded
	// ResultMismatch says that the key belongs to another body.
	ResultMismatch
	// ResultUnavailable says that the table gave no answer to build on; this request must not run.
	ResultUnavailable
)

// Step is what a protocol asks for next.
type Step int

// Steps.
const (
	StepRead Step = iota
	StepCommit
	StepDone
)

// Acquisition is the protocol by which a request takes its claim; it does no input or output itself.
type Acquisition struct {
	key table.Key
	own Record
	// step is what is asked for next; revision and tries belong to StepCommit.
	step     Step
	revision table.Revision
	attempts int
	// writeInDoubt says that a write of this request may still be applied.
	writeInDoubt bool
	result       Result
	// found is the record that the verdict rests on.
	found Record
	// row is the row of found.
	row table.Row
}

// NewAcquisition starts with an insert, because most keys are new.
func NewAcquisition(key table.Key, own Record) Acquisition {
	own.State = StateSent
	return Acquisition{key: key, own: own, step: StepCommit}
}

// Step returns what to do next.
func (a *Acquisition) Step() Step { return a.step }

// Transaction returns what to commit.
func (a *Acquisition) Transaction() table.Transaction {
	return writeTransaction(a.key, a.revision, a.own)
}

// Result returns how it ended.
func (a *Acquisition) Result() Result { return a.result }

// OnCommit takes the result of a commit.
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

// OnRead takes the result of a read.
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

// decide decides by the record that stands in the table.
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

// Finalization is the protocol by which the owner binds the outcome to its claim; it does no input or output itself.
type Finalization struct {
	key table.Key
	// result is what the owner knows.
	result   Record
	step     Step
	revision table.Revision
}

// NewFinalization starts with a read, because a commit does not tell the revision.
func NewFinalization(key table.Key, result Record) Finalization {
	return Finalization{key: key, result: result, step: StepRead}
}

// Step returns what to do next.
func (f *Finalization) Step() Step { return f.step }

// Transaction returns what to commit.
func (f *Finalization) Transaction() table.Transaction {
	return writeTransaction(f.key, f.revision, f.result)
}

// OnCommit takes the result of a commit; whatever is not proved is read again.
func (f *Finalization) OnCommit(err error) {
	f.step = StepRead
	if err == nil {
		f.step = StepDone
	}
}

// OnRead takes the result of a read.
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

// mustOverwrite reports whether the result must still be written over a record.
//
// A release in doubt is written over another request's release too: the new revision stops a write still under way.
func (f *Finalization) mustOverwrite(found Record) bool {
	if found.Request != f.result.Request {
		return found.State == StateReleased && f.result.State == StateReleased
	}
	return (found.State == StateSent || found.State == StateUnknown) && found.State != f.result.State
}

// onAbsentRow leaves a released record where an insert in doubt could still arrive.
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

// abandonTransaction returns the transaction that marks a claim whose owner has not spoken within its lease.
func abandonTransaction(row table.Row, record Record) table.Transaction {
	record.State = StateUnknown
	return writeTransaction(row.Key, row.Revision, record)
}
