package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/table"
	"vanillapond/pkg/ident"
)

// Parameters of the random walk.
const (
	restoreSeeds     = 3000
	restoreSteps     = 400
	restoreProcesses = 3
	restoreTerm      = 30 * time.Millisecond
	restoreDrift     = 3 * time.Millisecond
	restoreGuard     = 5 * time.Millisecond
)

// restoringTable is a table that goes back to earlier copies of its rows. Numbers are given out again after a restore.
type restoringTable struct {
	rows   Rows
	number int64
	copies []Rows
	// numbers holds the number at each copy.
	numbers []int64
}

func (r *restoringTable) read() Rows {
	rows := r.rows
	rows.HolderRevision, rows.HeartbeatRevision = r.inEra(rows.HolderRevision), r.inEra(rows.HeartbeatRevision)
	return rows
}

// inEra returns a row's revision as a read in the current era shows it.
func (r *restoringTable) inEra(revision table.Revision) table.Revision {
	if revision == 0 {
		return 0
	}
	return table.NewRevision(r.rows.Era, revision.Number())
}

// commit applies an attempt as the store does: it compares only the numbers.
func (r *restoringTable) commit(attempt Attempt) bool {
	if attempt.Observed.HolderRevision.Number() != r.rows.HolderRevision.Number() ||
		attempt.RequireUnrenewed && attempt.Observed.HeartbeatRevision.Number() != r.rows.HeartbeatRevision.Number() {
		return false
	}
	r.number++
	if attempt.Holder != nil {
		r.rows.Holder, r.rows.HolderRevision = *attempt.Holder, table.Revision(r.number)
	}
	r.rows.Heartbeat, r.rows.HeartbeatRevision = attempt.Heartbeat, table.Revision(r.number)
	return true
}

func (r *restoringTable) save() {
	r.copies, r.numbers = append(r.copies, r.rows), append(r.numbers, r.number)
}

func (r *restoringTable) restore(index int) {
	era := r.rows.Era + 1
	r.rows, r.number = r.copies[index], r.numbers[index]
	r.rows.Era = era
	r.copies, r.numbers = nil, nil
}

// walkRestores takes random steps with restores of the table. It returns a description of the first violation, or an empty string:
// two processes that hold the lease at a time, or an order under a smaller fencing number than one before.
func walkRestores(seed uint64) (violation string, holders int) {
	random := rand.New(rand.NewPCG(seed, 1))
	now := clock.Reading(time.Hour)
	store := &restoringTable{rows: Rows{Era: 1}}
	machines := make([]StateMachine, restoreProcesses)
	incarnations := 0
	start := func(index int) {
		incarnations++
		machines[index] = StateMachine{Params: Params{
			Incarnation: ident.Incarnation(fmt.Sprintf("i%d", incarnations)), Term: restoreTerm, Drift: restoreDrift,
		}}
	}
	for index := range machines {
		start(index)
	}
	var highest ident.Fence
	previous := ident.Incarnation("")
	for range restoreSteps {
		now = now.Add(time.Duration(random.IntN(4)) * time.Millisecond)
		index := random.IntN(restoreProcesses)
		m := &machines[index]
		switch action := random.IntN(100); {
		case action < 2:
			store.save()
		case action < 4 && len(store.copies) > 0:
			store.restore(random.IntN(len(store.copies)))
		case action < 5:
			start(index)
		case action < 7:
			if attempt, held := m.Release(); held {
				store.commit(attempt)
			}
			start(index)
		case action < 35:
			m.Observe(now, store.read())
		case action < 60 && m.Owned():
			// The adapter refuses a check of an earlier era if it knows of the restore, and reports an unknown outcome if it does not.
			attempt := m.Renew(now)
			inEra := attempt.Observed.Era == store.rows.Era
			switch applied := store.commit(attempt); {
			case !inEra:
				m.Observe(now, store.read())
			case applied:
				m.ConfirmRenewal()
			default:
				m.MarkLost()
			}
		case m.Vacant(now):
			store.commit(m.Acquire(now))
			m.Observe(now, store.read())
		}
		held := 0
		for each := range machines {
			grant, ok := machines[each].Grant(now, restoreGuard)
			if !ok {
				continue
			}
			held++
			if grant.Fence < highest {
				return fmt.Sprintf("order under fence %d after fence %d", grant.Fence, highest), holders
			}
			highest = grant.Fence
			if incarnation := machines[each].Params.Incarnation; incarnation != previous {
				previous = incarnation
				holders++
			}
		}
		if held > 1 {
			return "two processes hold the lease", holders
		}
	}
	return "", holders
}

// TestRestoredTable checks that at most one process holds the lease at a time and that fencing numbers never decrease while the table
// is restored from earlier copies, which lose acquisitions, renewals and releases and give out numbers again.
func TestRestoredTable(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	changes := 0
	for seed := range uint64(restoreSeeds) {
		violation, holders := walkRestores(seed)
		if violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
		changes += holders
	}
	t.Logf("%d walks, %d changes of the holder", restoreSeeds, changes)
	is.True(changes > 2*restoreSeeds)
}
