package claim

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"vanillapond/internal/process/clock"
	"vanillapond/internal/process/event"
	"vanillapond/internal/process/outcome"
	"vanillapond/internal/process/table"
	"vanillapond/pkg/ident"
)

// entry returns the claims of an entry whose wall clock is wall.
func entry(rows table.Table, wall *time.Time) *Manager {
	return New(Config{Table: rows, Events: event.New(event.Config{}), Now: func() time.Time { return *wall }})
}

func take(c *Manager, id ident.Request, customer ident.Customer) (Result, *Handle, *Response) {
	return c.Acquire(context.Background(), Request{ID: id, Customer: customer, IdempotencyKey: "key", RequestDigest: "b", Timeout: time.Minute})
}

// TestRetention checks that a claim holds for its retention and is forgotten after it.
func TestRetention(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx := context.Background()
	wall := time.Unix(1e9, 0)
	rows := table.NewMemory()
	claims := entry(rows, &wall)
	_, held, _ := take(claims, "r1", "school")
	held.Complete(ctx, Response{Status: 201, Body: make([]byte, MaxStoredBody+1)})
	verdict, _, answer := take(claims, "r2", "school")
	is.Equal(verdict, ResultRecorded)
	is.True(answer.BodyDropped) // A body beyond the bound is not kept.
	verdict, _, _ = take(claims, "r3", "parish")
	is.Equal(verdict, ResultAcquired) // Another customer's key is another key.
	wall = wall.Add(Retention - time.Second)
	claims.Sweep(ctx, Prefix)
	kept, err := rows.Scan(ctx, Prefix, "", 10)
	is.NoErr(err)
	is.Equal(len(kept), 2)
	wall = wall.Add(2 * time.Second)
	claims.Sweep(ctx, Prefix)
	kept, err = rows.Scan(ctx, Prefix, "", 10)
	is.NoErr(err)
	is.Equal(len(kept), 0)
}

// TestLease checks that a claim whose owner has vanished becomes unknown after its lease and not before.
func TestLease(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	wall := time.Unix(1e9, 0)
	rows := table.NewMemory()
	_, held, _ := take(entry(rows, &wall), "r1", "school")
	other := entry(rows, &wall)
	verdict, _, _ := take(other, "r2", "school")
	is.Equal(verdict, ResultInProgress)
	lease := time.Minute + leaseMargin
	is.Equal(len(other.watch.due(clock.Boot().Add(lease-time.Second))), 0)
	due := other.watch.due(clock.Boot().Add(lease + time.Second))
	is.Equal(len(due), 1)
	is.NoErr(rows.Commit(context.Background(), abandoned(due[0].row, due[0].record)))
	verdict, _, _ = take(other, "r3", "school")
	is.Equal(verdict, ResultUnknown)
	held.Complete(context.Background(), Response{Status: 201}) // The owner wakes and knows.
	verdict, _, _ = take(other, "r4", "school")
	is.Equal(verdict, ResultRecorded)
}

// TestRelease checks that a request that was proved not to have run leaves its key free.
func TestRelease(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	wall := time.Unix(1e9, 0)
	rows := table.NewMemory()
	claims := entry(rows, &wall)
	_, held, _ := take(claims, "r1", "school")
	held.Fail(context.Background(), outcome.NotRun)
	verdict, _, _ := take(claims, "r2", "school")
	is.Equal(verdict, ResultAcquired)
}
