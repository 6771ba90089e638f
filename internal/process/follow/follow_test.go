package follow_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/follow"
	"vanillapond/internal/process/table"
)

// scriptedFeed responds to each call with the result of the next function in calls.
type scriptedFeed struct {
	t     *testing.T
	calls []func(since table.Revision, list bool) (table.Batch, error)
	next  int
	// pollTimeouts are the timeouts of the calls to Changes.
	pollTimeouts []time.Duration
	done         context.CancelFunc
}

func (s *scriptedFeed) respond(since table.Revision, list bool) (table.Batch, error) {
	if s.next == len(s.calls) {
		s.done()
		return table.Batch{}, context.Canceled
	}
	s.next++
	return s.calls[s.next-1](since, list)
}

// List implements table.Feed.
func (s *scriptedFeed) List(context.Context, string) (table.Batch, error) { return s.respond(0, true) }

// Changes implements table.Feed.
func (s *scriptedFeed) Changes(_ context.Context, _ string, since table.Revision, wait time.Duration) (table.Batch, error) {
	s.pollTimeouts = append(s.pollTimeouts, wait)
	return s.respond(since, false)
}

// TestFollow verifies that Run lists the table once, continues from its revision also after failed calls, and lists again when the
// history is no longer available.
func TestFollow(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		errUnavailable := errors.New("away")
		expect := func(list bool, since table.Revision, batch table.Batch, err error) func(table.Revision, bool) (table.Batch, error) {
			return func(gotSince table.Revision, gotList bool) (table.Batch, error) {
				is.Equal(gotList, list)
				is.Equal(gotSince, since)
				return batch, err
			}
		}
		row := table.Change{Row: table.Row{Key: "t/a", Revision: 4}}
		feed := &scriptedFeed{t: t, done: cancel, calls: []func(table.Revision, bool) (table.Batch, error){
			expect(true, 0, table.Batch{}, errUnavailable),
			expect(true, 0, table.Batch{Revision: 3}, nil),
			expect(false, 3, table.Batch{Revision: 4, Changes: []table.Change{row}}, nil),
			expect(false, 4, table.Batch{}, errUnavailable),
			expect(false, 4, table.Batch{}, table.ErrHistoryUnavailable),
			expect(true, 0, table.Batch{Revision: 9, Changes: []table.Change{row}}, nil),
			expect(false, 9, table.Batch{Revision: 9}, nil),
		}}
		var snapshots []bool
		failures := 0
		started := time.Now()
		follow.Run(ctx, follow.Config{
			Feed: feed, Table: "t", PollTimeout: time.Second, Now: func() clock.Reading { return clock.Reading(time.Since(started)) },
			Apply:   func(update follow.Update) { snapshots = append(snapshots, update.Snapshot) },
			OnError: func(error) { failures++ },
		})
		is.Equal(snapshots, []bool{true, false, true, false})
		is.Equal(failures, 3)
		// After a failed call, the next long poll has a short timeout, so that the copy is soon known to be current.
		is.Equal(feed.pollTimeouts, []time.Duration{time.Second, time.Second, time.Millisecond, time.Second, time.Second})
	})
}

// TestRecovered verifies that the retry delay ends as soon as the store responds to other calls again.
func TestRecovered(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		started := time.Now()
		recovered := make(chan struct{})
		var recoveredAt, respondedAt time.Duration
		fail := func(table.Revision, bool) (table.Batch, error) { return table.Batch{}, errors.New("away") }
		succeed := func(table.Revision, bool) (table.Batch, error) {
			respondedAt = time.Since(started)
			return table.Batch{Revision: 1}, nil
		}
		failThenRecover := func(table.Revision, bool) (table.Batch, error) {
			time.AfterFunc(10*time.Millisecond, func() {
				recoveredAt = time.Since(started)
				close(recovered)
			})
			return table.Batch{}, errors.New("away")
		}
		feed := &scriptedFeed{t: t, done: cancel, calls: []func(table.Revision, bool) (table.Batch, error){fail, fail, fail, fail, failThenRecover, succeed}}
		follow.Run(ctx, follow.Config{
			Feed: feed, Table: "t", Recovered: func() <-chan struct{} { return recovered }, Apply: func(follow.Update) {},
			Now: func() clock.Reading { return clock.Reading(time.Since(started)) },
		})
		is.Equal(respondedAt, recoveredAt)
	})
}
