package usage_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/table"
	"vanillapond/internal/process/usage"
	"vanillapond/pkg/ident"
)

// restoredTable is a table that loses all rows in a restore.
type restoredTable struct {
	*table.Memory
	era table.Era
}

// Read implements table.Table.
func (r *restoredTable) Read(ctx context.Context, keys ...table.Key) ([]table.Row, error) {
	rows, err := r.Memory.Read(ctx, keys...)
	for index := range rows {
		rows[index].Era = r.era
	}
	return rows, err
}

func (r *restoredTable) restore() { r.Memory, r.era = table.NewMemory(), r.era+1 }

// restoreHarness returns a reporter of the table that first saw the table's era at eraSince.
func restoreHarness(store table.Table, platform *fakePlatform, now, eraSince time.Time, fence ident.Fence) *harness {
	h := newHarness(store, platform, now, fence)
	h.eraSince = eraSince
	return h
}

// countsOf returns the counts of the reports of a window.
func (p *fakePlatform) countsOf(of usage.Window) []int64 {
	var counts []int64
	for _, report := range p.reports {
		if report.window == of {
			counts = append(counts, report.count)
		}
	}
	return counts
}

// instanceWith returns the complete counts of one instance for a window and the next one.
func instanceWith(count int64) []usage.InstanceCounts {
	return []usage.InstanceCounts{{
		Counts: usage.Counts{window: {"c": count}, window + 1: {"c": count}}, Until: window.End(windowLength).Add(time.Hour),
	}}
}

// TestWindowFrozenBeforeRestore checks that a window whose frozen counts were sent and then lost in a restore of the table is never
// sent with other counts: another process leaves it out, and the process that froze it sends the same counts again.
func TestWindowFrozenBeforeRestore(t *testing.T) {
	t.Parallel()
	end := window.End(windowLength)
	for _, sameProcess := range []bool{false, true} {
		is := is.New(t)
		platform := &fakePlatform{}
		store := &restoredTable{Memory: table.NewMemory(), era: 1}
		first := restoreHarness(store, platform, end.Add(2*time.Second), end.Add(-time.Minute), 1)
		first.instances = instanceWith(5)
		is.NoErr(first.Report(t.Context()))
		is.Equal(platform.countsOf(window), []int64{5})

		store.restore()
		restoredAt := end.Add(3 * time.Second)
		second := first
		if !sameProcess {
			second = restoreHarness(store, platform, end, restoredAt, 2)
		}
		second.lease.fence, second.now = 2, end.Add(windowLength+2*time.Second)
		second.instances = instanceWith(7)
		is.NoErr(second.Report(t.Context()))
		if sameProcess {
			is.Equal(platform.countsOf(window), []int64{5, 5})
		} else {
			is.Equal(platform.countsOf(window), []int64{5})
		}
		// The next window ended after the restore, so it was not frozen before.
		is.Equal(platform.countsOf(window+1), []int64{7})
	}
}

// TestTakeoverWithoutRestore checks that a process that takes over in the same era reports what its predecessor left, also windows
// that ended before it started.
func TestTakeoverWithoutRestore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	end := window.End(windowLength)
	platform := &fakePlatform{}
	store := &restoredTable{Memory: table.NewMemory(), era: 1}
	first := restoreHarness(store, platform, end.Add(2*time.Second), end.Add(-time.Minute), 1)
	first.instances = instanceWith(5)
	is.NoErr(first.Report(t.Context()))
	started := end.Add(windowLength + time.Second)
	second := restoreHarness(store, platform, started.Add(time.Second), started, 2)
	second.instances = instanceWith(7)
	is.NoErr(second.Report(t.Context()))
	is.Equal(platform.countsOf(window+1), []int64{7})
}

// TestTakeoverBeforeFirstReport guards against windows that are taken for lost in a restore that never was: the first holder of the lease ends before it
// has reported any window, and the next one started after the windows had ended.
func TestTakeoverBeforeFirstReport(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	end := window.End(windowLength)
	platform := &fakePlatform{}
	store := &restoredTable{Memory: table.NewMemory(), era: 1}
	first := restoreHarness(store, platform, end.Add(time.Second), end.Add(-time.Second), 1)
	first.instances = []usage.InstanceCounts{{Counts: usage.Counts{}, Until: end.Add(-time.Second)}}
	is.NoErr(first.Report(t.Context()))
	is.Equal(len(platform.countsOf(window)), 0)
	started := end.Add(windowLength)
	second := restoreHarness(store, platform, started.Add(time.Second), started, 2)
	second.instances = instanceWith(7)
	is.NoErr(second.Report(t.Context()))
	is.Equal(platform.countsOf(window), []int64{7})
}
