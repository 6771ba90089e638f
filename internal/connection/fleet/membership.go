package fleet

import (
	"context"
	"maps"
	"slices"
	"time"

	"vanillapond/internal/process/event"
	"vanillapond/internal/process/platform"
	"vanillapond/pkg/ident"
)

// listInterval is the interval between two reads of the platform's list of VMs.
const listInterval = 2 * time.Second

// listing is one reading of the platform's list of VMs.
type listing struct {
	// draining holds the addresses of sidecars whose VM drains.
	draining map[string]bool
	// entries holds the entries that do not drain.
	entries []ident.Process
	// loaded reports whether the list has been read at least once.
	loaded bool
}

// Watch reads the platform's list of VMs periodically until the context is done; if a read fails, the last reading stays
// in use.
func (f *Fleet) Watch(ctx context.Context, vms platform.VMs) {
	for {
		if listed, err := vms.VMs(ctx); err == nil {
			f.updateListing(listed)
		}
		select {
		case <-time.After(listInterval):
		case <-ctx.Done():
			return
		}
	}
}

// updateListing stores a reading: endpoints whose VM drains get no new requests from now on.
func (f *Fleet) updateListing(vms []platform.VM) {
	next := listing{draining: make(map[string]bool), loaded: true}
	for _, vm := range vms {
		switch {
		case vm.Role == platform.RoleEntry && !vm.Draining:
			next.entries = append(next.entries, ident.Process(vm.ID))
		case vm.Role != platform.RoleEntry && vm.Draining:
			next.draining[vm.Address] = true
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, endpoint := range f.endpoints {
		address := endpoint.Configuration.Sidecar
		if next.draining[address] && !f.lastListing.draining[address] {
			f.record(event.Name("endpoint_leaving"), endpoint)
		}
	}
	f.lastListing = next
}

// Entries returns the listed entries that do not drain; known is false before the first successful reading.
func (f *Fleet) Entries() (entries []ident.Process, known bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.lastListing.entries, f.lastListing.loaded
}

// PoolLoad is the total load of the linked endpoints of a pool in one failure domain.
type PoolLoad struct {
	// Linked counts the endpoints that have a link.
	Linked int
	// Requests counts the running and waiting requests of all entries at these endpoints.
	Requests int
	// LocalStreams counts the open streams of this entry to these endpoints.
	LocalStreams int
}

// PoolLoad returns the load of a pool's linked endpoints in a failure domain.
func (f *Fleet) PoolLoad(pool ident.Pool, domain ident.FailureDomain) PoolLoad {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var sum PoolLoad
	for _, endpoint := range f.pools[pool] {
		if endpoint.Configuration.Domain != domain || endpoint.Client() == nil {
			continue
		}
		load := endpoint.Load()
		sum.Linked++
		sum.Requests += load.Running + load.Waiting
		sum.LocalStreams += int(endpoint.Outstanding.Load())
	}
	return sum
}

// Linked reports whether every pool that has endpoints has at least one that accepts requests.
func (f *Fleet) Linked() bool {
	f.mu.RLock()
	pools := slices.Collect(maps.Keys(f.pools))
	f.mu.RUnlock()
	return !slices.ContainsFunc(pools, func(pool ident.Pool) bool { return len(f.Candidates(pool)) == 0 })
}
