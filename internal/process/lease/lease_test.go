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

// faulty is a table whose commits fail as set.
type faulty struct {
	*table.Memory
	// before refuses commits without effect; after loses the answers of those applied.
	before, after error
}

func (f *faulty) Commit(ctx context.Context, transaction table.Transaction) error {
	if f.before != nil {
		return f.before
	}
	if err := f.Memory.Commit(ctx, transaction); err != nil {
		return err
	}
	return f.after
}

// bench holds two processes over one table.
type bench struct {
	is    *is.I
	now   clock.Reading
	table *faulty
	a, b  *lease.Lease
}

func newBench(t *testing.T) *bench {
	t.Helper()
	s := &bench{is: is.New(t), table: &faulty{Memory: table.NewMemory()}, now: clock.Reading(time.Hour)}
	s.a, s.b = s.process("a"), s.process("b")
	return s
}

func (s *bench) process(name string) *lease.Lease {
	return s.placed(name, lease.Ranking{Members: 1})
}

func (s *bench) placed(name string, place lease.Ranking) *lease.Lease {
	return lease.New(lease.Config{
		Table: s.table, Name: "orders/d1", Process: ident.Process(name), Incarnation: ident.Incarnation(name),
		Term: term, Drift: drift, Now: func() clock.Reading { return s.now }, Ranking: func() lease.Ranking { return place },
	})
}

func (s *bench) step(l *lease.Lease) time.Duration { return l.Step(context.Background()) }

func (s *bench) holds(l *lease.Lease, fence ident.Fence) {
	s.is.Helper()
	got, _, ok := l.Held()
	s.is.True(ok)
	s.is.Equal(got, fence)
}

func (s *bench) lacks(l *lease.Lease) {
	s.is.Helper()
	_, _, ok := l.Held()
	s.is.True(!ok)
}

func TestAcquirerWaits(t *testing.T) {
	t.Parallel()
	s := newBench(t)
	s.step(s.a)
	s.holds(s.a, 1)
	s.now = s.now.Add(2 * time.Second)
	s.step(s.b)
	s.now = s.now.Add(term - 2*time.Second)
	s.lacks(s.a)
	s.now = s.now.Add(2 * time.Second)
	s.step(s.b)
	s.lacks(s.b)
	s.now = s.now.Add(drift)
	s.step(s.b)
	s.holds(s.b, 2)
	s.step(s.a)
	s.lacks(s.a)
	s.step(s.a)
	s.lacks(s.a)
	s.holds(s.b, 2)
}

func TestTermStartsBeforeSending(t *testing.T) {
	t.Parallel()
	s := newBench(t)
	s.step(s.a)
	_, until, _ := s.a.Held()
	s.is.Equal(until, s.now.Add(term))
	_, err := s.a.Check(s.now.Add(term-time.Second), time.Second)
	s.is.True(err != nil)
	_, err = s.a.Check(s.now.Add(term-time.Second), time.Second-1)
	s.is.NoErr(err)
}

func TestLostResponsesAreResolvedByReading(t *testing.T) {
	t.Parallel()
	s := newBench(t)
	s.table.after = table.ErrOutcomeUnknown
	s.step(s.a)
	s.holds(s.a, 1)
	s.now = s.now.Add(term - 1)
	s.step(s.a)
	s.now = s.now.Add(term - 1)
	s.holds(s.a, 1)
}

func TestOutageEndsTheTerm(t *testing.T) {
	t.Parallel()
	s := newBench(t)
	s.step(s.a)
	for _, failure := range []error{table.ErrRefused, table.ErrOutcomeUnknown} {
		s.table.before = failure
		s.now = s.now.Add(term / 2)
		s.step(s.a)
	}
	s.lacks(s.a)
	s.table.before = nil
	s.step(s.a)
	s.holds(s.a, 1)
}

func TestReleaseAllowsImmediateAcquisition(t *testing.T) {
	t.Parallel()
	s := newBench(t)
	s.step(s.a)
	s.now = s.now.Add(time.Second)
	s.step(s.a)
	s.step(s.b)
	s.is.NoErr(s.a.Release(context.Background()))
	s.lacks(s.a)
	s.step(s.b)
	s.holds(s.b, 2)
	s.step(s.a)
	s.now = s.now.Add(3 * term)
	s.step(s.a)
	s.lacks(s.a)
}

func TestConditionHoldsUntilNextAcquisition(t *testing.T) {
	t.Parallel()
	s := newBench(t)
	s.step(s.a)
	grant, err := s.a.Check(s.now, 0)
	s.is.NoErr(err)
	condition, err := s.a.Condition(grant)
	s.is.NoErr(err)
	write := table.Transaction{Checks: []table.Check{condition}, Writes: []table.Write{{Key: "x"}}}
	s.step(s.a)
	s.is.NoErr(s.table.Commit(context.Background(), write))
	s.step(s.b)
	s.now = s.now.Add(term + drift)
	s.step(s.b)
	s.holds(s.b, 2)
	s.is.Equal(s.table.Commit(context.Background(), write), table.ErrConflict)
}

// TestPollCost bounds the reads of one lease at the letter's size, and the time until somebody notices a vacancy.
func TestPollCost(t *testing.T) {
	t.Parallel()
	const members, leases = 410, 14
	is := is.New(t)
	names := make([]ident.Process, members)
	for index := range names {
		names[index] = ident.Process("entry-" + string(rune('a'+index/26)) + string(rune('a'+index%26)))
	}
	var most float64
	for index := range leases {
		name := "orders/" + string(rune('a'+index))
		var candidates int
		var looks float64
		for _, self := range names {
			place := lease.Rank(name, self, names)
			is.Equal(place.Members, members)
			if place.Rank < lease.Candidates {
				candidates++
			}
			s := newBench(t)
			s.step(s.a)
			watcher := s.placed(string(self), place)
			_ = s.step(watcher) + s.step(watcher) // The first pair has a random offset.
			pair := s.step(watcher) + s.step(watcher)
			looks += 2 / pair.Seconds()
		}
		is.Equal(candidates, lease.Candidates)
		is.True(looks < 2) // looks a second at one lease, each of two rows
		most = max(most, looks)
	}
	t.Logf("%d members: at most %.2f looks a second at one lease, of two rows each", members, most)
}

// TestAllCandidatesCrash lets every process start at once, kills the candidates, and bounds the time until another holds.
func TestAllCandidatesCrash(t *testing.T) {
	t.Parallel()
	const members, bound = 410, time.Minute
	s := newBench(t)
	start := s.now
	type watcher struct {
		lease *lease.Lease
		due   clock.Reading
	}
	var watchers []*watcher
	for rank := range members {
		place := lease.Ranking{Rank: rank, Members: members}
		watchers = append(watchers, &watcher{lease: s.placed(fmt.Sprintf("p%d", rank), place), due: start})
	}
	const killed = 10 * time.Minute
	for {
		next := slices.MinFunc(watchers, func(a, b *watcher) int { return cmp.Compare(a.due, b.due) })
		s.now = next.due
		if len(watchers) == members && s.now.Sub(start) >= killed {
			s.holds(watchers[0].lease, 1)
			watchers = watchers[lease.Candidates:]
			continue
		}
		next.due = s.now.Add(s.step(next.lease))
		if fence, _, ok := next.lease.Held(); ok && fence > 1 {
			break
		}
	}
	after := s.now.Sub(start) - killed
	t.Logf("held again %s after all candidates died, of %d members", after, members)
	const renewal = term / 3 * 9 / 8 // The longest time from the last renewal to the candidates' death.
	s.is.True(after >= term+drift-renewal && after < bound)
}

func BenchmarkRenewal(b *testing.B) {
	rows := table.NewMemory()
	l := lease.New(lease.Config{Table: rows, Name: "orders.d1", Process: "a", Incarnation: "a"})
	for b.Loop() {
		l.Step(context.Background())
	}
}

// TestRankCountsProcessesOnce holds that a process which is listed twice, under an old incarnation too, takes one place.
func TestRankCountsProcessesOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	once := []ident.Process{"a", "b", "c", "d"}
	for _, self := range once {
		is.Equal(lease.Rank("usage", self, append(once, "a", "a", "b", "c", "d")), lease.Rank("usage", self, once))
	}
}

// TestNextCandidatePolls holds that a process that watched slowly takes a vacant lease soon after those before it have gone, and
// that in a small fleet every process does.
func TestNextCandidatePolls(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name          string
		before, after lease.Ranking
	}{
		{"those before it have gone", lease.Ranking{Rank: 3, Members: 410}, lease.Ranking{Rank: 2, Members: 409}},
		{"small fleet", lease.Ranking{Rank: 3, Members: 4}, lease.Ranking{Rank: 3, Members: 4}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				rows := table.NewMemory()
				begun := time.Now()
				var gone atomic.Bool
				process := func(name ident.Process, place func() lease.Ranking) *lease.Lease {
					return lease.New(lease.Config{
						Table: rows, Name: "usage", Process: name, Incarnation: ident.Incarnation(name), Term: term, Ranking: place,
						Now: func() clock.Reading { return clock.Reading(time.Hour + time.Since(begun)) },
					})
				}
				first := process("first", func() lease.Ranking { return lease.Ranking{Members: c.before.Members} })
				next := process("next", func() lease.Ranking {
					if gone.Load() {
						return c.after
					}
					return c.before
				})
				holding, stop := context.WithCancel(t.Context())
				go first.Run(holding)
				time.Sleep(term)
				watching, end := context.WithCancel(t.Context())
				go next.Run(watching)
				time.Sleep(3 * term)
				stop()
				gone.Store(true)
				time.Sleep(2 * term) // The term, the drift, and a look each third of a term, with their spread.
				fence, _, held := next.Held()
				is.True(held)
				is.Equal(fence, ident.Fence(2))
				end()
			})
		})
	}
}
