package guard

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/connection/link"
	"vanillapond/internal/request/order"
	"vanillapond/pkg/ident"
)

func openRequest(class ident.Class, tier ident.Tier, budget time.Duration) *link.Open {
	return &link.Open{Customer: "school", Class: class, Tier: tier, Weight: 1, BudgetMS: budget.Milliseconds()}
}

// TestAdmission checks that waiting requests start in tier order, are rejected past their start deadline and are removed when
// their context is canceled.
func TestAdmission(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		a := newAdmission(1)
		running := a.enqueue(time.Now(), openRequest("drafting", 2, time.Minute))
		decision, decided := running.wait(ctx)
		is.True(decided)
		is.Equal(decision.Outcome, order.Started)

		expired := a.enqueue(time.Now(), openRequest("chat", 4, time.Second))
		drafting := a.enqueue(time.Now(), openRequest("drafting", 2, time.Minute))
		issuance := a.enqueue(time.Now(), openRequest("issuance", 0, time.Minute))
		abandoned := a.enqueue(time.Now(), openRequest("issuance", 0, time.Minute))

		startedAt := time.Now()
		decision, decided = expired.wait(ctx)
		is.True(decided)
		is.Equal(decision.Outcome, order.Late)
		is.Equal(time.Since(startedAt), time.Second)

		cancelled, cancel := context.WithCancel(ctx)
		cancel()
		_, decided = abandoned.wait(cancelled)
		is.True(!decided)

		running.release(link.Usage{Completion: 100, Requests: 1})
		decision, decided = issuance.wait(ctx)
		is.True(decided)
		is.Equal(decision.Outcome, order.Started)
		issuance.release(link.Usage{Completion: 100, Requests: 1})
		decision, decided = drafting.wait(ctx)
		is.True(decided)
		is.Equal(decision.Outcome, order.Started)
		drafting.release(link.Usage{Completion: 100, Requests: 1})
		runningCount, waitingCount := a.counts()
		is.Equal(runningCount, 0)
		is.Equal(waitingCount, 0)
		is.Equal(len(a.jobs), 0)
	})
}
