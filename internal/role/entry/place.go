package entry

import (
	"vanillapond/internal/connection/fleet"
	"vanillapond/internal/process/lease"
	"vanillapond/pkg/ident"
)

// place returns an entry's place in a lease; while the list of entries is not known it watches slowly.
func place(listed *fleet.Fleet, name string, self ident.Process) lease.Ranking {
	entries, known := listed.Entries()
	if !known {
		return lease.Ranking{Rank: lease.Candidates, Members: unknownMembers}
	}
	return lease.Rank(name, self, entries)
}
