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

// scripted answers each call by the next function.
type scripted struct {
	t     *testing.T
	calls []func(since table.Revision, list bool) (table.Batch, error)
	next  int
	// waits are those of the questions for changes.
	waits []time.Duration
	done  context.CancelFunc
}

func (s *scripted) answer(since table.Revision, list bool) (table.Batch, error) {
	if s.next == len(s.calls) {
		s.done()
		return table.Batch{}, context.Canceled
	}
	s.next++
	return s.calls[s.next-1](since, list)
}

// List implements table.Feed.
func (s *scripted) List(context.Context, string) (table.Batch, error) { return s.answer(0, true) }

// Changes implements table.Feed.
func (s *scripted) Changes(_ context.Context, _ string, since table.Revision, wait time.Duration) (table.Batch, error) {
	s.waits = append(s.waits, wait)
	return s.answer(since, false)
}

// TestFollow lists once, resumes where it stands, goes on after failures, and lists again when history is forgotten.
func TestFollow(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		failed := errors.New("away")
		expect := func(list bool, since table.Revision, batch table.Batch, err error) func(table.Revision, bool) (table.Batch, error) {
			return func(gotSince table.Revision, gotList bool) (table.Batch, error) {
				is.Equal(gotList, list)
				is.Equal(gotSince, since)
				return batch, err
			}
		}
		row := table.Change{Row: table.Row{Key: "t/a", Revision: 4}}
		feed := &scripted{t: t, done: cancel, calls: []func(table.Revision, bool) (table.Batch, error){
			expect(true, 0, table.Batch{}, failed),
			expect(true, 0, table.Batch{Revision: 3}, nil),
			expect(false, 3, table.Batch{Revision: 4, Changes: []table.Change{row}}, nil),
			expect(false, 4, table.Batch{}, failed),
			expect(false, 4, table.Batch{}, table.ErrHistoryUnavailable),
			expect(true, 0, table.Batch{Revision: 9, Changes: []table.Change{row}}, nil),
			expect(false, 9, table.Batch{Revision: 9}, nil),
		}}
		var whole []bool
		failures := 0
		begun := time.Now()
		follow.Run(ctx, follow.Config{
			Feed: feed, Table: "t", PollTimeout: time.Second, Now: func() clock.Reading { return clock.Reading(time.Since(begun)) },
			Apply:   func(news follow.Update) { whole = append(whole, news.Snapshot) },
			OnError: func(error) { failures++ },
		})
		is.Equal(whole, []bool{true, false, true, false})
		is.Equal(failures, 3)
		// After a failure the next question does not wait, so that it soon shows how the table stands.
		is.Equal(feed.waits, []time.Duration{time.Second, time.Second, time.Millisecond, time.Second, time.Second})
	})
}

// TestRecovered holds that a follower whose calls failed asks again as soon as other calls are answered.
func TestRecovered(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		begun := time.Now()
		regained := make(chan struct{})
		var back, answered time.Duration
		away := func(table.Revision, bool) (table.Batch, error) { return table.Batch{}, errors.New("away") }
		answer := func(table.Revision, bool) (table.Batch, error) {
			answered = time.Since(begun)
			return table.Batch{Revision: 1}, nil
		}
		last := func(table.Revision, bool) (table.Batch, error) {
			time.AfterFunc(10*time.Millisecond, func() {
				back = time.Since(begun)
				close(regained)
			})
			return table.Batch{}, errors.New("away")
		}
		feed := &scripted{t: t, done: cancel, calls: []func(table.Revision, bool) (table.Batch, error){away, away, away, away, last, answer}}
		follow.Run(ctx, follow.Config{
			Feed: feed, Table: "t", Recovered: func() <-chan struct{} { return regained }, Apply: func(follow.Update) {},
			Now: func() clock.Reading { return clock.Reading(time.Since(begun)) },
		})
		is.Equal(answered, back)
	})
}
