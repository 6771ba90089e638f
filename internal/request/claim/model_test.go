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
	phaseTaking phase = iota
	phaseHeld
	phaseFinishing
	phaseEnded
	phaseCrashed
)

// worker is one request with the same idempotency key at some entry; workers may start and stop at any time.
type worker struct {
	phase     phase
	taking    Acquisition
	finishing Finalization
	// refused says that the caller was told not run.
	refused bool
	// late says that a request whose outcome is unknown may still run.
	late bool
	runs int
}

// world is one state of the model.
type world struct {
	row table.Row
	// record is what row holds.
	record  Record
	last    table.Revision
	flights []table.Transaction
	workers [maxWorkers]worker
	// left is what may still happen.
	left bounds
}

func request(index int) ident.Request { return ident.Request(fmt.Sprintf("r%d", index)) }

func newWorld(limits bounds) world {
	start := world{left: limits}
	for index := range start.workers {
		start.workers[index].taking = NewAcquisition("k", Record{Request: request(index), RequestDigest: "b"})
		if index >= limits.workers {
			start.workers[index].phase = phaseEnded
		}
	}
	return start
}

// apply commits a transaction on the one row.
func (w *world) apply(transaction table.Transaction) error {
	if transaction.Checks[0].Revision != w.row.Revision {
		return table.ErrConflict
	}
	w.last++
	w.row = table.Row{Key: "k", Value: transaction.Writes[0].Value, Revision: w.last}
	if transaction.Writes[0].Delete {
		w.row = table.Row{}
		w.record = Record{}
		return nil
	}
	var err error
	w.record, err = decode(w.row.Value)
	return err
}

// clone copies what the copy of a struct shares.
func (w *world) clone() world {
	next := *w
	next.flights = slices.Clone(w.flights)
	return next
}

// relative names a revision by what it can still do: an old one never matches again.
func (w *world) relative(revision table.Revision) byte {
	switch revision {
	case 0:
		return '0'
	case w.row.Revision:
		return '='
	default:
		return '<'
	}
}

// name tells states apart that can behave differently.
func (w *world) name() string {
	name := []byte{byte(w.left.faults), byte(w.left.crashes), w.relative(w.row.Revision)}
	name = append(name, string(w.record.State)+string(w.record.Request)...)
	var flights []string
	for _, flight := range w.flights {
		if at := w.relative(flight.Checks[0].Revision); at != '<' {
			flights = append(flights, string(at)+string(flight.Writes[0].Value))
		}
	}
	slices.Sort(flights)
	name = append(name, strings.Join(flights, ",")...)
	for index := range w.workers {
		name = append(name, w.workers[index].name(w)...)
	}
	return string(name)
}

// name covers what the phase leaves to be decided.
func (k *worker) name(w *world) []byte {
	name := []byte{'|', byte(k.phase), byte(b(k.refused)), byte(b(k.late)), byte(k.runs)}
	switch k.phase {
	case phaseHeld:
	case phaseTaking:
		name = append(name, byte(k.taking.step), byte(k.taking.tries), byte(b(k.taking.doubt)))
		if k.taking.step == StepCommit {
			name = append(name, w.relative(k.taking.revision))
		}
	case phaseFinishing:
		name = append(name, byte(k.finishing.step))
		name = append(name, k.finishing.result.State...)
		if k.finishing.step == StepCommit {
			name = append(name, w.relative(k.finishing.revision))
		}
	case phaseEnded, phaseCrashed:
		name = append(name, byte(b(k.taking.verdict == ResultRecorded)))
	}
	return name
}

// violation returns what is wrong with a state.
func (w *world) violation() string {
	total := 0
	for index, worker := range w.workers {
		total += worker.runs
		if worker.refused && worker.runs+b(worker.late) > 0 {
			return fmt.Sprintf("%s was refused as not run and ran", request(index))
		}
		if worker.taking.verdict == ResultRecorded && w.total() != 1 {
			return "an answer was repeated that nobody gave"
		}
	}
	if total > 1 {
		return fmt.Sprintf("ran %d times", total)
	}
	return w.recordViolation()
}

// recordViolation returns what is wrong with the record.
func (w *world) recordViolation() string {
	if w.record.Request == "" {
		return ""
	}
	owner := w.workers[w.record.Request[1]-'0']
	if w.record.State == StateDone && owner.runs != 1 {
		return "the record says done and the request did not run"
	}
	if w.record.State == StateSent && owner.phase == phaseEnded && owner.refused {
		return "a request refused as not run blocks its key"
	}
	return ""
}

func (w *world) total() int {
	total := 0
	for _, worker := range w.workers {
		total += worker.runs
	}
	return total
}

func b(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

// explore visits every reachable state and returns the first violation with the number of states.
func explore(limits bounds, mutated mutation) (violation string, states int) {
	start := newWorld(limits)
	seen := map[string]bool{start.name(): true}
	queue := []world{start}
	for len(queue) > 0 {
		next := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		if found := next.violation(); found != "" {
			return found, len(seen)
		}
		for _, successor := range next.successors(mutated) {
			if name := successor.name(); !seen[name] {
				seen[name] = true
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
		name    string
		limits  bounds
		mutated mutation
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
			violation, states := explore(test.limits, test.mutated)
			t.Logf("%d states, violation %q", states, violation)
			if (violation != "") != (test.mutated != mutationNone) {
				t.Fatalf("found violation %q with mutation %d", violation, test.mutated)
			}
		})
	}
}
