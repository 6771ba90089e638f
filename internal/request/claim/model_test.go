package claim

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"vanillapond/internal/process/table"
	"vanillapond/pkg/ident"
)

// maxWorkers is the maximum number of requests with the same key.
const maxWorkers = 3

// bounds limits the explored state space.
type bounds struct {
	workers int
	// faults is how often the table refuses a request, loses a reply or delays a write.
	faults  int
	crashes int
}

// mutation is a deliberate bug that the model checker must find.
type mutation int

const (
	mutationNone mutation = iota
	// mutationTakeover releases a claim after its lease, as if a missing outcome proved that the request did not run.
	mutationTakeover
	// mutationReleaseUnknown releases a claim whose request may have run.
	mutationReleaseUnknown
	// mutationBlindInsert treats a commit with unknown outcome as applied.
	mutationBlindInsert
	// mutationRefuseUnknown reports a request with unknown outcome as not run.
	mutationRefuseUnknown
	// mutationNoTombstone deletes a released claim, so that a delayed insert is applied later.
	mutationNoTombstone
)

// phase is the phase of a worker.
type phase byte

const (
	phaseAcquiring phase = iota
	phaseAcquired
	phaseFinalizing
	phaseEnded
	phaseCrashed
)

// worker handles one request with the shared idempotency key at some process; it may start and crash at any time.
type worker struct {
	phase        phase
	acquisition  Acquisition
	finalization Finalization
	// reportedNotRun is set if the caller got a response which states that the request did not run.
	reportedNotRun bool
	// mayRunLate is set if a request with unknown outcome may still run.
	mayRunLate bool
	runs       int
}

// modelState is one state of the model: the row of the key, the writes in flight and the workers.
type modelState struct {
	row table.Row
	// record is the decoded value of row.
	record       Record
	lastRevision table.Revision
	inFlight     []table.Transaction
	workers      [maxWorkers]worker
	// remaining is the number of faults and crashes that may still occur.
	remaining bounds
}

func requestID(index int) ident.Request { return ident.Request(fmt.Sprintf("r%d", index)) }

func newModelState(limits bounds) modelState {
	initial := modelState{remaining: limits}
	for index := range initial.workers {
		initial.workers[index].acquisition = NewAcquisition("k", Record{Request: requestID(index), RequestDigest: "b"})
		if index >= limits.workers {
			initial.workers[index].phase = phaseEnded
		}
	}
	return initial
}

// apply commits a transaction on the row.
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

// clone returns a copy that does not share the list of writes in flight.
func (s *modelState) clone() modelState {
	next := *s
	next.inFlight = slices.Clone(s.inFlight)
	return next
}

// revisionClass returns whether a revision means an absent row, equals the row's revision or is outdated.
//
// Outdated revisions are equivalent, because they never match again.
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

// fingerprint returns a string that differs between states with different possible behavior.
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

// fingerprint covers the parts of the worker that can still affect its behavior in its phase.
func (w *worker) fingerprint(state *modelState) []byte {
	encoded := []byte{'|', byte(w.phase), byte(boolToInt(w.reportedNotRun)), byte(boolToInt(w.mayRunLate)), byte(w.runs)}
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

// violation describes the invariant that a state violates; it returns an empty string if there is none.
func (s *modelState) violation() string {
	total := 0
	for index, worker := range s.workers {
		total += worker.runs
		if worker.reportedNotRun && worker.runs+boolToInt(worker.mayRunLate) > 0 {
			return fmt.Sprintf("%s was reported as not run, but it ran or may still run", requestID(index))
		}
		if worker.acquisition.result == ResultRecorded && s.totalRuns() != 1 {
			return "a response was replayed, but not exactly one request ran"
		}
	}
	if total > 1 {
		return fmt.Sprintf("ran %d times", total)
	}
	return s.recordViolation()
}

// recordViolation describes the invariant that the record violates; it returns an empty string if there is none.
func (s *modelState) recordViolation() string {
	if s.record.Request == "" {
		return ""
	}
	owner := s.workers[s.record.Request[1]-'0']
	if s.record.State == StateDone && owner.runs != 1 {
		return "the record is in state done, but its request did not run exactly once"
	}
	if s.record.State == StateSent && owner.phase == phaseEnded && owner.reportedNotRun {
		return "the claim of a request that was reported as not run still blocks the key"
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

// explore visits all reachable states and returns the first violation found and the number of states visited.
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

// TestModel checks all interleavings of up to three requests with one key, with table faults, crashes and late runs.
//
// Each mutation must lead to a violation, which verifies that the checker detects such bugs.
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
				t.Fatalf("violation %q with mutation %d, want one if and only if there is a mutation", violation, test.injected)
			}
		})
	}
}
