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

// newManager returns a manager whose wall-clock time is *wall.
func newManager(rows table.Table, wall *time.Time) *Manager {
	return New(Config{Table: rows, Events: event.New(event.Config{}), Now: func() time.Time { return *wall }})
}

func acquire(m *Manager, id ident.Request, customer ident.Customer) (Result, *Handle, *Response) {
	return m.Acquire(context.Background(), Request{
		ID: id, Customer: customer, IdempotencyKey: "key", RequestDigest: "b", Timeout: time.Minute,
	})
}

// TestRetention verifies that a claim is kept for its retention period and deleted after it.
func TestRetention(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx := context.Background()
	wall := time.Unix(1e9, 0)
	rows := table.NewMemory()
	manager := newManager(rows, &wall)
	_, handle, _ := acquire(manager, "r1", "school")
	handle.Complete(ctx, Response{Status: 201, Body: make([]byte, MaxStoredBody+1)})
	result, _, response := acquire(manager, "r2", "school")
	is.Equal(result, ResultRecorded)
	is.True(response.BodyDropped) // A body above the size limit is not stored.
	result, _, _ = acquire(manager, "r3", "parish")
	is.Equal(result, ResultAcquired) // Keys of different customers don't conflict.
	wall = wall.Add(Retention - time.Second)
	manager.Sweep(ctx, Prefix)
	kept, err := rows.Scan(ctx, Prefix, "", 10)
	is.NoErr(err)
	is.Equal(len(kept), 2)
	wall = wall.Add(2 * time.Second)
	manager.Sweep(ctx, Prefix)
	kept, err = rows.Scan(ctx, Prefix, "", 10)
	is.NoErr(err)
	is.Equal(len(kept), 0)
}

// TestLease verifies that a claim whose owner records no outcome is marked as unknown after its lease and not before.
//
// The owner may still record the outcome afterwards.
func TestLease(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	wall := time.Unix(1e9, 0)
	rows := table.NewMemory()
	_, handle, _ := acquire(newManager(rows, &wall), "r1", "school")
	other := newManager(rows, &wall)
	result, _, _ := acquire(other, "r2", "school")
	is.Equal(result, ResultInProgress)
	lease := time.Minute + leaseMargin
	is.Equal(len(other.watch.removeExpired(clock.Boot().Add(lease-time.Second))), 0)
	expired := other.watch.removeExpired(clock.Boot().Add(lease + time.Second))
	is.Equal(len(expired), 1)
	is.NoErr(rows.Commit(context.Background(), abandonTransaction(expired[0].row, expired[0].record)))
	result, _, _ = acquire(other, "r3", "school")
	is.Equal(result, ResultUnknown)
	handle.Complete(context.Background(), Response{Status: 201}) // The owner was only delayed and now records the outcome.
	result, _, _ = acquire(other, "r4", "school")
	is.Equal(result, ResultRecorded)
}

// TestRelease verifies that the key of a request that provably did not run can be used again.
func TestRelease(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	wall := time.Unix(1e9, 0)
	rows := table.NewMemory()
	manager := newManager(rows, &wall)
	_, handle, _ := acquire(manager, "r1", "school")
	handle.Fail(context.Background(), outcome.NotRun)
	result, _, _ := acquire(manager, "r2", "school")
	is.Equal(result, ResultAcquired)
}
