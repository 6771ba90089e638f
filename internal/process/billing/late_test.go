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

// alwaysHeld is a stub lease that is always held.
type alwaysHeld struct{}

func (alwaysHeld) Fence() (ident.Fence, table.Check, bool) { return 1, table.Check{Key: "lease"}, true }

// reportCounter counts reports.
type reportCounter struct{ count int }

func (c *reportCounter) Report(context.Context, platform.Report, platform.Gate) error {
	c.count++
	return nil
}

// TestLateReportsAreRecorded checks that a report is recorded as late if it is sent more than five minutes after the end of its
// window's grace period.
func TestLateReportsAreRecorded(t *testing.T) {
	t.Parallel()
	const length = 60
	for _, testCase := range []struct {
		delay     time.Duration
		lateCount int
	}{{lateThreshold, 0}, {lateThreshold + time.Second, 1}} {
		t.Run(fmt.Sprint(testCase.delay), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			ctx := context.Background()
			now := time.Unix(length*100, 0)
			clock := func() time.Time { return now }
			memory := table.NewMemory()
			usageLedger := ledger.New(ledger.Config{
				Table: memory, Incarnation: "e", WindowLength: func() int64 { return length }, Now: clock,
			})
			var customerID ident.Customer
			for number := 0; PartitionOf(customerID) != 0 || customerID == ""; number++ {
				customerID = ident.Customer(fmt.Sprint("customer-", number))
			}
			usageLedger.BeginAttempt("partner").RecordUsage(customerID, ledger.Usage{Requests: 1})
			stepAll(ctx, is, usageLedger.Step)
			now = now.Add(length*time.Second + testCase.delay)
			reports := &reportCounter{}
			events := event.New(event.Config{Process: "p"})
			closer := New(Config{
				Table: memory, Reports: reports, Lease: alwaysHeld{}, Events: events, Process: "p",
				WindowLength: func() int64 { return length }, Now: clock,
			})
			stepAll(ctx, is, closer.Step)
			is.Equal(reports.count, 1)
			lateCount := 0
			for _, recorded := range events.Events() {
				if recorded.Name == "window_reported_late" {
					lateCount++
				}
			}
			is.Equal(lateCount, testCase.lateCount)
		})
	}
}

// stepAll calls step until there is no more to do.
func stepAll(ctx context.Context, is *is.I, step func(context.Context) (bool, error)) {
	is.Helper()
	for range 1000 {
		more, err := step(ctx)
		is.NoErr(err)
		if !more {
			return
		}
	}
	is.Fail() // Work remains after 1000 steps.
}
