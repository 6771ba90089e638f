package withdrawal_test

import (
	"context"
	"sync"
	"testing"

	"github.com/matryer/is"

	"vanillapond/internal/request/withdrawal"
	"vanillapond/internal/version/snapshot"
	"vanillapond/pkg/configuration"
	"vanillapond/pkg/ident"
)

func with(version ident.Version, keys ...configuration.Key) *snapshot.Snapshot {
	return snapshot.New(configuration.Configuration{Version: version, Keys: keys})
}

func TestWithdrawalCancelsRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	kept := configuration.Key{Digest: "kept", Customer: "school"}
	gone := configuration.Key{Digest: "gone", Customer: "school"}
	moved := configuration.Key{Digest: "moved", Customer: "school"}
	holder := new(snapshot.Holder)
	holder.Advance(with(1, kept, gone, moved))
	registry := withdrawal.New(holder)
	first, leave := registry.Register(t.Context(), kept)
	defer leave()
	second, leave := registry.Register(t.Context(), gone)
	defer leave()
	third, leave := registry.Register(t.Context(), moved)
	defer leave()
	moved.Customer = "parish"
	holder.Advance(with(2, kept, moved))
	is.NoErr(first.Err())
	is.Equal(context.Cause(second), withdrawal.ErrKeyWithdrawn)
	is.Equal(context.Cause(third), withdrawal.ErrKeyWithdrawn) // a key of another customer is another key
	late, leave := registry.Register(t.Context(), gone)
	defer leave()
	is.Equal(context.Cause(late), withdrawal.ErrKeyWithdrawn) // decided by an old snapshot, entered after the withdrawal
}

// TestRegisterDuringWithdrawal never misses a withdrawal that comes at the same time.
func TestRegisterDuringWithdrawal(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	key := configuration.Key{Digest: "key", Customer: "school"}
	for range 200 {
		holder := new(snapshot.Holder)
		holder.Advance(with(1, key))
		registry := withdrawal.New(holder)
		var wait sync.WaitGroup
		wait.Go(func() { holder.Advance(with(2)) })
		ctx, leave := registry.Register(t.Context(), key)
		wait.Wait()
		is.Equal(context.Cause(ctx), withdrawal.ErrKeyWithdrawn)
		leave()
	}
}
