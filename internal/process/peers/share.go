package peers

import (
	"slices"
	"time"

	"vanillapond/internal/process/sharedrate"
	"vanillapond/pkg/ident"
)

const (
	// heardTimeout is for how long an instance counts as live after a datagram from it: a few times the longest interval between two.
	heardTimeout = 5 * time.Second
	// isolatedFraction is the fraction of the time until the others drop this instance's row after which it may be isolated.
	isolatedFraction = 0.75
	// shareLifetime is for how long a computed share is used.
	shareLifetime = 100 * time.Millisecond
)

// Hear records a datagram from another instance.
func (r *Registry) Hear(from ident.Process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.heard[from]; !known {
		r.shareAt = 0
	}
	r.heard[from] = r.config.Now()
}

// Share returns this instance's share of what all instances divide among themselves. Its Count is 0 until the instance knows the others.
//
// An instance counts if its row in the store is fresh or if it was heard, so that one that is cut off from the store keeps its share. All
// incarnations of a process count once.
func (r *Registry) Share() sharedrate.Share {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.config.Now()
	dropAfter := maxMissedHeartbeats * r.config.heartbeatInterval(r.fleetSize)
	unwritten := now.Sub(r.writtenAt) > time.Duration(isolatedFraction*float64(dropAfter))
	if !r.fleetKnown && (!r.read || !unwritten) {
		return sharedrate.Share{}
	}
	if r.shareAt != 0 && now.Sub(r.shareAt) < shareLifetime {
		return r.share
	}
	for process, at := range r.heard {
		if now.Sub(at) > heardTimeout {
			delete(r.heard, process)
		}
	}
	processes := []ident.Process{r.config.Process}
	unheard := false
	for _, peer := range r.peers {
		processes = append(processes, peer.Process)
		if _, heard := r.heard[peer.Process]; !heard && peer.Process != r.config.Process {
			unheard = true
		}
	}
	for process := range r.heard {
		processes = append(processes, process)
	}
	slices.Sort(processes)
	processes = slices.Compact(processes)
	rank, _ := slices.BinarySearch(processes, r.config.Process)
	r.share = sharedrate.Share{Rank: rank, Count: len(processes), Isolated: unwritten && unheard}
	r.shareAt = now
	return r.share
}
