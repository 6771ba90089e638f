package lease

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"vanillapond/pkg/ident"
)

// Candidates is how many processes watch a lease closely.
const Candidates = 3

// smallFleet is up to how many processes all watch closely: when they are stopped in turn, few are left.
const smallFleet = 6

// spreadPerMember is the share of each further process in the slow watch of a lease.
const spreadPerMember = 4 * time.Second

// Ranking is a process's place among those that may hold a lease.
type Ranking struct {
	// Rank counts from 0; those below Candidates watch closely.
	Rank int
	// Members is how many processes may hold the lease; at least 1.
	Members int
}

// Rank returns self's place for the named lease by rendezvous hashing; a process not listed counts as the last, and one that is
// listed twice once.
func Rank(name string, self ident.Process, members []ident.Process) Ranking {
	place := Ranking{Members: 1}
	own := weight(name, self)
	counted := map[ident.Process]bool{self: true}
	for _, member := range members {
		if counted[member] {
			continue
		}
		counted[member] = true
		place.Members++
		if other := weight(name, member); other > own || other == own && member < self {
			place.Rank++
		}
	}
	return place
}

func weight(name string, member ident.Process) uint64 {
	return xxhash.Sum64String(name + "\x00" + string(member))
}

// slow returns the time between two looks of a process that is no candidate.
//
// All of them together look about once in spreadPerMember.
func (p Ranking) slow() time.Duration { return time.Duration(p.Members) * spreadPerMember }

func (p Ranking) candidate() bool { return p.Rank < Candidates || p.Members <= smallFleet }
