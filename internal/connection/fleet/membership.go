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

// listInterval is the time between two looks at the platform's list.
const listInterval = 2 * time.Second

// listing is one reading of the platform's list.
type listing struct {
	// leaving holds the addresses of sidecars whose VM leaves.
	leaving map[string]bool
	// entries are the entries that don't leave.
	entries []ident.Process
	// known says that the list was read at least once.
	known bool
}

// Watch reads the platform's list until the context is done; while it can't be read the last one counts.
func (f *Fleet) Watch(ctx context.Context, vms platform.VMs) {
	for {
		if listed, err := vms.VMs(ctx); err == nil {
			f.list(listed)
		}
		select {
		case <-time.After(listInterval):
		case <-ctx.Done():
			return
		}
	}
}

// list takes over a reading: endpoints whose VM leaves get no new work from now on.
func (f *Fleet) list(vms []platform.VM) {
	next := listing{leaving: make(map[string]bool), known: true}
	for _, vm := range vms {
		switch {
		case vm.Role == platform.RoleEntry && !vm.Draining:
			next.entries = append(next.entries, ident.Process(vm.ID))
		case vm.Role != platform.RoleEntry && vm.Draining:
			next.leaving[vm.Address] = true
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, endpoint := range f.endpoints {
		address := endpoint.Configuration.Sidecar
		if next.leaving[address] && !f.listed.leaving[address] {
			f.record(event.Name("endpoint_leaving"), endpoint)
		}
	}
	f.listed = next
}

// Entries returns the entries that the platform lists and that don't leave; known is false before the first reading.
func (f *Fleet) Entries() (entries []ident.Process, known bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.listed.entries, f.listed.known
}

// PoolLoad is the load of some of a pool's endpoints.
type PoolLoad struct {
	// Linked counts the endpoints that have a link.
	Linked int
	// Requests counts the requests of all entries that run or wait at these.
	Requests int
	// LocalStreams counts this entry's open streams.
	LocalStreams int
}

// PoolLoad returns the load of a pool's endpoints in a failure domain.
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

// Linked reports whether each pool with endpoints has one that takes work.
func (f *Fleet) Linked() bool {
	f.mu.RLock()
	pools := slices.Collect(maps.Keys(f.pools))
	f.mu.RUnlock()
	return !slices.ContainsFunc(pools, func(pool ident.Pool) bool { return len(f.Candidates(pool)) == 0 })
}
