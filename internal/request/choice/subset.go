package choice

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"vanillapond/pkg/ident"
)

// Member is an endpoint that may be chosen.
type Member struct {
	ID     ident.Endpoint
	Domain ident.FailureDomain
}

// Rank orders a pool's members for one entry; the first ones are its subset.
//
// The order depends on the names alone. Failure domains take turns, so that each prefix is spread over all of them.
func Rank(entry ident.Process, members []Member) []Member {
	domains := make(map[ident.FailureDomain][]Member)
	var names []ident.FailureDomain
	for _, member := range members {
		if domains[member.Domain] == nil {
			names = append(names, member.Domain)
		}
		domains[member.Domain] = append(domains[member.Domain], member)
	}
	sortByScore(names, entry)
	for _, list := range domains {
		slices.SortFunc(list, func(a, b Member) int {
			return compareScores(entry, string(a.ID), string(b.ID))
		})
	}
	ranked := make([]Member, 0, len(members))
	for round := 0; len(ranked) < len(members); round++ {
		for _, name := range names {
			if round < len(domains[name]) {
				ranked = append(ranked, domains[name][round])
			}
		}
	}
	return ranked
}

func sortByScore(names []ident.FailureDomain, entry ident.Process) {
	slices.SortFunc(names, func(a, b ident.FailureDomain) int { return compareScores(entry, string(a), string(b)) })
}

func compareScores(entry ident.Process, a, b string) int {
	if order := cmp.Compare(rendezvousScore(string(entry), b), rendezvousScore(string(entry), a)); order != 0 {
		return order
	}
	return cmp.Compare(a, b)
}

// rendezvousScore is the rendezvous weight of a name for a key.
func rendezvousScore(key, name string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(name)
	return digest.Sum64()
}

// prefixScore is the rendezvous weight of a member for a prompt prefix.
func prefixScore(prefix, member uint64) uint64 {
	const goldenRatio = 0x9e3779b97f4a7c15
	value := (prefix ^ member) * goldenRatio
	value ^= value >> 29
	value *= goldenRatio
	return value ^ value>>32
}
