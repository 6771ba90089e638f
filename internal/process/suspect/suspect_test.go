package suspect_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"vanillapond/internal/process/suspect"
	"vanillapond/internal/process/table"
)

var start = time.Unix(1e9, 0)

// TestStatus verifies the status of a request from its first loss through a complete response to its refusal and the end of the
// refusal.
func TestStatus(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	registry := suspect.NewRegistry()
	status := func(at time.Time) suspect.Status {
		found, _ := registry.Status(1, at)
		return found
	}
	is.Equal(status(start), suspect.Allowed)
	registry.RecordLoss(1, "a", start)
	registry.RecordLoss(1, "a", start) // The same loss, recorded twice.
	is.Equal(status(start), suspect.Suspected)
	is.True(registry.TryBegin(1))
	is.True(!registry.TryBegin(1)) // Only one attempt at a time.
	registry.End(1)
	registry.Clear(1)
	is.Equal(status(start), suspect.Allowed)
	registry.RecordLoss(1, "b", start)
	is.Equal(status(start), suspect.Suspected) // The cleared loss no longer counts.
	registry.RecordLoss(1, "c", start)
	is.Equal(status(start.Add(suspect.Penalty-time.Second)), suspect.Blocked)
	is.Equal(status(start.Add(suspect.Penalty)), suspect.Allowed)
}

// TestManyClearedLosses guards against requests that are never refused once many of their losses were cleared: those took the place of later ones.
func TestManyClearedLosses(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	registry := suspect.NewRegistry()
	for number := range 200 {
		registry.RecordLoss(1, suspect.Loss(fmt.Sprintf("sidecar/%03d", number)), start)
		registry.Clear(1)
	}
	for _, loss := range []suspect.Loss{"sidecar/200", "sidecar/201"} {
		found, _ := registry.Status(1, start)
		is.True(found != suspect.Blocked)
		registry.RecordLoss(1, loss, start)
	}
	found, _ := registry.Status(1, start)
	is.Equal(found, suspect.Blocked)
	for _, suspicion := range registry.TakeUnshared() {
		is.NoErr(suspicion.Check())
		is.True(slices.Contains(suspicion.Losses, "sidecar/201"))
	}
}

// TestMerge verifies that suspicions may be merged more than once, in any order and grouping.
func TestMerge(t *testing.T) {
	t.Parallel()
	losses := rapid.SliceOfN(rapid.SampledFrom([]suspect.Loss{"a", "b", "c", "d"}), 0, 4)
	suspicions := rapid.Custom(func(t *rapid.T) suspect.Suspicion {
		empty := suspect.Suspicion{Digest: 1}
		return empty.Merge(suspect.Suspicion{
			Losses: losses.Draw(t, "losses"), Cleared: losses.Draw(t, "forgiven"), EndsUnixMS: rapid.Int64Range(0, 9).Draw(t, "ends"),
		})
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := suspicions.Draw(t, "a"), suspicions.Draw(t, "b"), suspicions.Draw(t, "c")
		if !a.Merge(a).Equal(a) || !a.Merge(b).Equal(b.Merge(a)) || !a.Merge(b).Merge(c).Equal(a.Merge(b.Merge(c))) {
			t.Fatalf("merge depends on order or repetition: %v %v %v", a, b, c)
		}
	})
}

// TestSharing verifies that two registries that each recorded one loss both block the request once shared, and that expired
// rows are deleted.
func TestSharing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx := context.Background()
	rows := table.NewMemory()
	now := start
	registries := []*suspect.Registry{suspect.NewRegistry(), suspect.NewRegistry()}
	var sharers []*suspect.Sharer
	for index, registry := range registries {
		registry.RecordLoss(7, suspect.Loss(string(rune('a'+index))), now)
		sharers = append(sharers, suspect.NewSharer(suspect.Config{Registry: registry, Table: rows, Now: func() time.Time { return now }}))
	}
	for range 2 {
		for _, sharer := range sharers {
			sharer.Write(ctx)
			sharer.Read(ctx)
		}
	}
	for _, registry := range registries {
		status, _ := registry.Status(7, now)
		is.Equal(status, suspect.Blocked)
	}
	now = start.Add(suspect.Penalty + time.Second)
	sharers[0].Read(ctx)
	remaining, err := rows.Scan(ctx, suspect.Prefix, "", 10)
	is.NoErr(err)
	is.Equal(len(remaining), 0)
}
