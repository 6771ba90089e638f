package follow_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/follow"
	"vanillapond/internal/process/table"
)

// slowFeed responds to each call after the next delay, with the changes that it has when it gets the call.
type slowFeed struct {
	table.Feed
	delays  []time.Duration
	calls   atomic.Int64
	changes []table.Change
}

func (f *slowFeed) Changes(context.Context, string, table.Revision, time.Duration) (table.Batch, error) {
	delay := f.delays[min(int(f.calls.Add(1))-1, len(f.delays)-1)]
	batch := table.Batch{Changes: f.changes}
	time.Sleep(delay)
	return batch, nil
}

// confirmHarness is a confirmer with a clock that starts at an hour.
type confirmHarness struct {
	*follow.Confirmer
	now func() clock.Reading
}

func newConfirmHarness(t *testing.T, feed *slowFeed, interval time.Duration) *confirmHarness {
	t.Helper()
	start := time.Now()
	now := func() clock.Reading { return clock.Reading(time.Hour + time.Since(start)) }
	h := &confirmHarness{now: now, Confirmer: follow.NewConfirmer(follow.ConfirmerConfig{
		Feed: feed, Table: "t", Now: now, Interval: func() time.Duration { return interval },
	})}
	h.Applied(follow.Update{Batch: table.Batch{Revision: 5}, CurrentAsOf: now()})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go h.Run(ctx)
	return h
}

// closed reports whether a channel is closed, when nothing runs any more.
func closed(done <-chan struct{}) bool {
	synctest.Wait()
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// TestConfirmationCountsFromWhenTheCallWasSent guards against a response that is taken for newer than it is, because it is read late: after a cut, or when
// the process stood still.
func TestConfirmationCountsFromWhenTheCallWasSent(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		feed := &slowFeed{delays: []time.Duration{10 * time.Second, time.Millisecond}}
		h := newConfirmHarness(t, feed, time.Second)
		time.Sleep(time.Minute)
		first := h.Confirm(ctx, h.now())
		synctest.Wait()
		time.Sleep(5 * time.Second)
		second := h.Confirm(ctx, h.now())
		is.True(!closed(first))
		time.Sleep(5 * time.Second)
		is.True(closed(first))
		is.True(!closed(second))
		time.Sleep(1100 * time.Millisecond)
		is.True(closed(second))
		is.Equal(feed.calls.Load(), int64(2))
		cancel()
	})
}

// TestConfirmationWaitsForChanges guards against a copy that counts as current although the feed has changes that it has not got.
func TestConfirmationWaitsForChanges(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		feed := &slowFeed{delays: []time.Duration{time.Millisecond}, changes: []table.Change{{Row: table.Row{Key: "t/a", Revision: 9}}}}
		h := newConfirmHarness(t, feed, time.Minute)
		asOf := h.AsOf()
		time.Sleep(time.Second)
		asked := h.now()
		done := h.Confirm(ctx, asked)
		time.Sleep(time.Second)
		h.Applied(follow.Update{Batch: table.Batch{Revision: 8}, CurrentAsOf: asOf})
		is.True(!closed(done))
		h.Applied(follow.Update{Batch: table.Batch{Revision: 9}, CurrentAsOf: asOf})
		is.True(closed(done))
		is.True(h.AsOf() >= asked)
		cancel()
	})
}

// TestConfirmationsShareCalls checks that the calls to the store do not grow with the requests that wait, and that none is made while none does.
func TestConfirmationsShareCalls(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		feed := &slowFeed{delays: []time.Duration{5 * time.Millisecond}}
		h := newConfirmHarness(t, feed, 100*time.Millisecond)
		for range 1000 {
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			defer cancel()
			h.Confirm(ctx, h.now())
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second)
		before := feed.calls.Load()
		is.True(before <= 11)
		time.Sleep(time.Minute)
		is.Equal(feed.calls.Load(), before)
	})
}
