// Package withdrawal ends the requests of a key when the key is withdrawn.
package withdrawal

import (
	"context"
	"errors"
	"sync"

	"vanillapond/internal/version/snapshot"
	"vanillapond/pkg/configuration"
	"vanillapond/pkg/ident"
)

// ErrKeyWithdrawn is the cause of a request's context after its key was withdrawn.
var ErrKeyWithdrawn = errors.New("the key was withdrawn")

// Registry holds the requests that run with each key.
type Registry struct {
	holder *snapshot.Holder
	mu     sync.Mutex
	// active holds keys with at least one request; guarded by mu.
	active map[ident.KeyDigest]map[*request]struct{}
}

// request is one request that runs.
type request struct {
	customer ident.Customer
	cancel   context.CancelCauseFunc
}

// New returns a registry that follows the snapshots in force.
func New(holder *snapshot.Holder) *Registry {
	r := &Registry{holder: holder, active: make(map[ident.KeyDigest]map[*request]struct{})}
	holder.Observe(r.update)
	return r
}

// Register registers a request with its key; the returned context ends with ErrWithdrawn as its cause when the key does.
//
// Leave must be called at the request's end.
func (r *Registry) Register(ctx context.Context, key configuration.Key) (_ context.Context, leave func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	entered := &request{customer: key.Customer, cancel: cancel}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.active[key.Digest] == nil {
		r.active[key.Digest] = make(map[*request]struct{})
	}
	r.active[key.Digest][entered] = struct{}{}
	if current := r.holder.Current(); current != nil && !valid(current, key.Digest, key.Customer) {
		cancel(ErrKeyWithdrawn)
	}
	return ctx, func() { r.leave(key.Digest, entered) }
}

func (r *Registry) leave(digest ident.KeyDigest, left *request) {
	left.cancel(nil)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.active[digest], left)
	if len(r.active[digest]) == 0 {
		delete(r.active, digest)
	}
}

// update ends the requests whose key the snapshot no longer has.
func (r *Registry) update(next *snapshot.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for digest, requests := range r.active {
		for request := range requests {
			if !valid(next, digest, request.customer) {
				request.cancel(ErrKeyWithdrawn)
			}
		}
	}
}

func valid(current *snapshot.Snapshot, digest ident.KeyDigest, customer ident.Customer) bool {
	key, found := current.Key(digest)
	return found && key.Customer == customer
}
