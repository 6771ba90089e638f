package billing

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/event"
	"vanillapond/internal/process/ledger"
	"vanillapond/internal/process/platform"
	"vanillapond/internal/process/table"
	"vanillapond/pkg/ident"
)

// inCharge is a lease that is always held.
type inCharge struct{}

func (inCharge) Fence() (ident.Fence, table.Check, bool) { return 1, table.Check{Key: "lease"}, true }

// taken counts reports.
type taken struct{ count int }

func (t *taken) Report(context.Context, platform.Report) error {
	t.count++
	return nil
}

// TestLateReportsAreRecorded holds that a report is called late from five minutes after its window's grace.
func TestLateReportsAreRecorded(t *testing.T) {
	t.Parallel()
	const length = 60
	for _, c := range []struct {
		after time.Duration
		late  int
	}{{lateAfter, 0}, {lateAfter + time.Second, 1}} {
		t.Run(fmt.Sprint(c.after), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			ctx := context.Background()
			now := time.Unix(length*100, 0)
			clock := func() time.Time { return now }
			rows := table.NewMemory()
			used := ledger.New(ledger.Config{Table: rows, Incarnation: "e", WindowLength: func() int64 { return length }, Now: clock})
			var id ident.Customer
			for number := 0; PartitionOf(id) != 0 || id == ""; number++ {
				id = ident.Customer(fmt.Sprint("customer-", number))
			}
			used.BeginAttempt("partner").RecordUsage(id, ledger.Usage{Requests: 1})
			stepAll(ctx, is, used.Step)
			now = now.Add(length*time.Second + c.after)
			reports := &taken{}
			events := event.New(event.Config{Process: "p"})
			closer := New(Config{
				Table: rows, Reports: reports, Lease: inCharge{}, Events: events, Process: "p",
				WindowLength: func() int64 { return length }, Now: clock,
			})
			stepAll(ctx, is, closer.Step)
			is.Equal(reports.count, 1)
			late := 0
			for _, recorded := range events.Events() {
				if recorded.Name == "window_reported_late" {
					late++
				}
			}
			is.Equal(late, c.late)
		})
	}
}

// stepAll makes steps until there is no more to do.
func stepAll(ctx context.Context, is *is.I, step func(context.Context) (bool, error)) {
	is.Helper()
	for range 1000 {
		more, err := step(ctx)
		is.NoErr(err)
		if !more {
			return
		}
	}
	is.Fail() // no end
}
