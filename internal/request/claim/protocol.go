package claim

import (
	"errors"

	"vanillapond/internal/process/table"
)

// maxTries bounds how often one request tries to write its claim.
const maxTries = 3

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
	tries    int
	// doubt says that a write of this request may still be applied.
	doubt   bool
	verdict Result
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
func (t *Acquisition) Step() Step { return t.step }

// Transaction returns what to commit.
func (t *Acquisition) Transaction() table.Transaction { return write(t.key, t.revision, t.own) }

// Result returns how it ended.
func (t *Acquisition) Result() Result { return t.verdict }

// OnCommit takes the result of a commit.
func (t *Acquisition) OnCommit(err error) {
	t.tries++
	switch {
	case err == nil:
		t.end(ResultAcquired)
	case errors.Is(err, table.ErrConflict):
		t.step = StepRead
	case errors.Is(err, table.ErrRefused):
		t.end(ResultUnavailable)
	default:
		t.doubt = true
		t.step = StepRead
	}
}

// OnRead takes the result of a read.
func (t *Acquisition) OnRead(row table.Row, err error) {
	if err != nil {
		t.end(ResultUnavailable)
		return
	}
	if row.Revision == 0 {
		t.write(0)
		return
	}
	if t.found, err = decode(row.Value); err != nil {
		t.end(ResultUnavailable)
		return
	}
	t.row = row
	t.judge()
}

// judge decides by the record that stands in the table.
func (t *Acquisition) judge() {
	switch {
	case t.found.State == StateReleased:
		t.write(t.row.Revision)
	case t.found.Request == t.own.Request && t.found.State == StateSent:
		t.end(ResultAcquired)
	case t.found.RequestDigest != t.own.RequestDigest:
		t.end(ResultMismatch)
	case t.found.State == StateSent:
		t.end(ResultInProgress)
	case t.found.State == StateDone:
		t.end(ResultRecorded)
	default:
		t.end(ResultUnknown)
	}
}

func (t *Acquisition) write(revision table.Revision) {
	if t.tries == maxTries {
		t.end(ResultUnavailable)
		return
	}
	t.step = StepCommit
	t.revision = revision
}

func (t *Acquisition) end(verdict Result) {
	t.step = StepDone
	t.verdict = verdict
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
func (f *Finalization) Transaction() table.Transaction { return write(f.key, f.revision, f.result) }

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
		f.seenAbsent()
		return
	}
	found, err := decode(row.Value)
	if err != nil || !f.concerns(found) {
		f.step = StepDone
		return
	}
	f.commit(row.Revision)
}

// concerns reports whether the result must still be written over a record.
//
// A release in doubt is written over another request's release too: the new revision stops a write still under way.
func (f *Finalization) concerns(found Record) bool {
	if found.Request != f.result.Request {
		return found.State == StateReleased && f.result.State == StateReleased
	}
	return (found.State == StateSent || found.State == StateUnknown) && found.State != f.result.State
}

// seenAbsent leaves a released record where an insert in doubt could still arrive.
func (f *Finalization) seenAbsent() {
	if f.result.State == StateReleased {
		f.commit(0)
		return
	}
	f.step = StepDone
}

func (f *Finalization) commit(revision table.Revision) {
	f.step = StepCommit
	f.revision = revision
}

// abandoned returns the transaction that marks a claim whose owner has not spoken within its lease.
func abandoned(row table.Row, record Record) table.Transaction {
	record.State = StateUnknown
	return write(row.Key, row.Revision, record)
}
