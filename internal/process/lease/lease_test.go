package lease_test

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/lease"
	"vanillapond/internal/process/table"
	"vanillapond/pkg/ident"
)

const (
	term  = 10 * time.Second
	drift = time.Second
)

// faultyTable is a table whose commits fail with the set errors.
type faultyTable struct {
	*table.Memory
	// before is returned instead of committing; after is returned in place of the response to an applied commit.
	before, after error
}

func (f *faultyTable) Commit(ctx context.Context, transaction table.Transaction) error {
	if f.before != nil {
		return f.before
	}
	if err := f.Memory.Commit(ctx, transaction); err != nil {
		return err
	}
	return f.after
}

// harness runs two processes with one table and one clock.
type harness struct {
	is    *is.I
	now   clock.Reading
	table *faultyTable
	a, b  *lease.Lease
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{is: is.New(t), table: &faultyTable{Memory: table.NewMemory()}, now: clock.Reading(time.Hour)}
	h.a, h.b = h.process("a"), h.process("b")
	return h
}

func (h *harness) process(name string) *lease.Lease {
	return h.ranked(name, lease.Ranking{Members: 1})
}

func (h *harness) ranked(name string, ranking lease.Ranking) *lease.Lease {
	return lease.New(lease.Config{
		Table: h.table, Name: "orders/d1", Process: ident.Process(name), Incarnation: ident.Incarnation(name),
		Term: term, Drift: drift, Now: func() clock.Reading { return h.now }, Ranking: func() lease.Ranking { return ranking },
	})
}

func (h *harness) step(l *lease.Lease) time.Duration { return l.Step(context.Background()) }

func (h *harness) checkHeld(l *lease.Lease, fence ident.Fence) {
	h.is.Helper()
	got, _, ok := l.Held()
	h.is.True(ok)
	h.is.Equal(got, fence)
}

func (h *harness) checkNotHeld(l *lease.Lease) {
	h.is.Helper()
	_, _, ok := l.Held()
	h.is.True(!ok)
}

func TestAcquirerWaits(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	h.step(h.a)
	h.checkHeld(h.a, 1)
	h.now = h.now.Add(2 * time.Second)
	h.step(h.b)
	h.now = h.now.Add(term - 2*time.Second)
	h.checkNotHeld(h.a)
	h.now = h.now.Add(2 * time.Second)
	h.step(h.b)
	h.checkNotHeld(h.b)
	h.now = h.now.Add(drift)
	h.step(h.b)
	h.checkHeld(h.b, 2)
	h.step(h.a)
	h.checkNotHeld(h.a)
	h.step(h.a)
	h.checkNotHeld(h.a)
	h.checkHeld(h.b, 2)
}

func TestTermStartsBeforeSending(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	h.step(h.a)
	_, until, _ := h.a.Held()
	h.is.Equal(until, h.now.Add(term))
	_, err := h.a.Check(h.now.Add(term-time.Second), time.Second)
	h.is.True(err != nil)
	_, err = h.a.Check(h.now.Add(term-time.Second), time.Second-1)
	h.is.NoErr(err)
}

func TestLostResponsesAreResolvedByReading(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	h.table.after = table.ErrOutcomeUnknown
	h.step(h.a)
	h.checkHeld(h.a, 1)
	h.now = h.now.Add(term - 1)
	h.step(h.a)
	h.now = h.now.Add(term - 1)
	h.checkHeld(h.a, 1)
}

func TestOutageEndsTheTerm(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	h.step(h.a)
	for _, failure := range []error{table.ErrRefused, table.ErrOutcomeUnknown} {
		h.table.before = failure
		h.now = h.now.Add(term / 2)
		h.step(h.a)
	}
	h.checkNotHeld(h.a)
	h.table.before = nil
	h.step(h.a)
	h.checkHeld(h.a, 1)
}

func TestReleaseAllowsImmediateAcquisition(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	h.step(h.a)
	h.now = h.now.Add(time.Second)
	h.step(h.a)
	h.step(h.b)
	h.is.NoErr(h.a.Release(context.Background()))
	h.checkNotHeld(h.a)
	h.step(h.b)
	h.checkHeld(h.b, 2)
	h.step(h.a)
	h.now = h.now.Add(3 * term)
	h.step(h.a)
	h.checkNotHeld(h.a)
}

func TestConditionHoldsUntilNextAcquisition(t *testing.T) {
	t.Parallel()
	h := newHarness(t)
	h.step(h.a)
	grant, err := h.a.Check(h.now, 0)
	h.is.NoErr(err)
	condition, err := h.a.Condition(grant)
	h.is.NoErr(err)
	write := table.Transaction{Checks: []table.Check{condition}, Writes: []table.Write{{Key: "x"}}}
	h.step(h.a)
	h.is.NoErr(h.table.Commit(context.Background(), write))
	h.step(h.b)
	h.now = h.now.Add(term + drift)
	h.step(h.b)
	h.checkHeld(h.b, 2)
	h.is.Equal(h.table.Commit(context.Background(), write), table.ErrConflict)
}

// TestPollCost verifies that at the specified size of 410 processes and 14 leases, all processes together poll each lease less than
// twice a second, and that each lease has exactly the intended number of candidates.
func TestPollCost(t *testing.T) {
	t.Parallel()
	const members, leases = 410, 14
	is := is.New(t)
	names := make([]ident.Process, members)
	for index := range names {
		names[index] = ident.Process("entry-" + string(rune('a'+index/26)) + string(rune('a'+index%26)))
	}
	var maxRate float64
	for index := range leases {
		name := "orders/" + string(rune('a'+index))
		var candidates int
		var rate float64
		for _, self := range names {
			ranking := lease.Rank(name, self, names)
			is.Equal(ranking.Members, members)
			if ranking.Rank < lease.Candidates {
				candidates++
			}
			h := newHarness(t)
			h.step(h.a)
			poller := h.ranked(string(self), ranking)
			_ = h.step(poller) + h.step(poller) // The delay after the first pair is a random offset.
			pair := h.step(poller) + h.step(poller)
			rate += 2 / pair.Seconds()
		}
		is.Equal(candidates, lease.Candidates)
		is.True(rate < 2) // Polls per second of one lease, each reading two rows.
		maxRate = max(maxRate, rate)
	}
	t.Logf("%d members: at most %.2f polls per second of one lease, each reading two rows", members, maxRate)
}

// TestAllCandidatesCrash starts 410 processes at the same time and crashes all candidates ten minutes later. It verifies that
// another process acquires the lease within a minute, and not before the rest of the term and the drift have passed.
func TestAllCandidatesCrash(t *testing.T) {
	t.Parallel()
	const members, bound = 410, time.Minute
	h := newHarness(t)
	start := h.now
	type poller struct {
		lease *lease.Lease
		due   clock.Reading
	}
	var pollers []*poller
	for rank := range members {
		ranking := lease.Ranking{Rank: rank, Members: members}
		pollers = append(pollers, &poller{lease: h.ranked(fmt.Sprintf("p%d", rank), ranking), due: start})
	}
	const crashAt = 10 * time.Minute
	for {
		next := slices.MinFunc(pollers, func(a, b *poller) int { return cmp.Compare(a.due, b.due) })
		h.now = next.due
		if len(pollers) == members && h.now.Sub(start) >= crashAt {
			h.checkHeld(pollers[0].lease, 1)
			pollers = pollers[lease.Candidates:]
			continue
		}
		next.due = h.now.Add(h.step(next.lease))
		if fence, _, ok := next.lease.Held(); ok && fence > 1 {
			break
		}
	}
	after := h.now.Sub(start) - crashAt
	t.Logf("lease acquired %s after all candidates crashed, %d members", after, members)
	const maxRenewalInterval = term / 3 * 9 / 8 // The longest time from the last renewal to the crash.
	h.is.True(after >= term+drift-maxRenewalInterval && after < bound)
}

func BenchmarkRenewal(b *testing.B) {
	rows := table.NewMemory()
	l := lease.New(lease.Config{Table: rows, Name: "orders.d1", Process: "a", Incarnation: "a"})
	for b.Loop() {
		l.Step(context.Background())
	}
}

// TestRankCountsProcessesOnce verifies that a process that is listed twice, such as with an old incarnation, is counted once.
func TestRankCountsProcessesOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	unique := []ident.Process{"a", "b", "c", "d"}
	for _, self := range unique {
		is.Equal(lease.Rank("usage", self, append(unique, "a", "a", "b", "c", "d")), lease.Rank("usage", self, unique))
	}
}

// TestNextCandidatePolls verifies that a process that polled slowly becomes a candidate when a process of a lower rank is gone, and
// then acquires a vacant lease soon. In a small fleet, every process does so.
func TestNextCandidatePolls(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name          string
		before, after lease.Ranking
	}{
		{"process of a lower rank is gone", lease.Ranking{Rank: 3, Members: 410}, lease.Ranking{Rank: 2, Members: 409}},
		{"small fleet", lease.Ranking{Rank: 3, Members: 4}, lease.Ranking{Rank: 3, Members: 4}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				rows := table.NewMemory()
				started := time.Now()
				var crashed atomic.Bool
				process := func(name ident.Process, ranking func() lease.Ranking) *lease.Lease {
					return lease.New(lease.Config{
						Table: rows, Name: "usage", Process: name, Incarnation: ident.Incarnation(name), Term: term, Ranking: ranking,
						Now: func() clock.Reading { return clock.Reading(time.Hour + time.Since(started)) },
					})
				}
				first := process("first", func() lease.Ranking { return lease.Ranking{Members: c.before.Members} })
				next := process("next", func() lease.Ranking {
					if crashed.Load() {
						return c.after
					}
					return c.before
				})
				firstContext, stopFirst := context.WithCancel(t.Context())
				go first.Run(firstContext)
				time.Sleep(term)
				nextContext, stopNext := context.WithCancel(t.Context())
				go next.Run(nextContext)
				time.Sleep(3 * term)
				stopFirst()
				crashed.Store(true)
				time.Sleep(2 * term) // Covers the term, the drift and a poll each third of a term, with jitter.
				fence, _, held := next.Held()
				is.True(held)
				is.Equal(fence, ident.Fence(2))
				stopNext()
			})
		})
	}
}
