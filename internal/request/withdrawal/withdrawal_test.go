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

func newSnapshot(version ident.Version, keys ...configuration.Key) *snapshot.Snapshot {
	return snapshot.New(configuration.Configuration{Version: version, Keys: keys})
}

func TestWithdrawalCancelsRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	kept := configuration.Key{Digest: "kept", Customer: "school"}
	withdrawn := configuration.Key{Digest: "gone", Customer: "school"}
	reassigned := configuration.Key{Digest: "moved", Customer: "school"}
	holder := new(snapshot.Holder)
	holder.Advance(newSnapshot(1, kept, withdrawn, reassigned))
	registry := withdrawal.New(holder)
	first, unregister := registry.Register(t.Context(), kept)
	defer unregister()
	second, unregister := registry.Register(t.Context(), withdrawn)
	defer unregister()
	third, unregister := registry.Register(t.Context(), reassigned)
	defer unregister()
	reassigned.Customer = "parish"
	holder.Advance(newSnapshot(2, kept, reassigned))
	is.NoErr(first.Err())
	is.Equal(context.Cause(second), withdrawal.ErrKeyWithdrawn)
	is.Equal(context.Cause(third), withdrawal.ErrKeyWithdrawn) // A key that moves to another customer counts as withdrawn.
	registeredLate, unregister := registry.Register(t.Context(), withdrawn)
	defer unregister()
	// Authorized by an older snapshot, registered after the withdrawal.
	is.Equal(context.Cause(registeredLate), withdrawal.ErrKeyWithdrawn)
}

// TestRegisterDuringWithdrawal checks that a request registered while its key is withdrawn is always canceled.
func TestRegisterDuringWithdrawal(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	key := configuration.Key{Digest: "key", Customer: "school"}
	for range 200 {
		holder := new(snapshot.Holder)
		holder.Advance(newSnapshot(1, key))
		registry := withdrawal.New(holder)
		var wait sync.WaitGroup
		wait.Go(func() { holder.Advance(newSnapshot(2)) })
		ctx, unregister := registry.Register(t.Context(), key)
		wait.Wait()
		is.Equal(context.Cause(ctx), withdrawal.ErrKeyWithdrawn)
		unregister()
	}
}
