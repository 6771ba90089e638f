package entry

import (
	"vanillapond/internal/connection/fleet"
	"vanillapond/internal/process/lease"
	"vanillapond/pkg/ident"
)

// leaseRank returns an entry's place in a lease; while the list of entries is not known it watches slowly.
func leaseRank(instances *fleet.Fleet, name string, self ident.Process) lease.Ranking {
	entries, known := instances.Entries()
	if !known {
		return lease.Ranking{Rank: lease.Candidates, Members: assumedEntries}
	}
	return lease.Rank(name, self, entries)
}
