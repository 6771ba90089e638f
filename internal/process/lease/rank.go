package lease

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"vanillapond/pkg/ident"
)

// Candidates is the number of processes that poll a lease often, so that one of them acquires it soon after it becomes vacant.
const Candidates = 3

// smallFleetMax is the number of processes up to which all of them are candidates: if a small fleet is stopped one process after
// the other, few processes remain, and one of them must acquire the lease soon.
const smallFleetMax = 6

// slowPollIntervalPerMember is by how much each member lengthens the slow poll interval, so that the total rate of slow polls does
// not depend on the number of members.
const slowPollIntervalPerMember = 4 * time.Second

// Ranking is the rank of a process among those that may hold a lease.
type Ranking struct {
	// Rank counts from 0. Processes with a rank below Candidates are candidates.
	Rank int
	// Members is the number of processes that may hold the lease; at least 1.
	Members int
}

// Rank returns the ranking of self for the named lease by rendezvous hashing. A process that is listed more than once counts once.
// If self is not listed, it is counted as a further member.
func Rank(name string, self ident.Process, members []ident.Process) Ranking {
	ranking := Ranking{Members: 1}
	selfWeight := weight(name, self)
	counted := map[ident.Process]bool{self: true}
	for _, member := range members {
		if counted[member] {
			continue
		}
		counted[member] = true
		ranking.Members++
		if memberWeight := weight(name, member); memberWeight > selfWeight || memberWeight == selfWeight && member < self {
			ranking.Rank++
		}
	}
	return ranking
}

func weight(name string, member ident.Process) uint64 {
	return xxhash.Sum64String(name + "\x00" + string(member))
}

// slowPollInterval returns the interval between two pairs of polls of a process that is not a candidate.
//
// All these processes together poll about one pair per slowPollIntervalPerMember.
func (r Ranking) slowPollInterval() time.Duration {
	return time.Duration(r.Members) * slowPollIntervalPerMember
}

func (r Ranking) candidate() bool { return r.Rank < Candidates || r.Members <= smallFleetMax }
