package claim

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"vanillapond/internal/process/table"
	"vanillapond/pkg/ident"
)

// maxWorkers is the greatest number of requests with one key.
const maxWorkers = 3

// bounds limit the explored space.
type bounds struct {
	workers int
	// faults is how often the table refuses, loses an answer or delays a write.
	faults  int
	crashes int
}

// mutation is a deliberate mistake that the checker must find.
type mutation int

const (
	mutationNone mutation = iota
	// mutationTakeover frees a claim after its lease, as if the owner's silence proved that nothing ran.
	mutationTakeover
	// mutationReleaseUnknown frees a claim whose request may have run.
	mutationReleaseUnknown
	// mutationBlindInsert takes a commit without an answer for applied.
	mutationBlindInsert
	// mutationRefuseUnknown says not run after an unknown outcome.
	mutationRefuseUnknown
	// mutationNoTombstone deletes a released claim, so that an insert still under way is applied later.
	mutationNoTombstone
)

// phase is where a worker is.
type phase byte

const (
	phaseAcquiring phase = iota
	phaseAcquired
	phaseFinalizing
	phaseEnded
	phaseCrashed
)

// worker is one request with the same idempotency key at some entry; workers may start and stop at any time.
type worker struct {
	phase        phase
	acquisition  Acquisition
	finalization Finalization
	// toldNotRun says that the caller was told not run.
	toldNotRun bool
	// mayRunLate says that a request whose outcome is unknown may still run.
	mayRunLate bool
	runs       int
}

// modelState is one state of the model.
type modelState struct {
	row table.Row
	// record is what row holds.
	record       Record
	lastRevision table.Revision
	inFlight     []table.Transaction
	workers      [maxWorkers]worker
	// remaining is what may still happen.
	remaining bounds
}

func request(index int) ident.Request { return ident.Request(fmt.Sprintf("r%d", index)) }

func newModelState(limits bounds) modelState {
	initial := modelState{remaining: limits}
	for index := range initial.workers {
		initial.workers[index].acquisition = NewAcquisition("k", Record{Request: request(index), RequestDigest: "b"})
		if index >= limits.workers {
			initial.workers[index].phase = phaseEnded
		}
	}
	return initial
}

// apply commits a transaction on the one row.
func (s *modelState) apply(transaction table.Transaction) error {
	if transaction.Checks[0].Revision != s.row.Revision {
		return table.ErrConflict
	}
	s.lastRevision++
	s.row = table.Row{Key: "k", Value: transaction.Writes[0].Value, Revision: s.lastRevision}
	if transaction.Writes[0].Delete {
		s.row = table.Row{}
		s.record = Record{}
		return nil
	}
	var err error
	s.record, err = decode(s.row.Value)
	return err
}

// clone copies what the copy of a struct shares.
func (s *modelState) clone() modelState {
	next := *s
	next.inFlight = slices.Clone(s.inFlight)
	return next
}

// revisionClass names a revision by what it can still do: an old one never matches again.
func (s *modelState) revisionClass(revision table.Revision) byte {
	switch revision {
	case 0:
		return '0'
	case s.row.Revision:
		return '='
	default:
		return '<'
	}
}

// fingerprint tells states apart that can behave differently.
func (s *modelState) fingerprint() string {
	encoded := []byte{byte(s.remaining.faults), byte(s.remaining.crashes), s.revisionClass(s.row.Revision)}
	encoded = append(encoded, string(s.record.State)+string(s.record.Request)...)
	var inFlight []string
	for _, transaction := range s.inFlight {
		if class := s.revisionClass(transaction.Checks[0].Revision); class != '<' {
			inFlight = append(inFlight, string(class)+string(transaction.Writes[0].Value))
		}
	}
	slices.Sort(inFlight)
	encoded = append(encoded, strings.Join(inFlight, ",")...)
	for index := range s.workers {
		encoded = append(encoded, s.workers[index].fingerprint(s)...)
	}
	return string(encoded)
}

// fingerprint covers what the phase leaves to be decided.
func (w *worker) fingerprint(state *modelState) []byte {
	encoded := []byte{'|', byte(w.phase), byte(boolToInt(w.toldNotRun)), byte(boolToInt(w.mayRunLate)), byte(w.runs)}
	switch w.phase {
	case phaseAcquired:
	case phaseAcquiring:
		encoded = append(encoded, byte(w.acquisition.step), byte(w.acquisition.attempts), byte(boolToInt(w.acquisition.writeInDoubt)))
		if w.acquisition.step == StepCommit {
			encoded = append(encoded, state.revisionClass(w.acquisition.revision))
		}
	case phaseFinalizing:
		encoded = append(encoded, byte(w.finalization.step))
		encoded = append(encoded, w.finalization.result.State...)
		if w.finalization.step == StepCommit {
			encoded = append(encoded, state.revisionClass(w.finalization.revision))
		}
	case phaseEnded, phaseCrashed:
		encoded = append(encoded, byte(boolToInt(w.acquisition.result == ResultRecorded)))
	}
	return encoded
}

// violation returns what is wrong with a state.
func (s *modelState) violation() string {
	total := 0
	for index, worker := range s.workers {
		total += worker.runs
		if worker.toldNotRun && worker.runs+boolToInt(worker.mayRunLate) > 0 {
			return fmt.Sprintf("%s was refused as not run and ran", request(index))
		}
		if worker.acquisition.result == ResultRecorded && s.totalRuns() != 1 {
			return "an answer was repeated that nobody gave"
		}
	}
	if total > 1 {
		return fmt.Sprintf("ran %d times", total)
	}
	return s.recordViolation()
}

// recordViolation returns what is wrong with the record.
func (s *modelState) recordViolation() string {
	if s.record.Request == "" {
		return ""
	}
	owner := s.workers[s.record.Request[1]-'0']
	if s.record.State == StateDone && owner.runs != 1 {
		return "the record says done and the request did not run"
	}
	if s.record.State == StateSent && owner.phase == phaseEnded && owner.toldNotRun {
		return "a request refused as not run blocks its key"
	}
	return ""
}

func (s *modelState) totalRuns() int {
	total := 0
	for _, worker := range s.workers {
		total += worker.runs
	}
	return total
}

func boolToInt(value bool) int {
	if value {
		return 1
	}
	return 0
}

// explore visits every reachable state and returns the first violation with the number of states.
func explore(limits bounds, injected mutation) (violation string, states int) {
	initial := newModelState(limits)
	seen := map[string]bool{initial.fingerprint(): true}
	queue := []modelState{initial}
	for len(queue) > 0 {
		next := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		if found := next.violation(); found != "" {
			return found, len(seen)
		}
		for _, successor := range next.successors(injected) {
			if fingerprint := successor.fingerprint(); !seen[fingerprint] {
				seen[fingerprint] = true
				queue = append(queue, successor)
			}
		}
	}
	return "", len(seen)
}

// TestModel explores every interleaving of three requests with one key, with faults of the table, crashes and late runs.
func TestModel(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name     string
		limits   bounds
		injected mutation
	}{
		{"three requests", bounds{workers: 3, faults: 1, crashes: 1}, mutationNone},
		{"two requests", bounds{workers: 2, faults: 3, crashes: 2}, mutationNone},
		{"takeover", bounds{workers: 2, faults: 1}, mutationTakeover},
		{"release unknown", bounds{workers: 2, faults: 1}, mutationReleaseUnknown},
		{"blind insert", bounds{workers: 2, faults: 1}, mutationBlindInsert},
		{"refuse unknown", bounds{workers: 2, faults: 1}, mutationRefuseUnknown},
		{"no tombstone", bounds{workers: 2, faults: 3}, mutationNoTombstone},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			violation, states := explore(test.limits, test.injected)
			t.Logf("%d states, violation %q", states, violation)
			if (violation != "") != (test.injected != mutationNone) {
				t.Fatalf("found violation %q with mutation %d", violation, test.injected)
			}
		})
	}
}
