// Package withdrawal cancels running requests whose API key is withdrawn.
package withdrawal

import (
	"context"
	"errors"
	"sync"

	"vanillapond/internal/version/snapshot"
	"vanillapond/pkg/configuration"
	"vanillapond/pkg/ident"
)

// ErrKeyWithdrawn is the cancellation cause of a request's context after its key was withdrawn.
var ErrKeyWithdrawn = errors.New("the key was withdrawn")

// Registry holds the running requests of each key.
type Registry struct {
	holder *snapshot.Holder
	mu     sync.Mutex
	// active holds the keys with at least one running request; guarded by mu.
	active map[ident.KeyDigest]map[*activeRequest]struct{}
}

// activeRequest is a running request.
type activeRequest struct {
	customer ident.Customer
	cancel   context.CancelCauseFunc
}

// New returns a registry that checks its requests against each new configuration snapshot.
func New(holder *snapshot.Holder) *Registry {
	r := &Registry{holder: holder, active: make(map[ident.KeyDigest]map[*activeRequest]struct{})}
	holder.Observe(r.update)
	return r
}

// Register adds a request under its key. The returned context is canceled with the cause ErrKeyWithdrawn when the key is
// withdrawn or moves to another customer.
//
// The caller must call unregister when the request ends.
func (r *Registry) Register(ctx context.Context, key configuration.Key) (_ context.Context, unregister func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	registered := &activeRequest{customer: key.Customer, cancel: cancel}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.active[key.Digest] == nil {
		r.active[key.Digest] = make(map[*activeRequest]struct{})
	}
	r.active[key.Digest][registered] = struct{}{}
	if current := r.holder.Current(); current != nil && !keyValid(current, key.Digest, key.Customer) {
		cancel(ErrKeyWithdrawn)
	}
	return ctx, func() { r.unregister(key.Digest, registered) }
}

func (r *Registry) unregister(digest ident.KeyDigest, ended *activeRequest) {
	ended.cancel(nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.active[digest], ended)
	if len(r.active[digest]) == 0 {
		delete(r.active, digest)
	}
}

// update cancels the requests whose key is no longer valid in the snapshot.
func (r *Registry) update(next *snapshot.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for digest, requests := range r.active {
		for request := range requests {
			if !keyValid(next, digest, request.customer) {
				request.cancel(ErrKeyWithdrawn)
			}
		}
	}
}

func keyValid(current *snapshot.Snapshot, digest ident.KeyDigest, customer ident.Customer) bool {
	key, found := current.Key(digest)
	return found && key.Customer == customer
}
