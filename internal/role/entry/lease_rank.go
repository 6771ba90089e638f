package entry

import (
	"vanillapond/internal/connection/fleet"
	"vanillapond/internal/process/lease"
	"vanillapond/pkg/ident"
)

// leaseRank returns an entry's rank among the candidates for a lease. While the list of entries is unknown, the entry is not a
// candidate and polls the lease at a low rate.
func leaseRank(entryFleet *fleet.Fleet, name string, self ident.Process) lease.Ranking {
	entries, known := entryFleet.Entries()
	if !known {
		return lease.Ranking{Rank: lease.Candidates, Members: assumedEntries}
	}
	return lease.Rank(name, self, entries)
}
